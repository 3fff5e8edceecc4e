"""Define what other components ask of long work."""

from __future__ import annotations

from typing import Protocol

from returns.result import Result

from ...exceptions import MustardwardError
from .models import JobView, Submission


class JobService(Protocol):
    """Accept long work, say how far it is, and give its slots back."""

    async def async_submit(
        self, submission: Submission, actor: str
    ) -> Result[JobView, MustardwardError]:
        """Make a job durable; only then it is accepted."""
        ...

    def status(self, job_id: str) -> Result[JobView, MustardwardError]:
        """Return a job as folded so far."""
        ...

    def stuck(self) -> tuple[JobView, ...]:
        """Return the parked and held jobs, which wait for an operator."""
        ...

    async def async_cancel(
        self, organisation: str, job_id: str, group: str, actor: str
    ) -> Result[str, MustardwardError]:
        """Cancel one job, or a whole group by one record."""
        ...

    async def async_retry(
        self, job_id: str, actor: str
    ) -> Result[JobView, MustardwardError]:
        """Let a parked or held job wait for an attempt again."""
        ...

    async def async_vacate(self, instance_id: str) -> bool:
        """Checkpoint what runs on a worker; true once nothing of ours runs there."""
        ...

    async def async_free_slots(self, pool: str, count: int) -> int:
        """Take slots back for urgent work; return how many are free now."""
        ...
