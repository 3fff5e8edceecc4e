"""Submit, inspect, cancel and retry jobs through the work log."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Final

from returns.result import Failure, Result, Success

from ...exceptions import MustardwardError, NotReadyError
from ...state.handlers.job_index import job_status
from ...state.handlers.work_errors import JobUnknownError
from ...state.models.jobs import AcceptJob, CancelJobs, Job, RetryJob
from ...state.models.templates import Organisation
from ...state.protocols import FleetLog, WorkLog
from .const import MAX_OPEN_BYTES, MAX_OPEN_JOBS, MAX_PAYLOAD_BYTES
from .errors import (
    JobBindingError,
    JobQuotaError,
    JobStoreFullError,
    JobTooLargeError,
    JobUnplaceableError,
)
from .models import JobView, Need, Submission
from .pool_view import PoolIndex
from .scheduler import JobScheduler
from .slot_reclaimer import SlotReclaimer

SUBMIT_TIMEOUT_SECONDS: Final = 5.0
CANCEL_PRIORITY: Final = 0


@dataclass(slots=True, eq=False)
class LogJobService:
    """Implement the job service on the work log.

    :param generate_id: returns a new unique id.
    """

    log: WorkLog
    fleet: FleetLog
    pools: PoolIndex
    scheduler: JobScheduler
    reclaimer: SlotReclaimer
    generate_id: Callable[[], str]

    async def async_submit(
        self, submission: Submission, actor: str
    ) -> Result[JobView, MustardwardError]:
        """Submit a job; it is accepted once it is durable.

        A caller that lost the reply can resubmit with the same id, and the job is
        accepted only once.
        """
        pool = self._check(submission)
        if isinstance(pool, MustardwardError):
            return Failure(pool)
        job_id = full_job_id(submission, self.generate_id)
        result = await self.log.async_propose(
            _accept(submission, job_id, pool),
            actor=actor,
            timeout_seconds=SUBMIT_TIMEOUT_SECONDS,
        )
        if isinstance(result, Success):
            return self.status(job_id)
        return Failure(result.failure())

    def status(self, job_id: str) -> Result[JobView, MustardwardError]:
        """Return a job's view from the log records applied so far."""
        job = self.log.state.jobs.get(job_id)
        if job is None:
            return Failure(JobUnknownError(f"job_id={job_id}"))
        return Success(self._view(job))

    def stuck(self) -> tuple[JobView, ...]:
        """Return the parked and held jobs, which wait for an operator."""
        jobs = (self.log.state.jobs[job_id] for job_id in self.log.state.stuck)
        views = (self._view(job) for job in jobs)
        return tuple(view for view in views if view.status in ("parked", "held"))

    async def async_cancel(
        self, organisation: str, job_id: str, group: str, actor: str
    ) -> Result[str, MustardwardError]:
        """Cancel one job, or a whole group with one log record."""
        body = CancelJobs(organisation, job_id, group)
        result = await self.log.async_propose(
            body, actor=actor, priority=CANCEL_PRIORITY
        )
        return result.map(lambda acceptance: acceptance.note)

    async def async_retry(
        self, job_id: str, actor: str
    ) -> Result[JobView, MustardwardError]:
        """Let a parked or held job wait for an attempt again."""
        result = await self.log.async_propose(RetryJob(job_id), actor=actor)
        if isinstance(result, Success):
            return self.status(job_id)
        return Failure(result.failure())

    async def async_vacate(self, instance_id: str) -> bool:
        """Evict this process's tasks from a worker; true once it has no leased jobs."""
        return await self.scheduler.async_vacate(instance_id)

    async def async_free_slots(self, pool: str, count: int) -> int:
        """Reclaim slots for urgent work; return how many were freed."""
        return await self.reclaimer.async_free(pool, count)

    def _check(self, submission: Submission) -> str | MustardwardError:
        if not (self.log.ready and self.fleet.ready):
            return NotReadyError("no state to check the job against")
        organisation = self.fleet.state.organisations.get(submission.organisation)
        pool = _pool_of(organisation, submission.service)
        if organisation is None or pool is None:
            return JobBindingError(f"service={submission.service}")
        if len(submission.payload) > MAX_PAYLOAD_BYTES:
            return JobTooLargeError(f"maximum={MAX_PAYLOAD_BYTES}")
        full = None if self._is_known(submission) else self._check_limits(organisation)
        if full is not None:
            return full
        # A job that fits no worker would wait indefinitely without any error.
        if not self.pools.can_ever_run(pool, _need(submission)):
            return JobUnplaceableError(f"pool={pool} need={_need(submission)}")
        return pool

    def _check_limits(self, organisation: Organisation) -> MustardwardError | None:
        state = self.log.state
        open_jobs = state.open_jobs.get(organisation.name, 0)
        limit = organisation.parameters.quota.long_jobs
        if open_jobs >= limit:
            return JobQuotaError(f"unfinished={open_jobs} limit={limit}")
        total = sum(state.open_jobs.values())
        if total >= MAX_OPEN_JOBS or state.payload_bytes >= MAX_OPEN_BYTES:
            return JobStoreFullError(f"jobs={total} bytes={state.payload_bytes}")
        return None

    def _is_known(self, submission: Submission) -> bool:
        if not submission.job_id:
            return False
        job_id = full_job_id(submission, self.generate_id)
        return job_id in self.log.state.jobs

    def _view(self, job: Job) -> JobView:
        return JobView(
            job_id=job.job_id,
            organisation=job.organisation,
            service=job.service,
            pool=job.pool,
            group=job.group,
            status=job_status(self.log.state, job),
            attempts=job.attempts,
            worker=job.worker,
            checkpoint=job.checkpoint,
            reason=job.reason,
            failed_workers=job.failed_workers,
            result=job.result,
        )


def full_job_id(submission: Submission, generate_id: Callable[[], str]) -> str:
    """Return the job's id, prefixed with its organisation.

    Two organisations may choose the same id without either seeing the other's job.
    """
    return f"{submission.organisation}.{submission.job_id or generate_id()}"


def _pool_of(organisation: Organisation | None, service: str) -> str | None:
    if organisation is None:
        return None
    services = organisation.parameters.services
    return next((item.pool for item in services if item.service == service), None)


def _need(submission: Submission) -> Need:
    return Need(submission.cores, submission.memory_gigabytes, submission.accelerators)


def _accept(submission: Submission, job_id: str, pool: str) -> AcceptJob:
    fields: dict[str, Any] = {
        "group": submission.group,
        "payload": submission.payload,
        "idempotent": submission.idempotent,
        "cores": submission.cores,
        "memory_gigabytes": submission.memory_gigabytes,
        "accelerators": submission.accelerators,
        "declared_seconds": submission.declared_seconds,
    }
    return AcceptJob(
        job_id, submission.organisation, submission.service, pool, **fields
    )
