"""Carry out the scheduler's orders to workers, a few at a time."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Final

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
from ...platform.workers import TaskName
from ..scheduling.commands import Command, Pace, RequestAdvice, Start, Stop
from ..scheduling.losses import LossCause
from ..scheduling.models import Phase, Task
from ..scheduling.scheduler import Scheduler
from .const import DECISION_SECONDS, STOP_RETRY_SECONDS
from .lanes import Lanes
from .session import WorkerSession
from .window import StartWindow

_LOGGER = get_logger(__name__)

ADVICE_TIMEOUT_SECONDS: Final = 2.0
_FAILED = (CallRefusedError, CallUnknownError)


@dataclass(slots=True, eq=False)
class Orders:
    """Give orders in the sessions with workers, and report what became of them.

    :param sessions: the sessions by worker.
    :param on_fenced: called when a worker has seen a newer owner.
    :param on_report: called when there may be something to plan or to store.
    :param on_lost: called with a worker that answered as another incarnation.
    """

    scheduler: Scheduler
    timers: TimerService
    tasks: TaskGroup
    sessions: dict[str, WorkerSession]
    on_fenced: Callable[[], None]
    on_report: Callable[[], None]
    authorised: Callable[[], bool]
    on_lost: Callable[[str, LossCause], None]
    advice: AdviceClient | None = None
    lanes: Lanes = field(init=False)
    window: StartWindow = field(default_factory=StartWindow)

    def __post_init__(self) -> None:
        """Make the lanes to the workers."""
        self.lanes = Lanes(self.tasks)

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
        """Return how many starts may be decided now.

        What waits for a worker that leaves calls unanswered says nothing of this owner:
        one dark worker would else hold up the starts on all others.
        """
        return self.window.room(self.lanes.waiting_for(self._answers))

    def _answers(self, worker: str) -> bool:
        session = self.sessions.get(worker)
        return session is not None and not session.gone and not session.doubted

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
            await session.async_prove(anew=bool(task.crashes))
            if self._is_void(start):
                return
            reports.start_sent(task, run)
            answer = await session.async_start(task, run)
        except FencedError:
            self.on_fenced()
            return
        except WrongIncarnationError:
            self._log_start(task, start, "other incarnation")
            self._lose_session(session)
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

    def _is_void(self, start: Start) -> bool:
        """Return whether a start's task is no longer the one to be started by it."""
        task = start.task
        return task.run != start.run or task.phase is not Phase.STARTING

    def _withdrawn(self, start: Start) -> bool:
        """Return whether a start must not leave any more."""
        task = start.task
        if self._is_void(start):
            return True
        now = self.timers.monotonic()
        if now - task.started_at <= DECISION_SECONDS:
            return False
        # Decided on what was known then; it is decided anew on what is known now.
        STARTS.labels("withdrawn").inc()
        if self._answers(start.worker):
            self.window.note_withdrawn(now)
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
            self._lose_session(session)
        except _FAILED:
            self.tasks.start_soon(self._async_stop_again, stop)
        else:
            if self.sessions.get(stop.worker) is not session or session.gone:
                # The incarnation that has its id now was not told.
                return
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
            self._lose_session(session)
        except _FAILED as error:
            _LOGGER.warning("pace_failed", worker=pace.worker, detail=error.detail)
            if pace.task.run == pace.run:
                # The next look gives the order again.
                pace.task.pace = -1

    async def _async_advice(self, client: AdviceClient, ask: RequestAdvice) -> None:
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
        self.scheduler.set_tickets(step, advice.tickets, until)
        self.on_report()

    def _log_start(self, task: Task, start: Start, detail: str) -> None:
        _LOGGER.warning(
            "start_unanswered",
            job=task.step.job.record.id,
            worker=start.worker,
            run=start.run,
            detail=detail,
        )

    def _lose_session(self, session: WorkerSession | None) -> None:
        """Tell that the incarnation of a session is gone, unless it is known."""
        if session is not None and not session.gone:
            self.on_lost(session.worker_id, LossCause.REPLACED)
