"""Share an in-memory work log among several simulated processes."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import anyio
import anyio.lowlevel
from returns.result import Failure, Result

from mustardward.exceptions import (
    MustardwardError,
    NotReadyError,
    PlatformOutcomeUnknownError,
    PlatformUnavailableError,
)
from mustardward.state.fold import Acceptance, Fold, RecordOutcome
from mustardward.state.handlers.all import WORK_HANDLERS
from mustardward.state.records import NO_BASE, Envelope, encode_batch, make_record
from mustardward.state.work import WorkState


@dataclass(slots=True, eq=False)
class SharedLog:
    """Hold the entries and readers of one stream.

    :param out: whether the log service has an outage.
    """

    entries: list[bytes] = field(default_factory=list)
    readers: list[FakeWorkLog] = field(default_factory=list)
    out: bool = False
    appends: int = 0

    def append(self, envelope: Envelope) -> int:
        """Append one record, and let all connected readers apply it."""
        self.appends += 1
        self.entries.append(encode_batch([envelope]))
        for reader in self.readers:
            if not reader.cut_off:
                reader.catch_up()
        return len(self.entries) - 1


class FakeWorkLog:
    """Fake the work log of one process, which follows a shared log.

    ``wake_up``, if set, pauses the process after its next append until the event is
    set.
    """

    def __init__(self, shared: SharedLog, name: str = "entry-1") -> None:
        self._shared = shared
        self._fold: Fold[WorkState] = Fold(WorkState(), WORK_HANDLERS)
        self._listeners: list[Callable[[RecordOutcome], None]] = []
        self._outcomes: dict[str, RecordOutcome] = {}
        self._name = name
        self._proposed = 0
        self.may_decide = True
        self.ready = True
        self.cut_off = False
        self.lose_next = False
        self.stale = False
        self.wake_up: anyio.Event | None = None
        shared.readers.append(self)
        self.catch_up()

    @property
    def state(self) -> WorkState:
        return self._fold.state

    @property
    def next_offset(self) -> int:
        return self._fold.next_offset

    @property
    def sequence(self) -> int:
        return self._fold.sequence

    @property
    def digest(self) -> str:
        return self._fold.digest

    def tail_age_seconds(self) -> float:
        return math.inf if self._shared.out or self.cut_off or self.stale else 0.0

    def listen(self, listener: Callable[[RecordOutcome], None]) -> Callable[[], None]:
        self._listeners.append(listener)
        return lambda: self._listeners.remove(listener)

    def catch_up(self) -> None:
        while self._fold.next_offset < len(self._shared.entries):
            offset = self._fold.next_offset
            for outcome in self._fold.apply(offset, self._shared.entries[offset]):
                self._outcomes.setdefault(outcome.envelope.record_id, outcome)
                for listener in list(self._listeners):
                    listener(outcome)

    async def async_confirm_tail(self, timeout_seconds: float) -> bool:
        await anyio.lowlevel.checkpoint()
        if self._shared.out or self.cut_off:
            return False
        self.catch_up()
        self.may_decide = True
        self.stale = False
        return True

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
        self._proposed += 1
        identity = record_id or f"{self._name}/{self._proposed}"
        await anyio.lowlevel.checkpoint()
        if not self.may_decide:
            return Failure(NotReadyError("tail not confirmed"))
        if self._shared.out or (self.cut_off and not self.lose_next):
            return Failure(PlatformUnavailableError("log out"))
        envelope = make_record(
            body,
            record_id=identity,
            actor=actor,
            stamp=0.0,
            base_revision=base_revision,
        )
        self._shared.append(envelope)
        if self.lose_next:
            self.lose_next = False
            return Failure(PlatformOutcomeUnknownError("response lost"))
        self.catch_up()
        result = self._outcomes[identity].result
        if self.wake_up is not None:
            # Simulates a process that is paused just after the log's response.
            self.cut_off = True
            await self.wake_up.wait()
        return result
