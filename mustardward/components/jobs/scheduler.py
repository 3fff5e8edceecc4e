"""Place waiting jobs, take over orphaned ones, and free slots."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

import anyio
from returns.result import Success

from ...exceptions import MustardwardError, PlatformOutcomeUnknownError
from ...helpers.logging import get_logger
from ...helpers.timer import TimerService
from ...state.fold import RecordOutcome
from ...state.models.jobs import AttemptEnd, EndAttempt, Job, LeaseJob
from ...state.protocols import WorkLog
from .attempt_manager import AttemptManager
from .const import (
    BACKFILL_DEPTH,
    BACKOFF_PRUNE_THRESHOLD,
    CONFIRM_TIMEOUT_SECONDS,
    MAX_PLACEMENTS_PER_TICK,
    POOL_DUTY_PREFIX,
    RETRY_BASE_SECONDS,
    RETRY_MAX_SECONDS,
    SLOT_COOLDOWN_SECONDS,
    VACATE_SECONDS,
)
from .job_index import JobIndex
from .models import LeasedAttempt, WorkerCapacity, need_of
from .placement import Candidate, PoolView, plan_placements
from .pool_view import PoolIndex
from .preemption import Victim, choose_victims
from .slot_cooldown import SlotCooldown
from .task_eviction import TaskEviction

_LOGGER = get_logger(__name__)

LEASE_PRIORITY = 1


@dataclass(slots=True, eq=False)
class JobScheduler:
    """Place the jobs of the pools assigned to this process and manage its leases.

    :param owns_duty: returns whether a duty is assigned to this process.
    :param is_holder_live: returns whether a lease holder may still act.
    """

    log: WorkLog
    attempt_manager: AttemptManager
    pools: PoolIndex
    timers: TimerService
    owns_duty: Callable[[str], bool]
    is_holder_live: Callable[[str], bool]
    random: Random
    job_index: JobIndex = field(init=False)
    _not_before: dict[str, float] = field(default_factory=dict)
    _vacating: dict[str, float] = field(default_factory=dict)
    _leasing: set[str] = field(default_factory=set)
    _uncertain_leases: set[str] = field(default_factory=set)
    _slot_cooldown: SlotCooldown = field(
        default_factory=lambda: SlotCooldown(SLOT_COOLDOWN_SECONDS)
    )

    def __post_init__(self) -> None:
        self.job_index = JobIndex(self.log.state, self.timers.monotonic())

    def on_record(self, outcome: RecordOutcome) -> None:
        """Update the index and the backoff state from a record of the work log."""
        now = self.timers.monotonic()
        body = outcome.body
        ended = isinstance(body, EndAttempt) and isinstance(outcome.result, Success)
        worker = self.job_index.worker_of(body.job_id) if ended else ""
        self.job_index.on_record(outcome, now)
        if ended:
            self._record_backoff(body, worker, now)

    async def async_tick(self) -> None:
        """Run one scheduling pass."""
        self._sync_index()
        self._prune_expired(self.timers.monotonic())
        await self.attempt_manager.async_tick()
        await self._async_vacate_marked()
        if not await self._async_may_decide():
            return
        await self._async_take_over()
        for pool in self.job_index.pools():
            if self.owns_duty(POOL_DUTY_PREFIX + pool):
                await self._async_place(pool)

    async def async_free_slots(self, pool: str, count: int) -> int:
        """Reclaim slots from this process's tasks; return how many were freed."""
        tasks = {item.job_id: item for item in self._attempts_in(pool)}
        victims = choose_victims(
            (self._build_victim(attempt) for attempt in tasks.values()), count
        )
        freed: list[str] = []

        async def async_one(attempt: LeasedAttempt) -> None:
            if await self._async_evict(attempt, urgent=True):
                freed.append(attempt.job_id)

        async with anyio.create_task_group() as group:
            for victim in victims:
                group.start_soon(async_one, tasks[victim.job_id])
        _LOGGER.info("job_slots_freed", pool=pool, requested=count, freed=len(freed))
        return len(freed)

    def tasks_by_holder(self, pool: str) -> dict[str, int]:
        """Return the number of a pool's jobs that each entry node holds leases on."""
        counts: dict[str, int] = {}
        for holder in self.job_index.holders():
            for job_id in self.job_index.leased_by(holder):
                job = self.log.state.jobs.get(job_id)
                if job is not None and job.pool == pool:
                    counts[holder] = counts.get(holder, 0) + 1
        return counts

    async def async_vacate(self, instance_id: str) -> bool:
        """Evict this process's tasks from a worker; true once it has no leased jobs."""
        until = self.timers.monotonic() + VACATE_SECONDS
        self._vacating[instance_id] = until
        await self._async_vacate_one(instance_id)
        return not self.job_index.running_on(instance_id)

    def _sync_index(self) -> None:
        # Restoring a snapshot replaces the state object; the index would otherwise
        # keep referring to jobs that no longer change.
        if self.job_index.state is not self.log.state:
            self.job_index = JobIndex(self.log.state, self.timers.monotonic())

    def _prune_expired(self, now: float) -> None:
        self._vacating = {k: v for k, v in self._vacating.items() if v > now}
        if len(self._not_before) > BACKOFF_PRUNE_THRESHOLD:
            self._not_before = {k: v for k, v in self._not_before.items() if v > now}

    async def _async_may_decide(self) -> bool:
        if self.log.may_decide:
            return True
        return await self.log.async_confirm_tail(CONFIRM_TIMEOUT_SECONDS)

    async def _async_take_over(self) -> None:
        for holder in self.job_index.holders():
            if holder == self.attempt_manager.identity:
                self._adopt_own_leases()
            elif not self.is_holder_live(holder):
                await self._async_take_over_from(holder)

    async def _async_take_over_from(self, holder: str) -> None:
        for job_id in self.job_index.leased_by(holder):
            job = self.log.state.jobs[job_id]
            if self.owns_duty(POOL_DUTY_PREFIX + job.pool):
                await self._async_lease(job, job.worker, taken_over=True)

    def _adopt_own_leases(self) -> None:
        # A lease whose append lost its reply may still have been accepted. Its job
        # would appear to run here indefinitely although no process starts it.
        unmanaged = (
            self.job_index.leased_by(self.attempt_manager.identity)
            - self.attempt_manager.attempts.keys()
        )
        for job_id in unmanaged - self._leasing:
            job = self.log.state.jobs[job_id]
            instance = self.pools.fleet.state.instances.get(job.worker)
            if instance is not None:
                never_started = job_id in self._uncertain_leases
                never_started &= job.generation == job.task_generation
                self._uncertain_leases.discard(job_id)
                self.attempt_manager.add(
                    job, job.generation, instance, not never_started
                )

    async def _async_place(self, pool: str) -> None:
        now = self.timers.monotonic()
        # Skip the scan of thousands of waiting jobs, which costs milliseconds per tick,
        # if nothing can be placed.
        view = self._view(pool, now)
        if view.slots_left <= 0 or not view.capacities:
            return
        candidates = self._candidates(pool, now)
        if not candidates:
            return
        placements = plan_placements(
            view, candidates, MAX_PLACEMENTS_PER_TICK, self.random
        )
        async with anyio.create_task_group() as group:
            for candidate, capacity in placements:
                group.start_soon(self._async_start, candidate, capacity)

    def _candidates(self, pool: str, now: float) -> list[Candidate]:
        names = frozenset(item.instance_id for item in self.pools.instances(pool))
        found = []
        for organisation, job_ids in self.job_index.queue_heads(pool, BACKFILL_DEPTH):
            for job_id in job_ids:
                if self._not_before.get(job_id, 0.0) > now:
                    continue
                job = self.log.state.jobs[job_id]
                failed = frozenset(job.failed_workers)
                waited = self.job_index.waited_seconds(pool, organisation, job_id, now)
                excluded = frozenset() if failed >= names else failed
                found.append(
                    Candidate(job_id, organisation, need_of(job), waited, excluded)
                )
        return found

    def _view(self, pool: str, now: float) -> PoolView:
        instances = self.pools.instances(pool)
        names = [item.instance_id for item in instances]
        excluded = self.attempt_manager.statistics.quarantine.quarantined(names, now)
        excluded |= (
            self.attempt_manager.statistics.busy_workers(now) | self._vacating.keys()
        )
        view = self.pools.view(pool, self.job_index, excluded)
        view.slots_left -= self._slot_cooldown.count(pool, now)
        view.running = {
            name: self.job_index.running_count(pool, name)
            for name, _ in self.job_index.queue_heads(pool, 1)
        }
        return view

    async def _async_start(
        self, candidate: Candidate, capacity: WorkerCapacity
    ) -> None:
        job = self.log.state.jobs.get(candidate.job_id)
        if job is None or not self.job_index.is_waiting(job.job_id):
            return
        attempt = await self._async_lease(job, capacity.instance.instance_id)
        if attempt is not None:
            await self.attempt_manager.async_step(attempt)

    async def _async_lease(
        self, job: Job, worker: str, taken_over: bool = False
    ) -> LeasedAttempt | None:
        instance = self.pools.fleet.state.instances.get(worker)
        if instance is None:
            return None
        self._leasing.add(job.job_id)
        try:
            result = await self.log.async_propose(
                LeaseJob(
                    job.job_id, job.generation, self.attempt_manager.identity, worker
                ),
                actor=self.attempt_manager.identity,
                priority=LEASE_PRIORITY,
            )
        finally:
            self._leasing.discard(job.job_id)
        if not isinstance(result, Success):
            self._handle_lease_failure(job, result.failure())
            return None
        return self.attempt_manager.add(
            job, result.unwrap().revision, instance, taken_over
        )

    def _handle_lease_failure(self, job: Job, error: MustardwardError) -> None:
        if isinstance(error, PlatformOutcomeUnknownError):
            self._uncertain_leases.add(job.job_id)
        _LOGGER.info("job_lease_refused", job=job.job_id, code=error.code)

    async def _async_vacate_marked(self) -> None:
        workers = {item.instance_id for item in self.attempt_manager.attempts.values()}
        for instance_id in workers:
            if instance_id in self._vacating or self.pools.must_vacate(instance_id):
                await self._async_vacate_one(instance_id)

    async def _async_vacate_one(self, instance_id: str) -> None:
        attempts = list(self.attempt_manager.attempts.values())
        async with anyio.create_task_group() as group:
            for attempt in attempts:
                if attempt.instance_id == instance_id:
                    group.start_soon(self._async_evict, attempt, False)

    async def _async_evict(self, attempt: LeasedAttempt, urgent: bool) -> bool:
        job = self.attempt_manager.owned_job(attempt)
        if job is None or attempt.busy or attempt.pending_end or not attempt.start_sent:
            return False
        attempt.busy = True
        try:
            eviction = TaskEviction(self.attempt_manager, attempt, job)
            if urgent:
                return await eviction.async_free_slot()
            return await eviction.async_vacate()
        finally:
            attempt.busy = False

    def _attempts_in(self, pool: str) -> list[LeasedAttempt]:
        jobs = self.log.state.jobs
        return [
            item
            for item in self.attempt_manager.attempts.values()
            if item.job_id in jobs and jobs[item.job_id].pool == pool
        ]

    def _build_victim(self, attempt: LeasedAttempt) -> Victim:
        job = self.log.state.jobs[attempt.job_id]
        return Victim(
            job_id=attempt.job_id,
            began_at=attempt.began_at,
            progress=attempt.progress,
            preemptions=job.preemptions,
            idempotent=job.idempotent,
            throttled=attempt.throttled,
        )

    def _record_backoff(self, end: EndAttempt, worker: str, now: float) -> None:
        job = self.log.state.jobs.get(end.job_id)
        if job is None or job.status != "waiting":
            self._not_before.pop(end.job_id, None)
        elif end.outcome != AttemptEnd.PREEMPTED:
            attempts = job.failures + job.losses
            delay = min(RETRY_BASE_SECONDS * 2.0**attempts, RETRY_MAX_SECONDS)
            self._not_before[end.job_id] = now + delay
        elif self.pools.is_usable(worker):
            # The worker is usable, so the preemption was for urgent work.
            self._slot_cooldown.record_freed(job.pool, now)
