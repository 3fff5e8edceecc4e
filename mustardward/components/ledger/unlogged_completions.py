"""Track completed jobs whose completion is not yet in the log; pure.

Without this, a job that completes during a store outage is reported as running until
the store is back, and misses its objective by the length of the outage. A completion is
held by the job's worker until it is stored, by the owner, and by each entry node that
reported it to a caller; it is lost only if all of them fail. An entry node also writes
the completions that it reported to the log, so that no later owner runs the job again.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field


@dataclass(slots=True, eq=False)
class UnloggedCompletions:
    """Track jobs that are complete but not yet stored as complete.

    :param completed_at_owner: returns whether the owner in this process, if any, knows
        a job to be complete.
    """

    completed_at_owner: Callable[[str], bool] | None = None
    _completed: set[str] = field(default_factory=set)
    _reported: set[str] = field(default_factory=set)

    def add(self, job_id: str) -> None:
        """Record that a job is complete, until the owner in this process is deposed."""
        self._completed.add(job_id)

    def end_ownership(self) -> None:
        """Discard what only the deposed owner knew; its successor may not know it."""
        self.completed_at_owner = None
        self._completed.clear()

    def mark_reported(self, job_id: str) -> None:
        """Record that a caller was told that a job is complete."""
        self._reported.add(job_id)

    def was_reported(self, job_id: str) -> bool:
        """Return whether this node recorded that a caller was told of a completion."""
        return job_id in self._reported

    def contains(self, job_id: str) -> bool:
        """Return whether a job is known here to be complete."""
        if job_id in self._completed or job_id in self._reported:
            return True
        return self.completed_at_owner is not None and self.completed_at_owner(job_id)

    def pending_reports(self, is_stored: Callable[[str], bool]) -> list[str]:
        """Return the jobs reported as complete that the log lacks; drop stored ones.

        :param is_stored: returns whether the log has a final state for a job.
        """
        for jobs in (self._completed, self._reported):
            jobs.difference_update([name for name in jobs if is_stored(name)])
        return sorted(self._reported)
