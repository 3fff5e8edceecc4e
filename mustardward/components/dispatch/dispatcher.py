"""Maintain a session with each worker and replace it when the worker restarts."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from anyio.abc import TaskGroup

from ...helpers.timer import TimerService
from ...platform.advice import AdviceClient
from ...platform.exceptions import FencedError
from ...platform.http import HttpCaller
from ...platform.models import WorkerEntry
from ...platform.workers import WorkerClient
from ..scheduling.incarnations import is_other_incarnation
from ..scheduling.losses import LossCause
from ..scheduling.scheduler import Scheduler
from .acknowledgement_logger import AcknowledgementLogger
from .command_executor import CommandExecutor
from .const import LEASE_SECONDS, TOKENS_PER_EPOCH, latest_lease_end
from .contact_limiter import ContactLimiter
from .lease import Lease
from .lost_incarnations import LostIncarnations
from .session import WorkerSession


@dataclass(slots=True, eq=False)
class Dispatcher:
    """Hold the sessions with workers under one epoch and execute commands in them.

    :param token: the lowest fencing token, the owner's epoch.
    :param on_fenced: called with a worker that has seen a newer owner.
    :param on_report: called when there may be something to plan or to store.
    :param authorised: whether this owner may still send commands.
    :param max_lease_seconds: the longest lease that workers accept, whatever deadline
        they are sent.
    :param renewal_age_seconds: age of the newest stored renewal of the ownership.
    :param lost_workers: lost workers, on which nothing of a previous owner runs.
    """

    http: HttpCaller
    scheduler: Scheduler
    timers: TimerService
    tasks: TaskGroup
    token: int
    on_fenced: Callable[[str], None]
    on_report: Callable[[], None]
    authorised: Callable[[], bool]
    advice: AdviceClient | None = None
    max_lease_seconds: float = LEASE_SECONDS
    renewal_age_seconds: Callable[[], float] = lambda: 0.0
    executor: CommandExecutor = field(init=False)
    acknowledgements: AcknowledgementLogger = field(init=False)
    sessions: dict[str, WorkerSession] = field(default_factory=dict)
    lost_workers: set[str] = field(default_factory=set)
    _entries: dict[str, WorkerEntry] = field(default_factory=dict)
    _lost_incarnations: LostIncarnations = field(default_factory=LostIncarnations)
    _contact_limiter: ContactLimiter = field(default_factory=ContactLimiter)

    def __post_init__(self) -> None:
        """Create the command executor."""
        self.acknowledgements = AcknowledgementLogger(self.token)
        self.executor = CommandExecutor(
            self.scheduler,
            self.timers,
            self.tasks,
            self.sessions,
            self._handle_fenced,
            self.on_report,
            self.authorised,
            self.remove_worker,
            self.advice,
        )

    def update_worker(self, worker_id: str, entry: WorkerEntry) -> None:
        """Apply a worker's entry; open a session if it is new or has restarted."""
        now = self.timers.monotonic()
        self._entries[worker_id] = entry
        if self._lost_incarnations.includes(worker_id, entry.born, now):
            return
        session = self.sessions.get(worker_id)
        if session is not None and not session.closed:
            if session.started_at_ms and entry.born > session.started_at_ms:
                self._replace_session(session, entry.born)
            elif is_other_incarnation(entry.born, session.started_at_ms):
                # The entry is outdated or the worker's wall clock went back; only the
                # worker itself can tell.
                session.request_identity()
            self.scheduler.update_worker(worker_id, entry, now)
            return
        self.scheduler.update_worker(worker_id, entry, now)
        # The previous owner may have renewed the lease until its authority ended.
        lease_ends_at = max(
            latest_lease_end(now), self.scheduler.state.previous_leases_until
        )
        self._open_session(worker_id, entry, entry.born, lease_ends_at)

    def reopen_sessions(self, entries: dict[str, WorkerEntry]) -> None:
        """Open sessions with workers that were lost and may be available again."""
        for worker_id, entry in entries.items():
            session = self.sessions.get(worker_id)
            if session is None or session.closed:
                self.update_worker(worker_id, entry)

    def _open_session(
        self,
        worker_id: str,
        entry: WorkerEntry,
        started_at_ms: int,
        lease_ends_at: float,
    ) -> None:
        token = self._choose_token(worker_id)
        session = WorkerSession(
            worker_id,
            WorkerClient(self.http, entry.address, worker_id, token),
            self.scheduler,
            self.timers,
            self.on_report,
            self.authorised,
            Lease(
                lease_ends_at,
                self.max_lease_seconds,
                self._is_lease_inherited(worker_id, started_at_ms),
            ),
            started_at_ms,
            lambda other: self._handle_restart(session, other),
            self._contact_limiter,
            lambda: self.timers.monotonic() - self.renewal_age_seconds(),
            self.acknowledgements,
            token,
        )
        self.sessions[worker_id] = session
        self.tasks.start_soon(self._async_run_session, session)

    def _choose_token(self, worker_id: str) -> int:
        """Return a session's fencing token, above that of calls to be rejected.

        Once an incarnation has answered a session, it executes no call of an earlier
        one that is still on its way: a poll among them would acknowledge ends that
        nobody has read. Calls of a session that was never answered change nothing.
        """
        previous = self.sessions.get(worker_id)
        if previous is None:
            return self.token
        if not previous.clock.is_known:
            return previous.token
        return min(previous.token + 1, self.token + TOKENS_PER_EPOCH - 1)

    def _is_lease_inherited(self, worker_id: str, started_at_ms: int) -> bool:
        """Return whether earlier calls may grant an incarnation the longest lease.

        Calls that were meant for another incarnation may, whoever sent them.
        """
        previous = self.sessions.get(worker_id)
        if previous is None:
            return self.scheduler.state.held_starts.include(worker_id)
        if not previous.clock.is_known:
            return previous.lease.inherited
        return not started_at_ms or previous.started_at_ms != started_at_ms

    def _handle_restart(self, session: WorkerSession, started_at_ms: int) -> None:
        """Replace a session after another incarnation answered its poll."""
        if session.closed or self.sessions.get(session.worker_id) is not session:
            return
        self._replace_session(session, started_at_ms)
        self.on_report()

    def _replace_session(self, session: WorkerSession, started_at_ms: int) -> None:
        """Replace the session of a worker that restarted under the same id.

        A new incarnation numbers its ends from 1 again. An acknowledgement of, say, 58
        ends of the previous incarnation would make it discard ends that were never
        read, so that work is lost or repeated. Counters and leases of an incarnation
        therefore end with its session.
        """
        worker_id = session.worker_id
        now = self.timers.monotonic()
        session.closed = True
        session.wake()
        self.lost_workers.discard(worker_id)
        entry = self._entries[worker_id]
        self.scheduler.replace_worker(worker_id, started_at_ms, entry, now)
        # A command in flight carries a deadline on the previous incarnation's clock.
        self._open_session(
            worker_id,
            entry,
            started_at_ms,
            latest_lease_end(now, self.max_lease_seconds),
        )
        self.sessions[worker_id].lease.inherit_unanswered(session.lease)

    def remaining_lease_seconds(self, now: float) -> float:
        """Return for how long the leases of known runs may last."""
        workers = self.scheduler.state.workers
        return max(
            (
                session.lease_ends_at - now
                for name, session in self.sessions.items()
                if not session.closed and name in workers and workers[name].has_runs
            ),
            default=0.0,
        )

    def has_unresponsive_workers(self) -> bool:
        """Return whether any worker stopped answering."""
        return any(
            session.unresponsive_since is not None and not session.closed
            for session in self.sessions.values()
        )

    def unconfirmed_workers(self) -> list[str]:
        """Return the workers that have not reported all their runs."""
        workers = self.scheduler.state.workers
        return [
            worker_id
            for worker_id, session in self.sessions.items()
            if not (session.closed or worker_id in self.lost_workers)
            and not (worker_id in workers and workers[worker_id].confirmed)
        ]

    async def _async_run_session(self, session: WorkerSession) -> None:
        try:
            await session.async_run()
        except FencedError:
            self._handle_fenced(session)
        finally:
            session.closed = True

    def _handle_fenced(self, session: WorkerSession | None) -> None:
        """Handle a rejection by a worker that has seen a newer token.

        If the session has been replaced, the token is that of the next one.
        """
        if session is None or session.closed:
            return
        if self.sessions.get(session.worker_id) is session:
            self.on_fenced(session.worker_id)

    def remove_worker(self, worker_id: str, cause: LossCause) -> None:
        """Close the session of a worker whose incarnation is known to be over."""
        self.lost_workers.add(worker_id)
        # Its entry stays in the store for some seconds and must not reopen a session.
        now = self.timers.monotonic()
        session = self.sessions.get(worker_id)
        started_at_ms = session.started_at_ms if session is not None else 0
        self._lost_incarnations.add(worker_id, started_at_ms, now)
        if session is not None:
            session.closed = True
            session.wake()
        self.scheduler.remove_worker(worker_id, cause, now)
