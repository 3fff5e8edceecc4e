"""Send the scheduler's commands to workers."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from anyio.abc import TaskGroup

from ...helpers.instruments import (
    ADVICE_CALLS,
    ADVICE_SECONDS,
    START_WAIT_SECONDS,
    STARTS,
)
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
from ..scheduling.models import UNKNOWN_PACE, Phase, Task
from ..scheduling.run_logger import run_key
from ..scheduling.scheduler import Scheduler
from .call_queue import CallQueue
from .const import START_MAX_AGE_SECONDS, STOP_RETRY_SECONDS
from .session import WorkerSession
from .start_window import StartWindow

_LOGGER = get_logger(__name__)

_CALL_ERRORS = (CallRefusedError, CallUnknownError)


@dataclass(slots=True, eq=False)
class CommandExecutor:
    """Execute commands in the workers' sessions and report the results.

    :param sessions: the sessions by worker id.
    :param on_fenced: called with a session whose worker has seen a newer token.
    :param on_report: called when there may be something to plan or to store.
    :param authorised: whether this owner may still send commands.
    :param on_worker_lost: called with a worker that another incarnation answered for.
    """

    scheduler: Scheduler
    timers: TimerService
    tasks: TaskGroup
    sessions: dict[str, WorkerSession]
    on_fenced: Callable[[WorkerSession | None], None]
    on_report: Callable[[], None]
    authorised: Callable[[], bool]
    on_worker_lost: Callable[[str, LossCause], None]
    advice: AdviceClient | None = None
    calls: CallQueue = field(init=False)
    window: StartWindow = field(default_factory=StartWindow)

    def __post_init__(self) -> None:
        """Create the queue of calls to workers."""
        self.calls = CallQueue(self.tasks)

    def execute(self, commands: list[Command]) -> None:
        """Enqueue the calls that the commands need."""
        for command in commands:
            if isinstance(command, Start):
                self.calls.enqueue(command.worker, partial(self._async_start, command))
            elif isinstance(command, Stop):
                self.calls.enqueue(command.worker, partial(self._async_stop, command))
            elif isinstance(command, Pace):
                self.calls.enqueue(command.worker, partial(self._async_pace, command))
            else:
                self.tasks.start_soon(self._async_advice, command)

    def available_starts(self) -> int:
        """Return how many starts may be planned now.

        Calls that wait for an unresponsive worker are not counted, since they say
        nothing about this owner's speed; otherwise one such worker would delay the
        starts on all others.
        """
        return self.window.available(self.calls.count_waiting(self._is_responsive))

    def _is_responsive(self, worker: str) -> bool:
        session = self.sessions.get(worker)
        return (
            session is not None and not session.closed and not session.is_unresponsive
        )

    async def _async_start(self, start: Start) -> None:
        task = start.task
        run = start.run
        reports = self.scheduler.reports
        if self._withdraw_if_stale(start):
            return
        session = self.sessions.get(start.worker)
        try:
            if session is None or session.closed:
                raise CallRefusedError("worker has no open session")
            await session.async_ensure_alive(fresh=bool(task.crashes))
            if self._is_superseded(start):
                return
            reports.start_sent(task, run)
            answer = await session.async_start(task, run)
        except FencedError:
            self._log_failed_start(task, start, "fenced")
            self.on_fenced(session)
            return
        except WrongIncarnationError:
            self._log_failed_start(task, start, "another incarnation answered")
            self._report_restart(session)
        except CallRefusedError as error:
            STARTS.labels("refused").inc()
            self._log_failed_start(task, start, error.detail)
            reports.start_refused(task, run, self.timers.monotonic())
        except CallUnknownError as error:
            STARTS.labels("unknown").inc()
            self._log_failed_start(task, start, error.detail)
            reports.start_unknown(task, run, self.timers.monotonic())
        else:
            reports.start_answered(task, run, answer.reason, self.timers.monotonic())
            STARTS.labels(answer.reason or "started").inc()
            if not answer.reason:
                START_WAIT_SECONDS.observe(task.started_at - task.ready_since)
                return
        finally:
            reports.sent_starts.forget(task.name, run)
        self.on_report()

    def _is_superseded(self, start: Start) -> bool:
        """Return whether the task was stopped or started again since the command."""
        task = start.task
        return task.run != start.run or task.phase is not Phase.STARTING

    def _withdraw_if_stale(self, start: Start) -> bool:
        """Withdraw a start that is outdated; return whether it must not be sent."""
        task = start.task
        if self._is_superseded(start):
            return True
        now = self.timers.monotonic()
        step = task.step
        lacks_ticket = step.job.policy.advice and start.worker not in step.tickets
        is_late = now - task.started_at > START_MAX_AGE_SECONDS
        if not (is_late or lacks_ticket):
            return False
        # The state that it was planned on is outdated, so it is planned again.
        STARTS.labels("withdrawn").inc()
        if is_late and self._is_responsive(start.worker):
            self.window.record_withdrawn(now)
        self.scheduler.reports.start_withdrawn(task, start.run, now)
        self.on_report()
        return True

    async def _async_stop(self, stop: Stop) -> None:
        session = self.sessions.get(stop.worker)
        if session is None or session.closed:
            return
        if not self.authorised():
            self.tasks.start_soon(self._async_retry_stop, stop)
            return
        try:
            await session.client.async_stop(stop.name, stop.run)
        except FencedError:
            self.on_fenced(session)
        except WrongIncarnationError:
            self._report_restart(session)
        except _CALL_ERRORS:
            self.tasks.start_soon(self._async_retry_stop, stop)
        else:
            if self.sessions.get(stop.worker) is not session or session.closed:
                # The new incarnation under this id did not receive the stop.
                return
            if stop.task is not None:
                now = self.timers.monotonic()
                self.scheduler.reports.stop_answered(stop.task, stop.run, now)
            session.wake()

    async def _async_retry_stop(self, stop: Stop) -> None:
        """Enqueue a stop again after a delay, without occupying a call slot."""
        await self.timers.async_sleep(STOP_RETRY_SECONDS)
        self.calls.enqueue(stop.worker, partial(self._async_stop, stop))

    async def _async_pace(self, pace: Pace) -> None:
        session = self.sessions.get(pace.worker)
        if session is None or session.closed:
            return
        name: TaskName = pace.task.name
        try:
            await session.client.async_set_speed(name, pace.run, pace.percent)
        except FencedError:
            self.on_fenced(session)
        except WrongIncarnationError:
            self._report_restart(session)
        except _CALL_ERRORS as error:
            _LOGGER.warning("pace_failed", worker=pace.worker, detail=error.detail)
            if pace.task.run == pace.run:
                pace.task.pace = UNKNOWN_PACE

    async def _async_advice(self, request: RequestAdvice) -> None:
        step = request.step
        try:
            if self.advice is None:
                raise CallRefusedError("no advice service")
            advice = await self.advice.async_request_advice(
                step.job.record.id,
                step.occurrence,
                step.number,
                list(request.workers),
                request.timeout_seconds,
            )
        except CallRefusedError as error:
            ADVICE_CALLS.labels("failed").inc()
            now = self.timers.monotonic()
            self.scheduler.advice.failed(request, error.detail, now)
            return
        ADVICE_CALLS.labels("answered").inc()
        now = self.timers.monotonic()
        ADVICE_SECONDS.observe(now - request.sent_at)
        valid_seconds = advice.valid_ms / 1000
        self.scheduler.advice.answered(request, advice.tickets, valid_seconds, now)
        self.on_report()

    def _log_failed_start(self, task: Task, start: Start, detail: str) -> None:
        sent = self.scheduler.reports.sent_starts.get(task.name, start.run)
        session = self.sessions.get(start.worker)
        now = self.timers.monotonic()
        _LOGGER.warning(
            "start_failed",
            job=task.step.job.record.id,
            task=run_key(task),
            worker=start.worker,
            born=session.started_at_ms if session else None,
            answered_seconds=session.clock.seconds_since_read(now) if session else None,
            run=start.run,
            epoch=self.scheduler.state.epoch,
            sent=sent is not None,
            renewal_age_seconds=sent.renewal_age_seconds if sent else None,
            detail=detail,
        )

    def _report_restart(self, session: WorkerSession | None) -> None:
        """Report a session's incarnation as replaced if the session is still open."""
        if session is not None and not session.closed:
            self.on_worker_lost(session.worker_id, LossCause.REPLACED)
