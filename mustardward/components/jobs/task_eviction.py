"""Evict a task from its worker by checkpoint, else by throttle, else by stop."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Protocol

from returns.result import Success

from ...helpers.timer import TimerService
from ...standin.protocol.models import TaskReport, TaskState
from ...standin.protocol.protocols import WorkerService
from ...state.models.jobs import EndAttempt, Job
from .attempt import (
    end_for_unknown_task,
    end_from_report,
    end_if_unreachable,
    end_stalled,
)
from .calls import CallFailure, CallOutcome, async_outcome_within
from .const import EVICTION_CALL_TIMEOUT_SECONDS
from .models import LeasedAttempt

TaskCall = Callable[[str, str, int], Awaitable[TaskReport]]


class AttemptContext(Protocol):
    """Define what an eviction needs from the holder of the task's lease."""

    @property
    def workers(self) -> WorkerService:
        """Return the worker client."""
        ...

    @property
    def timers(self) -> TimerService:
        """Return the timer service."""
        ...

    async def async_end(self, attempt: LeasedAttempt, end: EndAttempt) -> None:
        """Record an attempt's end in the log."""
        ...


@dataclass(frozen=True, slots=True, eq=False)
class TaskEviction:
    """Evict one attempt's task from its worker."""

    context: AttemptContext
    attempt: LeasedAttempt
    job: Job

    async def async_free_slot(self) -> bool:
        """Free the task's slot for urgent work; return whether that succeeded.

        Tries checkpoint, then throttle, then stop; only an idempotent job is stopped.
        """
        if await self._async_checkpoint():
            return True
        if await self._async_throttle():
            return True
        return self.job.idempotent and await self._async_stop()

    async def async_vacate(self) -> bool:
        """Remove the task from its worker; return whether that succeeded.

        A non-idempotent job that can't be checkpointed keeps running.
        """
        if await self._async_checkpoint():
            return True
        return self.job.idempotent and await self._async_stop()

    async def async_cancel(self) -> None:
        """Stop a cancelled job's task; a task that is already done ends as done."""
        outcome = await self._async_call(self.context.workers.async_stop)
        if isinstance(outcome, Success):
            await self._async_settle(outcome.unwrap())
        elif outcome.failure() is CallFailure.REFUSED:
            await self._async_end(end_for_unknown_task(self.attempt, self.job))
        else:
            now = self.context.timers.monotonic()
            end = end_if_unreachable(self.attempt, self.job, now)
            if end is not None:
                await self._async_end(end)

    async def async_end_stalled(self, suspect: bool) -> None:
        """Evict a task that makes no progress.

        :param suspect: whether the worker is suspect, which the end records.
        """
        self.attempt.checkpoint_requested = True
        outcome = await self._async_call(self.context.workers.async_checkpoint)
        if not isinstance(outcome, Success) and self.job.idempotent:
            outcome = await self._async_call(self.context.workers.async_stop)
        if not isinstance(outcome, Success):
            return
        report = outcome.unwrap()
        if report.state is TaskState.STOPPED:
            end = end_stalled(self.attempt, self.job, report, suspect)
            await self._async_end(end)
            return
        await self._async_settle(report)

    async def _async_checkpoint(self) -> bool:
        self.attempt.checkpoint_requested = True
        return await self._async_try(self.context.workers.async_checkpoint)

    async def _async_throttle(self) -> bool:
        return await self._async_try(self.context.workers.async_throttle)

    async def _async_stop(self) -> bool:
        return await self._async_try(self.context.workers.async_stop)

    async def _async_try(self, call: TaskCall) -> bool:
        outcome = await self._async_call(call)
        if not isinstance(outcome, Success):
            return False
        report = outcome.unwrap()
        if report.state is TaskState.RUNNING:
            return False
        await self._async_settle(report)
        return True

    async def _async_settle(self, report: TaskReport) -> None:
        self.attempt.throttled = report.state is TaskState.THROTTLED
        end = end_from_report(self.attempt, self.job, report, False)
        if end is not None:
            await self._async_end(end)

    async def _async_end(self, end: EndAttempt) -> None:
        await self.context.async_end(self.attempt, end)

    async def _async_call(self, call: TaskCall) -> CallOutcome:
        attempt = self.attempt

        async def async_call() -> TaskReport:
            return await call(attempt.address, attempt.job_id, attempt.task_generation)

        return await async_outcome_within(
            self.context.timers, EVICTION_CALL_TIMEOUT_SECONDS, async_call
        )
