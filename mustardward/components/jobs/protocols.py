"""Interface of the job component for other components."""

from __future__ import annotations

from typing import Protocol

from returns.result import Result

from ...exceptions import MustardwardError
from .models import JobView, Submission


class JobService(Protocol):
    """Submit, inspect, cancel and retry jobs, and free their slots."""

    async def async_submit(
        self, submission: Submission, actor: str
    ) -> Result[JobView, MustardwardError]:
        """Submit a job; it is accepted once it is durable."""
        ...

    def status(self, job_id: str) -> Result[JobView, MustardwardError]:
        """Return a job's view from the log records applied so far."""
        ...

    def stuck(self) -> tuple[JobView, ...]:
        """Return the parked and held jobs, which wait for an operator."""
        ...

    async def async_cancel(
        self, organisation: str, job_id: str, group: str, actor: str
    ) -> Result[str, MustardwardError]:
        """Cancel one job, or a whole group with one log record."""
        ...

    async def async_retry(
        self, job_id: str, actor: str
    ) -> Result[JobView, MustardwardError]:
        """Let a parked or held job wait for an attempt again."""
        ...

    async def async_vacate(self, instance_id: str) -> bool:
        """Evict this process's tasks from a worker; true once it has no leased jobs."""
        ...

    async def async_free_slots(self, pool: str, count: int) -> int:
        """Reclaim slots for urgent work; return how many were freed."""
        ...
