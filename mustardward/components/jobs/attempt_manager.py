"""Start, renew and end the attempts whose leases this process holds."""

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
    build_task_order,
    end_for_unknown_task,
    end_from_report,
    end_if_unreachable,
    end_not_run,
)
from .attempt_statistics import AttemptStatistics
from .calls import CallFailure, async_outcome
from .const import (
    CONFIRM_TIMEOUT_SECONDS,
    LEASE_SECONDS,
    MAX_CONCURRENT_CALLS,
    MAX_TAIL_AGE_SECONDS,
    POLL_INTERVAL_SHARE,
    RENEWAL_INTERVAL_SECONDS,
    START_ARRIVAL_SECONDS,
    TICK_SECONDS,
)
from .models import LeasedAttempt
from .task_eviction import TaskEviction
from .unresponsive_workers import UnresponsiveWorkers

_LOGGER = get_logger(__name__)

END_PRIORITY = 1


@dataclass(slots=True, eq=False)
class AttemptManager:
    """Manage the attempts leased to this process; the log decides which still are.

    :param identity: the holder name of this incarnation in leases.
    :param is_usable: returns whether a worker may be given a task.
    """

    log: WorkLog
    workers: WorkerService
    timers: TimerService
    identity: str
    is_usable: Callable[[str], bool]
    statistics: AttemptStatistics
    attempts: dict[str, LeasedAttempt] = field(default_factory=dict)
    unresponsive: UnresponsiveWorkers = field(init=False)
    _must_confirm_tail: bool = False

    def __post_init__(self) -> None:
        self.unresponsive = UnresponsiveWorkers(self.timers)

    def on_pause(self, pause_seconds: float) -> None:
        """Treat all leases as unverified until the log's tail is confirmed."""
        self._must_confirm_tail = True
        _LOGGER.warning("job_leases_unverified", pause_seconds=pause_seconds)

    def add(
        self, job: Job, generation: int, instance: Instance, taken_over: bool
    ) -> LeasedAttempt:
        """Add the attempt of a lease that this process has just acquired.

        :param taken_over: whether the task may already have been started on the worker.
        """
        now = self.timers.monotonic()
        attempt = LeasedAttempt(
            job_id=job.job_id,
            generation=generation,
            task_generation=job.task_generation,
            instance_id=instance.instance_id,
            address=instance.address,
            pool_generation=instance.generation,
            began_at=now,
            lease_expires_by=now + LEASE_SECONDS,
            start_sent=taken_over,
            uncertain=taken_over,
            contacted_at=now,
            progressed_at=now,
            from_checkpoint=bool(job.checkpoint),
        )
        self.attempts[job.job_id] = attempt
        return attempt

    async def async_tick(self) -> None:
        """Run the next step of every attempt that needs one."""
        limiter = anyio.CapacityLimiter(MAX_CONCURRENT_CALLS)

        async def async_one(attempt: LeasedAttempt) -> None:
            async with limiter:
                await self.async_step(attempt)

        due = [item for item in self.attempts.values() if self._needs_step(item)]
        async with anyio.create_task_group() as group:
            for attempt in due:
                group.start_soon(async_one, attempt)

    def _needs_step(self, attempt: LeasedAttempt) -> bool:
        # Most tasks need no step. Starting a coroutine for each of them at each tick
        # would cost more than all calls to workers.
        job = self.owned_job(attempt)
        if job is None or attempt.pending_end is not None:
            return True
        if not attempt.start_sent or attempt.uncertain or self._is_poll_due(attempt):
            return True
        return job_status(self.log.state, job) == "cancelling"

    async def async_step(self, attempt: LeasedAttempt) -> None:
        """Run the next step of an attempt, unless it is busy."""
        if attempt.busy:
            return
        attempt.busy = True
        try:
            await self._async_step(attempt)
        finally:
            attempt.busy = False

    async def _async_step(self, attempt: LeasedAttempt) -> None:
        job = self.owned_job(attempt)
        if job is None:
            self._drop(attempt, "fenced")
        elif attempt.pending_end is not None:
            await self.async_end(attempt, attempt.pending_end)
        elif attempt.start_sent and attempt.instance_id in self.unresponsive:
            await self._async_handle_unreachable(attempt, job)
        elif job_status(self.log.state, job) == "cancelling":
            await self._async_cancel(attempt, job)
        elif not attempt.start_sent:
            await self._async_start(attempt, job)
        elif attempt.uncertain:
            await self._async_query_task(attempt, job)
        elif self._is_poll_due(attempt):
            await self._async_renew(attempt, job)

    def owned_job(self, attempt: LeasedAttempt) -> Job | None:
        """Return the attempt's job if the log still has it leased as this attempt."""
        job = self.log.state.jobs.get(attempt.job_id)
        if job is None or job.generation != attempt.generation:
            return None
        return job if job.status in ("running", "cancelling") else None

    async def async_end(self, attempt: LeasedAttempt, end: EndAttempt) -> None:
        """Propose an attempt's end to the log; it is retried until the log decides.

        The first end given for an attempt stays; later ones are ignored.
        """
        attempt.pending_end = attempt.pending_end or end
        job = self.log.state.jobs.get(attempt.job_id)
        result = await self.log.async_propose(
            attempt.pending_end,
            actor=self.identity,
            record_id=f"end/{attempt.job_id}/{attempt.generation}",
            priority=END_PRIORITY,
        )
        if isinstance(result, Success):
            self.statistics.record_end(attempt, attempt.pending_end, job)
            self._drop(attempt, attempt.pending_end.outcome)
        elif isinstance(result.failure(), RecordRefusedError):
            self._drop(attempt, result.failure().code)

    async def _async_verify_lease(self, attempt: LeasedAttempt) -> bool:
        # A process that was suspended after its lease was accepted can't tell that on
        # resuming, while another may have taken the job over. A start would then run
        # it twice, so the log's tail is read before the lease is checked.
        stale = self.log.tail_age_seconds() > MAX_TAIL_AGE_SECONDS
        if self._must_confirm_tail or stale or not self.log.may_decide:
            if not await self.log.async_confirm_tail(CONFIRM_TIMEOUT_SECONDS):
                return False
            self._must_confirm_tail = False
        return self.owned_job(attempt) is not None

    async def _async_start(self, attempt: LeasedAttempt, job: Job) -> None:
        if not await self._async_verify_lease(attempt):
            return
        if not self.is_usable(attempt.instance_id):
            await self.async_end(attempt, end_not_run(attempt, "worker not usable"))
            return
        attempt.start_sent = True
        now = self.timers.monotonic()
        attempt.lease_expires_by = now + LEASE_SECONDS
        order = build_task_order(attempt, job)
        outcome = await async_outcome(self.workers.async_start(attempt.address, order))
        if isinstance(outcome, Success):
            await self._async_handle_report(attempt, job, outcome.unwrap(), now)
        elif outcome.failure() is CallFailure.UNKNOWN:
            # The worker may have started the task; only a report by the task's id can
            # show that. A second start could run it again after the worker rebooted.
            attempt.uncertain = True
            attempt.lease_expires_by = self.timers.monotonic() + LEASE_SECONDS
        else:
            reason = f"start {outcome.failure()}"
            await self.async_end(attempt, end_not_run(attempt, reason))

    async def _async_query_task(self, attempt: LeasedAttempt, job: Job) -> None:
        now = self.timers.monotonic()
        outcome = await async_outcome(
            self.workers.async_report(attempt.address, attempt.job_id)
        )
        if isinstance(outcome, Success):
            attempt.uncertain = False
            await self._async_handle_report(attempt, job, outcome.unwrap(), now)
            return
        is_unknown_task = outcome.failure() is CallFailure.REFUSED
        if is_unknown_task and (
            job.idempotent or now - attempt.began_at >= START_ARRIVAL_SECONDS
        ):
            await self.async_end(attempt, end_for_unknown_task(attempt, job))
        elif not is_unknown_task:
            self.unresponsive.add(attempt.instance_id)
            await self._async_handle_unreachable(attempt, job)

    def _is_poll_due(self, attempt: LeasedAttempt) -> bool:
        # Young tasks are polled often. Run times aren't known in advance, and a task
        # whose end isn't noticed keeps its slot occupied and its caller waiting.
        now = self.timers.monotonic()
        interval = POLL_INTERVAL_SHARE * (now - attempt.began_at)
        wait = min(RENEWAL_INTERVAL_SECONDS, max(TICK_SECONDS, interval))
        return now - attempt.renewed_at >= wait

    async def _async_renew(self, attempt: LeasedAttempt, job: Job) -> None:
        now = self.timers.monotonic()
        if now - attempt.contacted_at > LEASE_SECONDS:
            # Switch from renewals to reports, so that the worker's lease expires at a
            # known time.
            attempt.uncertain = True
            return
        attempt.renewed_at = now
        outcome = await async_outcome(
            self.workers.async_renew(
                attempt.address, attempt.job_id, attempt.task_generation, LEASE_SECONDS
            )
        )
        if isinstance(outcome, Success):
            await self._async_handle_report(attempt, job, outcome.unwrap(), now)
            return
        if outcome.failure() is CallFailure.UNKNOWN:
            attempt.lease_expires_by = self.timers.monotonic() + LEASE_SECONDS
        if outcome.failure() in (CallFailure.REFUSED, CallFailure.FENCED):
            attempt.uncertain = True
        else:
            self.unresponsive.add(attempt.instance_id)
        await self._async_handle_unreachable(attempt, job)

    async def _async_handle_unreachable(self, attempt: LeasedAttempt, job: Job) -> None:
        end = end_if_unreachable(attempt, job, self.timers.monotonic())
        if end is not None:
            await self.async_end(attempt, end)

    async def _async_handle_report(
        self, attempt: LeasedAttempt, job: Job, report: TaskReport, requested_at: float
    ) -> None:
        self.unresponsive.discard(attempt.instance_id)
        attempt.contacted_at = requested_at
        attempt.renewed_at = requested_at
        attempt.lease_expires_by = max(
            attempt.lease_expires_by, self.timers.monotonic() + LEASE_SECONDS
        )
        attempt.throttled = report.state is TaskState.THROTTLED
        if report.progress > attempt.progress:
            attempt.progress = report.progress
            attempt.progressed_at = self.timers.monotonic()
        suspect = self.statistics.quarantine.is_suspect(attempt.instance_id)
        end = end_from_report(attempt, job, report, suspect)
        if end is not None:
            await self.async_end(attempt, end)
        elif self.statistics.is_stalled(attempt, job):
            await TaskEviction(self, attempt, job).async_end_stalled(suspect)

    async def _async_cancel(self, attempt: LeasedAttempt, job: Job) -> None:
        if not attempt.start_sent:
            await self.async_end(attempt, end_not_run(attempt, "cancelled"))
            return
        await TaskEviction(self, attempt, job).async_cancel()

    def _drop(self, attempt: LeasedAttempt, cause: str) -> None:
        if self.attempts.get(attempt.job_id) is attempt:
            del self.attempts[attempt.job_id]
        _LOGGER.info(
            "job_attempt_ended",
            job=attempt.job_id,
            generation=attempt.generation,
            worker=attempt.instance_id,
            cause=cause,
        )
