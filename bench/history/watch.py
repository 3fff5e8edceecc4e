"""Fold the log beside the product and note what it decided, and when."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from returns.result import Success

from mustardward.const import FLEET_STREAM
from mustardward.standin.log import StandInLog
from mustardward.state.fleet import FleetState
from mustardward.state.fold import Fold, RecordOutcome
from mustardward.state.handlers.all import FLEET_HANDLERS
from mustardward.state.models.pools import AddInstance, RequestMove, TransferInstance
from mustardward.state.records import encode_batch, make_record

from .models import History, Owned


@dataclass(frozen=True, slots=True)
class Taken:
    """Say when the log took a record, and what the fold said of it."""

    at: float
    outcome: RecordOutcome

    @property
    def revision(self) -> int:
        """Return the accepted revision, or -1."""
        if not isinstance(self.outcome.result, Success):
            return -1
        revision: int = self.outcome.result.unwrap().revision
        return revision


class LogWatcher:
    """Follow every append of the fleet's stream at the moment it takes effect.

    :param log: the stand-in log, of this process.
    :param clock: monotonic seconds.
    """

    def __init__(
        self, log: StandInLog, history: History, clock: Callable[[], float]
    ) -> None:
        self._log = log
        self._history = history
        self._clock = clock
        self._fold: Fold[FleetState] = Fold(FleetState(), FLEET_HANDLERS)
        self._target_of_move: dict[str, RequestMove] = {}
        self.taken: dict[str, Taken] = {}
        self._original = log.append
        setattr(log, "append", self._append)  # noqa: B010

    @property
    def state(self) -> FleetState:
        """Return the fleet's state at the tail."""
        return self._fold.state

    @property
    def tail(self) -> int:
        """Return the offset that the next append will get."""
        return self._fold.next_offset

    def propose(self, body: Any, record_id: str, base_revision: int) -> Taken:
        """Append a record as an operator and return what became of it."""
        record = make_record(
            body,
            record_id=record_id,
            actor="operator",
            stamp=0.0,
            base_revision=base_revision,
        )
        self._log.append(FLEET_STREAM, encode_batch([record]))
        return self.taken[record_id]

    def _append(self, stream: str, payload: bytes) -> int:
        offset = self._original(stream, payload)
        if stream == FLEET_STREAM:
            at = self._clock()
            for outcome in self._fold.apply(offset, payload):
                self._note(at, outcome)
        return offset

    def _note(self, at: float, outcome: RecordOutcome) -> None:
        if outcome.duplicate:
            return
        taken = Taken(at, outcome)
        self.taken[outcome.envelope.record_id] = taken
        if not isinstance(outcome.result, Success):
            return
        body = outcome.body
        if isinstance(body, AddInstance):
            self._own(taken, body.instance_id, body.pool)
        elif isinstance(body, RequestMove):
            self._target_of_move[body.move_id] = body
        elif isinstance(body, TransferInstance):
            move = self._target_of_move[body.move_id]
            self._own(taken, move.instance_id, move.target)

    def _own(self, taken: Taken, instance: str, pool: str) -> None:
        owned = Owned(taken.at, taken.revision, instance, pool)
        self._history.owned.append(owned)
