"""Keep the attempts whose leases this process holds: start, renew, end."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

import anyio
from returns.result import Success

from ...helpers.logging import get_logger
from ...helpers.timer import TimerService
from ...standin.protocol.models import TaskReport, TaskState
from ...standin.protocol.protocols import WorkerService
from ...state.fold import RecordRefusedError
from ...state.handlers.job_index import job_status
from ...state.models.jobs import EndAttempt, Job
from ...state.models.pools import Instance
from ...state.protocols import WorkLog
from .attempt import (
    end_by_ignorance,
    end_by_report,
    end_by_silence,
    end_not_run,
    order_of,
)
from .calls import CallFailure, async_outcome
from .const import (
    ARRIVAL_SECONDS,
    CONCURRENT_CALLS,
    CONFIRM_SECONDS,
    FRESH_SECONDS,
    LEASE_SECONDS,
    POLL_SHARE,
    RENEW_SECONDS,
    TICK_SECONDS,
)
from .giveback import GiveBack
from .lessons import Lessons
from .models import HeldAttempt
from .silence import SilentWorkers

_LOGGER = get_logger(__name__)

END_PRIORITY = 1


@dataclass(slots=True, eq=False)
class AttemptKeeper:
    """Hold attempts and act on them; the log says which of them are still ours.

    :param identity: the name of this incarnation as leases carry it.
    :param usable: tells whether a worker may be given a task now.
    """

    log: WorkLog
    workers: WorkerService
    timers: TimerService
    identity: str
    usable: Callable[[str], bool]
    lessons: Lessons
    held: dict[str, HeldAttempt] = field(default_factory=dict)
    silent: SilentWorkers = field(init=False)
    _paused: bool = False

    def __post_init__(self) -> None:
        self.silent = SilentWorkers(self.timers)

    def on_pause(self, lost_seconds: float) -> None:
        """Distrust every lease until the log's tail is confirmed again."""
        self._paused = True
        _LOGGER.warning("job_leases_unsure", lost_seconds=lost_seconds)

    def add(
        self, job: Job, generation: int, instance: Instance, taken_over: bool
    ) -> HeldAttempt:
        """Hold the attempt that a lease just made ours."""
        now = self.timers.monotonic()
        attempt = HeldAttempt(
            job_id=job.job_id,
            generation=generation,
            task_generation=job.task_generation,
            instance_id=instance.instance_id,
            address=instance.address,
            pool_generation=instance.generation,
            began=now,
            lapses_by=now + LEASE_SECONDS,
            started=taken_over,
            unsure=taken_over,
            contact=now,
            progressed=now,
            from_checkpoint=bool(job.checkpoint),
        )
        self.held[job.job_id] = attempt
        return attempt

    async def async_tick(self) -> None:
        """Look after every attempt that is due."""
        limiter = anyio.CapacityLimiter(CONCURRENT_CALLS)

        async def async_one(attempt: HeldAttempt) -> None:
            async with limiter:
                await self.async_step(attempt)

        due = [item for item in self.held.values() if self._needs_something(item)]
        async with anyio.create_task_group() as group:
            for attempt in due:
                group.start_soon(async_one, attempt)

    def _needs_something(self, attempt: HeldAttempt) -> bool:
        # Most tasks only run; a coroutine for each of them at each tick would cost
        # more than all calls to workers.
        job = self.owned(attempt)
        if job is None or attempt.ending is not None:
            return True
        if not attempt.started or attempt.unsure or self._is_due(attempt):
            return True
        return job_status(self.log.state, job) == "cancelling"

    async def async_step(self, attempt: HeldAttempt) -> None:
        """Do what an attempt needs next, unless something is being done with it."""
        if attempt.busy:
            return
        attempt.busy = True
        try:
            await self._async_step(attempt)
        finally:
            attempt.busy = False

    async def _async_step(self, attempt: HeldAttempt) -> None:
        job = self.owned(attempt)
        if job is None:
            self._drop(attempt, "fenced")
        elif attempt.ending is not None:
            await self.async_end(attempt, attempt.ending)
        elif attempt.started and attempt.instance_id in self.silent:
            await self._async_on_silence(attempt, job)
        elif job_status(self.log.state, job) == "cancelling":
            await self._async_cancel(attempt, job)
        elif not attempt.started:
            await self._async_start(attempt, job)
        elif attempt.unsure:
            await self._async_find_out(attempt, job)
        elif self._is_due(attempt):
            await self._async_renew(attempt, job)

    def owned(self, attempt: HeldAttempt) -> Job | None:
        """Return the attempt's job if the log still gives it to this process."""
        job = self.log.state.jobs.get(attempt.job_id)
        if job is None or job.generation != attempt.generation:
            return None
        return job if job.status in ("running", "cancelling") else None

    async def async_end(self, attempt: HeldAttempt, end: EndAttempt) -> None:
        """State an end until the log answers; the first one decided on stays."""
        attempt.ending = attempt.ending or end
        job = self.log.state.jobs.get(attempt.job_id)
        result = await self.log.async_propose(
            attempt.ending,
            actor=self.identity,
            record_id=f"end/{attempt.job_id}/{attempt.generation}",
            priority=END_PRIORITY,
        )
        if isinstance(result, Success):
            self.lessons.learn(attempt, attempt.ending, job)
            self._drop(attempt, attempt.ending.outcome)
        elif isinstance(result.failure(), RecordRefusedError):
            self._drop(attempt, result.failure().code)

    async def _async_sure(self, attempt: HeldAttempt) -> bool:
        # A process that was stopped after its lease was accepted wakes without a sign
        # of it, while another may long have taken the job over. A start from here
        # would then run it twice; so the tail is read first, and the lease after it.
        stale = self.log.tail_age_seconds() > FRESH_SECONDS
        if self._paused or stale or not self.log.may_decide:
            if not await self.log.async_confirm_tail(CONFIRM_SECONDS):
                return False
            self._paused = False
        return self.owned(attempt) is not None

    async def _async_start(self, attempt: HeldAttempt, job: Job) -> None:
        if not await self._async_sure(attempt):
            return
        if not self.usable(attempt.instance_id):
            await self.async_end(attempt, end_not_run(attempt, "worker not usable"))
            return
        attempt.started = True
        now = self.timers.monotonic()
        attempt.lapses_by = now + LEASE_SECONDS
        order = order_of(attempt, job)
        outcome = await async_outcome(self.workers.async_start(attempt.address, order))
        if isinstance(outcome, Success):
            await self._async_on_report(attempt, job, outcome.unwrap(), now)
        elif outcome.failure() is CallFailure.UNKNOWN:
            # The worker may have started it: only a report by the task's id can tell.
            # A second start instead could run it again after a reboot there.
            attempt.unsure = True
            attempt.lapses_by = self.timers.monotonic() + LEASE_SECONDS
        else:
            reason = f"start {outcome.failure()}"
            await self.async_end(attempt, end_not_run(attempt, reason))

    async def _async_find_out(self, attempt: HeldAttempt, job: Job) -> None:
        now = self.timers.monotonic()
        outcome = await async_outcome(
            self.workers.async_report(attempt.address, attempt.job_id)
        )
        if isinstance(outcome, Success):
            attempt.unsure = False
            await self._async_on_report(attempt, job, outcome.unwrap(), now)
            return
        known_not = outcome.failure() is CallFailure.REFUSED
        if known_not and (job.idempotent or now - attempt.began >= ARRIVAL_SECONDS):
            await self.async_end(attempt, end_by_ignorance(attempt, job))
        elif not known_not:
            self.silent.note(attempt.instance_id)
            await self._async_on_silence(attempt, job)

    def _is_due(self, attempt: HeldAttempt) -> bool:
        # Looked at often while young: how long a task runs is not known beforehand,
        # and what ended unseen keeps its slot and its caller waiting.
        now = self.timers.monotonic()
        share = POLL_SHARE * (now - attempt.began)
        wait = min(RENEW_SECONDS, max(TICK_SECONDS, share))
        return now - attempt.renewed >= wait

    async def _async_renew(self, attempt: HeldAttempt, job: Job) -> None:
        now = self.timers.monotonic()
        if now - attempt.contact > LEASE_SECONDS:
            # From here on only reports, so that the lease surely lapses some time.
            attempt.unsure = True
            return
        attempt.renewed = now
        outcome = await async_outcome(
            self.workers.async_renew(
                attempt.address, attempt.job_id, attempt.task_generation, LEASE_SECONDS
            )
        )
        if isinstance(outcome, Success):
            await self._async_on_report(attempt, job, outcome.unwrap(), now)
            return
        if outcome.failure() is CallFailure.UNKNOWN:
            attempt.lapses_by = self.timers.monotonic() + LEASE_SECONDS
        if outcome.failure() in (CallFailure.REFUSED, CallFailure.FENCED):
            attempt.unsure = True
        else:
            self.silent.note(attempt.instance_id)
        await self._async_on_silence(attempt, job)

    async def _async_on_silence(self, attempt: HeldAttempt, job: Job) -> None:
        end = end_by_silence(attempt, job, self.timers.monotonic())
        if end is not None:
            await self.async_end(attempt, end)

    async def _async_on_report(
        self, attempt: HeldAttempt, job: Job, report: TaskReport, asked: float
    ) -> None:
        self.silent.clear(attempt.instance_id)
        attempt.contact = asked
        attempt.renewed = asked
        attempt.lapses_by = max(
            attempt.lapses_by, self.timers.monotonic() + LEASE_SECONDS
        )
        attempt.throttled = report.state is TaskState.THROTTLED
        if report.progress > attempt.progress:
            attempt.progress = report.progress
            attempt.progressed = self.timers.monotonic()
        suspect = self.lessons.judge.is_suspect(attempt.instance_id)
        end = end_by_report(attempt, job, report, suspect)
        if end is not None:
            await self.async_end(attempt, end)
        elif self.lessons.is_stalled(attempt, job):
            await GiveBack(self, attempt, job).async_after_stall(suspect)

    async def _async_cancel(self, attempt: HeldAttempt, job: Job) -> None:
        if not attempt.started:
            await self.async_end(attempt, end_not_run(attempt, "cancelled"))
            return
        await GiveBack(self, attempt, job).async_cancel()

    def _drop(self, attempt: HeldAttempt, cause: str) -> None:
        if self.held.get(attempt.job_id) is attempt:
            del self.held[attempt.job_id]
        _LOGGER.info(
            "job_attempt_ended",
            job=attempt.job_id,
            generation=attempt.generation,
            worker=attempt.instance_id,
            cause=cause,
        )
