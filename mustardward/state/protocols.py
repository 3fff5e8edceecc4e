"""Define what components ask of the logs that they decide through."""

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
    """Read the folded state of one stream and propose records to it."""

    @property
    def state(self) -> S_co:
        """Return the state as folded so far; read only.

        Another object after a jump to a snapshot: ask each time, never keep it.
        """
        ...

    @property
    def next_offset(self) -> int:
        """Return the offset of the entry wanted next."""
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
        """Tell whether there is state to serve from."""
        ...

    @property
    def may_decide(self) -> bool:
        """Tell whether this process may propose and act.

        False after a pause until the tail is confirmed, and for good after a record
        of an unknown version.
        """
        ...

    def tail_age_seconds(self) -> float:
        """Return how long ago the read began that last confirmed the tail."""
        ...

    async def async_confirm_tail(self, timeout_seconds: float) -> bool:
        """Read up to a tail asked for after this call; tell whether that worked."""
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
        """Append a record (in a group commit) and wait for what the fold says.

        A lost answer is met by appending again under the same record id. Priority 0
        goes first, 2 last. The failure is ``PlatformUnavailableError`` if the record
        was certainly not appended and ``PlatformOutcomeUnknownError`` if it may still
        be accepted later.
        """
        ...

    def listen(self, listener: Callable[[RecordOutcome], None]) -> Callable[[], None]:
        """Call ``listener`` for each folded record until unsubscribed."""
        ...

    def listen_restored(self, listener: Callable[[], None]) -> Callable[[], None]:
        """Call ``listener`` when the state jumped past records nobody heard of."""
        ...


FleetLog = StateLog[FleetState]
WorkLog = StateLog[WorkState]
