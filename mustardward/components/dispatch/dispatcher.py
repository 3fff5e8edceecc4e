"""Carry out the scheduler's commands."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from anyio.abc import TaskGroup

from ...helpers.instruments import START_WAIT_SECONDS, STARTS
from ...helpers.logging import get_logger
from ...helpers.timer import TimerService
from ...platform.advice import AdviceClient
from ...platform.exceptions import (
    CallRefusedError,
    CallUnknownError,
    FencedError,
    WrongIncarnationError,
)
from ...platform.http import HttpCaller
from ...platform.models import WorkerEntry
from ...platform.workers import TaskName, WorkerClient
from ..scheduling.models import AskAdvice, Command, Pace, Phase, Start, Stop, Task
from ..scheduling.scheduler import Scheduler, is_other
from .closed import ClosedWorkers
from .const import (
    DECISION_SECONDS,
    LEASE_SECONDS,
    STOP_RETRY_SECONDS,
    lease_bound,
)
from .contacts import Contacts
from .lanes import Lanes
from .session import WorkerSession
from .window import StartWindow

_LOGGER = get_logger(__name__)

ADVICE_TIMEOUT_SECONDS = 2.0
_FAILED = (CallRefusedError, CallUnknownError)


@dataclass(slots=True, eq=False)
class Dispatcher:
    """Keep a session with each worker, and call it for the scheduler.

    :param token: the fencing token, the owner's epoch.
    :param on_fenced: called when a worker has seen a newer owner.
    :param on_report: called when there may be something to plan or to store.
    :param longest_lease_seconds: the longest lease that workers take, whatever the
        deadline that they are told.
    """

    http: HttpCaller
    scheduler: Scheduler
    timers: TimerService
    tasks: TaskGroup
    token: int
    on_fenced: Callable[[], None]
    on_report: Callable[[], None]
    authorised: Callable[[], bool]
    advice: AdviceClient | None = None
    longest_lease_seconds: float = LEASE_SECONDS
    lanes: Lanes = field(init=False)
    sessions: dict[str, WorkerSession] = field(default_factory=dict)
    accounted: set[str] = field(default_factory=set)
    _entries: dict[str, WorkerEntry] = field(default_factory=dict)
    _closed: ClosedWorkers = field(default_factory=ClosedWorkers)
    _contacts: Contacts = field(default_factory=Contacts)
    _window: StartWindow = field(default_factory=StartWindow)

    def __post_init__(self) -> None:
        """Make the lanes to the workers."""
        self.lanes = Lanes(self.tasks)

    def see_worker(self, worker_id: str, entry: WorkerEntry) -> None:
        """Open a session with a worker that is not known yet, or started again."""
        now = self.timers.monotonic()
        self._entries[worker_id] = entry
        if self._closed.holds(worker_id, entry.born, now):
            return
        session = self.sessions.get(worker_id)
        if session is not None and not session.gone:
            if session.born and entry.born > session.born:
                self._replace(session, entry.born)
            elif is_other(entry.born, session.born):
                # Read late, or its time of day went back: the worker itself knows.
                session.ask()
            self.scheduler.see_worker(worker_id, entry, now)
            return
        self.scheduler.see_worker(worker_id, entry, now)
        # The owner before may have renewed its lease until the end of its own
        # authority.
        lease_until = max(lease_bound(now), self.scheduler.board.held_until)
        self._open(worker_id, entry, entry.born, lease_until)

    def _open(
        self, worker_id: str, entry: WorkerEntry, born: int, lease_until: float
    ) -> None:
        session = WorkerSession(
            worker_id,
            WorkerClient(self.http, entry.address, worker_id, self.token),
            self.scheduler,
            self.timers,
            self.on_report,
            self.authorised,
            lease_until,
            born,
            lambda other: self._reborn(session, other),
            self._contacts,
        )
        self.sessions[worker_id] = session
        self.tasks.start_soon(self._async_run_session, session)

    def _reborn(self, session: WorkerSession, born: int) -> None:
        """Take in that another incarnation answered in a session's place."""
        if session.gone or self.sessions.get(session.worker_id) is not session:
            return
        self._replace(session, born)
        self.on_report()

    def _replace(self, session: WorkerSession, born: int) -> None:
        """Go on with a worker that started again under its id.

        Symptom without it: work that was done is lost, or done again. Sequence: its
        ends count from 1 anew, and the next acknowledgement, of 58 ends from before,
        makes it forget ends that nobody has read. So whatever was counted or reckoned
        for one incarnation ends with its session.
        """
        worker_id = session.worker_id
        now = self.timers.monotonic()
        session.gone = True
        session.wake()
        self.accounted.discard(worker_id)
        entry = self._entries[worker_id]
        self.scheduler.replace_worker(worker_id, born, entry, now)
        # An order that is still on its way carries a deadline of the clock before.
        self._open(worker_id, entry, born, lease_bound(now, self.longest_lease_seconds))

    def execute(self, commands: list[Command]) -> None:
        """Carry out commands, as workers have room for calls."""
        for command in commands:
            if isinstance(command, Start):
                self.lanes.put(command.worker, partial(self._async_start, command))
            elif isinstance(command, Stop):
                self.lanes.put(command.worker, partial(self._async_stop, command))
            elif isinstance(command, Pace):
                self.lanes.put(command.worker, partial(self._async_pace, command))
            elif self.advice is not None:
                self.tasks.start_soon(self._async_advice, self.advice, command)

    def start_room(self) -> int:
        """Return how many starts may be decided now."""
        return self._window.room(self.lanes.waiting)

    def any_silent(self) -> bool:
        """Return whether a worker stopped answering."""
        return any(
            session.silent_since is not None and not session.gone
            for session in self.sessions.values()
        )

    def unheard(self) -> list[str]:
        """Return the workers that have not told what they run."""
        return [
            worker_id
            for worker_id, session in self.sessions.items()
            if not (session.answered or session.gone or worker_id in self.accounted)
        ]

    async def _async_run_session(self, session: WorkerSession) -> None:
        try:
            await session.async_run()
        except FencedError:
            self.on_fenced()
        finally:
            session.gone = True

    async def _async_start(self, start: Start) -> None:
        task = start.task
        run = start.run
        reports = self.scheduler.reports
        if self._withdrawn(start):
            return
        session = self.sessions.get(start.worker)
        try:
            if session is None or session.gone:
                raise CallRefusedError("worker gone")
            answer = await session.async_start(task, run)
            if answer is None:
                raise CallRefusedError("no authority")
        except FencedError:
            self.on_fenced()
            return
        except WrongIncarnationError:
            self._lose(session)
        except CallRefusedError as error:
            STARTS.labels("refused").inc()
            self._log_start(task, start, error.detail)
            reports.start_refused(task, run, self.timers.monotonic())
        except CallUnknownError as error:
            STARTS.labels("unknown").inc()
            self._log_start(task, start, error.detail)
            reports.start_unknown(task, run)
        else:
            reports.start_answered(task, run, answer.reason, self.timers.monotonic())
            STARTS.labels(answer.reason or "started").inc()
            if not answer.reason:
                START_WAIT_SECONDS.observe(task.started_at - task.ready_since)
                return
        self.on_report()

    def _withdrawn(self, start: Start) -> bool:
        """Return whether a start must not leave any more."""
        task = start.task
        if task.run != start.run or task.phase is not Phase.STARTING:
            return True
        now = self.timers.monotonic()
        if now - task.started_at <= DECISION_SECONDS:
            return False
        # Decided on what was known then; it is decided anew on what is known now.
        STARTS.labels("withdrawn").inc()
        self._window.note_withdrawn(now)
        self.scheduler.reports.start_withdrawn(task, start.run, now)
        self.on_report()
        return True

    async def _async_stop(self, stop: Stop) -> None:
        session = self.sessions.get(stop.worker)
        if session is None or session.gone:
            return
        if not self.authorised():
            self.tasks.start_soon(self._async_stop_again, stop)
            return
        try:
            await session.client.async_stop(stop.name, stop.run)
        except FencedError:
            self.on_fenced()
        except WrongIncarnationError:
            self._lose(session)
        except _FAILED:
            self.tasks.start_soon(self._async_stop_again, stop)
        else:
            if stop.task is not None:
                now = self.timers.monotonic()
                self.scheduler.reports.stop_answered(stop.task, stop.run, now)
            session.wake()

    async def _async_stop_again(self, stop: Stop) -> None:
        """Repeat a stop; what waits meanwhile takes no other call's place."""
        await self.timers.async_sleep(STOP_RETRY_SECONDS)
        self.lanes.put(stop.worker, partial(self._async_stop, stop))

    async def _async_pace(self, pace: Pace) -> None:
        session = self.sessions.get(pace.worker)
        if session is None or session.gone:
            return
        name: TaskName = pace.task.name
        try:
            await session.client.async_pace(name, pace.run, pace.percent)
        except FencedError:
            self.on_fenced()
        except WrongIncarnationError:
            self._lose(session)
        except _FAILED as error:
            _LOGGER.warning("pace_failed", worker=pace.worker, detail=error.detail)
            if pace.task.run == pace.run:
                # The next look gives the order again.
                pace.task.pace = -1

    async def _async_advice(self, client: AdviceClient, ask: AskAdvice) -> None:
        step = ask.step
        try:
            advice = await client.async_ask(
                step.job.record.id,
                step.occurrence,
                step.number,
                list(ask.workers),
                ADVICE_TIMEOUT_SECONDS,
            )
        except CallRefusedError as error:
            _LOGGER.warning(
                "advice_failed", job=step.job.record.id, detail=error.detail
            )
            return
        until = self.timers.monotonic() + advice.valid_ms / 1000
        self.scheduler.give_tickets(step, advice.tickets, until)
        self.on_report()

    def _lose(self, session: WorkerSession | None) -> None:
        """Take in that the incarnation of a session is gone, unless it is known."""
        if session is not None and not session.gone:
            self.lose_worker(session.worker_id)

    def lose_worker(self, worker_id: str) -> None:
        """Take in that a worker's incarnation is surely gone."""
        self.accounted.add(worker_id)
        # Its entry stays in the store for some seconds.
        now = self.timers.monotonic()
        session = self.sessions.get(worker_id)
        born = session.born if session is not None else 0
        self._closed.close(worker_id, born, now)
        if session is not None:
            session.gone = True
            session.wake()
        self.scheduler.lose_worker(worker_id, self.timers.monotonic())

    def _log_start(self, task: Task, start: Start, detail: str) -> None:
        _LOGGER.warning(
            "start_unanswered",
            job=task.step.job.record.id,
            worker=start.worker,
            run=start.run,
            detail=detail,
        )
