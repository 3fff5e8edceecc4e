"""Provide the state of one stream of the log and append records to it."""

from __future__ import annotations

import uuid
from collections.abc import Callable
from random import Random
from typing import Any, Generic, TypeVar

import anyio
from returns.result import Failure, Result

from ..exceptions import MustardwardError, NotReadyError
from ..helpers.timer import TimerService
from ..standin.protocol.protocols import LogService
from .appender import Appender, outcome_from_verdict
from .fold import Acceptance, RecordOutcome
from .follower import Follower
from .images import Image
from .options import LogOptions
from .records import NO_BASE, make_record
from .relay import RelayRequest, RelayResponse, RelaySource, RelayStatus
from .replica import Replica
from .snapshots import SnapshotStore
from .streams import StreamSpec
from .tail import TailTracker

S = TypeVar("S")


class FoldedLog(Generic[S]):
    """Follow one stream and append to it; implements ``StateLog``.

    :param spec: the stream.
    :param service: the platform's log.
    :param timers: the clock.
    :param options: intervals and limits.
    :param random: source of jitter; seeded in tests.
    """

    def __init__(
        self,
        spec: StreamSpec[S],
        service: LogService,
        timers: TimerService,
        options: LogOptions | None = None,
        random: Random | None = None,
    ) -> None:
        self._spec = spec
        self._timers = timers
        self._options = options or LogOptions()
        random = random or Random()
        self._tail = TailTracker(timers)
        self._replica = Replica(spec, self._tail)
        self._store = SnapshotStore(service, spec, timers, random)
        self._appender = Appender(service, spec.name, timers, self._options, random)
        self._follower = Follower(
            self._replica,
            self._tail,
            service,
            self._store,
            spec,
            timers,
            self._options,
            random,
        )
        self._scope = anyio.CancelScope()
        self._replica.listen(self._appender.resolve_outcome)
        self._replica.listen_restored(self._resolve_restored)

    @property
    def spec(self) -> StreamSpec[S]:
        """Return the stream's description."""
        return self._spec

    @property
    def options(self) -> LogOptions:
        """Return the intervals and limits."""
        return self._options

    @property
    def store(self) -> SnapshotStore[S]:
        """Return the store of the stream's snapshots."""
        return self._store

    @property
    def state(self) -> S:
        """Return the current state; callers must not change it."""
        return self._replica.fold.state

    @property
    def next_offset(self) -> int:
        """Return the offset of the next entry to apply."""
        return self._replica.fold.next_offset

    @property
    def sequence(self) -> int:
        """Return the number of accepted records."""
        return self._replica.fold.sequence

    @property
    def digest(self) -> str:
        """Return the chained digest up to ``next_offset``."""
        return self._replica.fold.digest

    @property
    def ready(self) -> bool:
        """Return whether the state may be served from."""
        return self._follower.ready

    @property
    def log_reachable(self) -> bool:
        """Return whether the last read of the log succeeded."""
        return not self._follower.log_failed

    @property
    def oldest_offset(self) -> int:
        """Return the oldest offset that the log retained at the last read."""
        return self._follower.oldest

    @property
    def may_decide(self) -> bool:
        """Return whether this process may propose records and act on the state."""
        return (
            self._follower.ready
            and not self._follower.has_gap
            and self._replica.stop_cause is None
            and self._tail.sufficient
        )

    def tail_age_seconds(self) -> float:
        """Return the time since the start of the read that last confirmed the tail."""
        return self._tail.age_seconds

    async def async_confirm_tail(self, timeout_seconds: float) -> bool:
        """Catch up with the tail as of this call; return whether that succeeded."""
        return await self._tail.async_confirm(timeout_seconds)

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
        """Append a record in a group commit and wait for its outcome."""
        if not self.may_decide:
            return Failure(NotReadyError(self._not_ready_cause()))
        record_id = record_id or uuid.uuid4().hex
        verdict = self._replica.fold.get_verdict(record_id)
        if verdict is not None:
            return outcome_from_verdict(verdict)
        envelope = make_record(
            body,
            record_id=record_id,
            actor=actor,
            stamp=self._timers.wall(),
            base_revision=base_revision,
        )
        return await self._appender.async_propose(envelope, priority, timeout_seconds)

    def listen(self, listener: Callable[[RecordOutcome], None]) -> Callable[[], None]:
        """Call ``listener`` for each applied record until unsubscribed."""
        return self._replica.listen(listener)

    def listen_restored(self, listener: Callable[[], None]) -> Callable[[], None]:
        """Call ``listener`` when a restore skipped records, until unsubscribed."""
        return self._replica.listen_restored(listener)

    def set_relay(self, relay: RelaySource | None) -> None:
        """Set the peers to query while the log is unreachable or silent."""
        self._follower.set_relay(relay)

    def respond(self, request: RelayRequest) -> RelayResponse:
        """Return the response to a peer's request."""
        if not self.ready:
            return RelayResponse(RelayStatus.UNAVAILABLE)
        return self._replica.respond(request)

    def image(self) -> Image:
        """Return an image of the current state.

        :raises MustardwardError: if this node must not act on the state.
        """
        if not self.may_decide:
            raise NotReadyError(self._not_ready_cause())
        return self._replica.image()

    async def async_run(self) -> None:
        """Follow the stream and append to it until stopped."""
        unsubscribe = self._timers.subscribe_pause(self._handle_pause)
        try:
            with self._scope:
                async with anyio.create_task_group() as group:
                    group.start_soon(self._follower.async_follow)
                    group.start_soon(self._follower.async_serve_confirmations)
                    group.start_soon(self._follower.async_relay)
                    group.start_soon(self._appender.async_run)
        finally:
            unsubscribe()

    def stop(self) -> None:
        """End the tasks of ``async_run``."""
        self._scope.cancel()

    def _handle_pause(self, pause_seconds: float) -> None:
        # The state may be out of date after a pause without any sign in the process, so
        # no decision is made until a read sent after the pause confirms the tail.
        self._tail.require_confirmation()

    def _resolve_restored(self) -> None:
        for record_id in self._appender.pending_record_ids():
            verdict = self._replica.fold.get_verdict(record_id)
            if verdict is not None:
                self._appender.resolve_from_window(record_id, verdict)

    def _not_ready_cause(self) -> str:
        stop_cause = self._replica.stop_cause
        if stop_cause is not None:
            return stop_cause.detail
        if not self.ready:
            return "no state yet"
        return "tail not confirmed" if not self._follower.has_gap else "entries missing"
