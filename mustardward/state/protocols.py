"""Define the interface of logs that components use."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol, TypeVar

from returns.result import Result

from ..exceptions import MustardwardError
from .fleet import FleetState
from .fold import Acceptance, RecordOutcome
from .records import NO_BASE
from .work import WorkState

S_co = TypeVar("S_co", covariant=True)


class StateLog(Protocol[S_co]):
    """Provide the state of one stream and append records to it."""

    @property
    def state(self) -> S_co:
        """Return the current state; callers must not change it.

        A restore replaces the object, so callers must not keep a reference to it.
        """
        ...

    @property
    def next_offset(self) -> int:
        """Return the offset of the next entry to apply."""
        ...

    @property
    def sequence(self) -> int:
        """Return the number of accepted records."""
        ...

    @property
    def digest(self) -> str:
        """Return the chained digest up to ``next_offset``."""
        ...

    @property
    def ready(self) -> bool:
        """Return whether the state may be served from."""
        ...

    @property
    def may_decide(self) -> bool:
        """Return whether this process may propose records and act on the state.

        False after a pause until the tail is confirmed, and permanently after a record
        of an unknown version.
        """
        ...

    def tail_age_seconds(self) -> float:
        """Return the time since the start of the read that last confirmed the tail."""
        ...

    async def async_confirm_tail(self, timeout_seconds: float) -> bool:
        """Catch up with the tail as of this call; return whether that succeeded."""
        ...

    async def async_propose(
        self,
        body: Any,
        *,
        actor: str,
        base_revision: int = NO_BASE,
        record_id: str | None = None,
        timeout_seconds: float = 5.0,
        priority: int = 1,
    ) -> Result[Acceptance, MustardwardError]:
        """Append a record in a group commit and wait for its outcome.

        After a lost response the record is appended again with the same record id.
        Priority 0 is the highest, 2 the lowest. The failure is
        ``PlatformUnavailableError`` if the record was definitely not appended and
        ``PlatformOutcomeUnknownError`` if it may still be accepted later.
        """
        ...

    def listen(self, listener: Callable[[RecordOutcome], None]) -> Callable[[], None]:
        """Call ``listener`` for each applied record until unsubscribed."""
        ...

    def listen_restored(self, listener: Callable[[], None]) -> Callable[[], None]:
        """Call ``listener`` when a restore skipped records, until unsubscribed."""
        ...


FleetLog = StateLog[FleetState]
WorkLog = StateLog[WorkState]
