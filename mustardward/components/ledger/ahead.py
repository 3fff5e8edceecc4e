"""Hold which jobs are done though the log can't say so yet; pure.

Symptom without it: a job that ended while the store is away is told as running until
the store is back, and misses its objective by the whole outage. Its worker keeps the
end until the store has it, the owner knows it, and so does each entry that told it to a
caller: it is lost only with all of them. That an entry told it is brought to the log by
that entry, so that no owner after starts the job again.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field


@dataclass(slots=True, eq=False)
class UnloggedCompletions:
    """Hold the jobs that are done and not yet stored as done.

    :param owner_knows: whether this entry's own ownership, if any, knows a job as done.
    """

    completed_at_owner: Callable[[str], bool] | None = None
    _held: set[str] = field(default_factory=set)
    _told: set[str] = field(default_factory=set)

    def add(self, job_id: str) -> None:
        """Take in that a job is done."""
        self._held.add(job_id)

    def mark_reported(self, job_id: str) -> None:
        """Take in that a caller was told that a job is done."""
        self._held.add(job_id)
        self._told.add(job_id)

    def was_reported(self, job_id: str) -> bool:
        """Return whether this entry holds that a caller was told of a job."""
        return job_id in self._told

    def contains(self, job_id: str) -> bool:
        """Return whether a job is known here as done."""
        if job_id in self._held:
            return True
        return self.completed_at_owner is not None and self.completed_at_owner(job_id)

    def unlogged_reports(self, is_stored: Callable[[str], bool]) -> list[str]:
        """Return the jobs that a caller was told of and that the log lacks.

        :param is_stored: whether the log says that a job is over; such are forgotten.
        """
        for job_id in [name for name in self._held if is_stored(name)]:
            self._held.discard(job_id)
            self._told.discard(job_id)
        return sorted(self._told)
