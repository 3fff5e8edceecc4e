"""Quarantine workers on which jobs repeatedly fail and none finishes."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass, field
from typing import Final

SUSPECT_AFTER_JOBS: Final = 3
"""Distinct jobs that must fail on a worker, with none finished in between."""

MAX_QUARANTINED_SHARE: Final = 0.25
"""Maximum share of a pool's workers that may be quarantined at once."""

PROBATION_SECONDS: Final = 120.0


@dataclass(slots=True)
class _WorkerRecord:
    """Failures on one worker since its last finished job."""

    failed_jobs: set[str] = field(default_factory=set)
    suspect_since: float | None = None


class WorkerQuarantine:
    """Withhold new tasks from workers that start tasks but finish none."""

    def __init__(self) -> None:
        self._records: dict[str, _WorkerRecord] = {}

    def record_finished(self, instance_id: str) -> None:
        """Clear a worker's failures after it finished a job."""
        self._records.pop(instance_id, None)

    def record_failure(self, instance_id: str, job_id: str, now: float) -> None:
        """Record a job that failed, stalled or was lost on a worker.

        Only distinct jobs count, since one bad job that is retried repeatedly doesn't
        indicate a faulty worker.
        """
        record = self._records.setdefault(instance_id, _WorkerRecord())
        record.failed_jobs.add(job_id)
        if len(record.failed_jobs) >= SUSPECT_AFTER_JOBS:
            record.suspect_since = now

    def is_suspect(self, instance_id: str) -> bool:
        """Return whether a worker is suspect.

        Failures on a suspect worker are no evidence against its jobs.
        """
        record = self._records.get(instance_id)
        return record is not None and record.suspect_since is not None

    def quarantined(self, instance_ids: Collection[str], now: float) -> frozenset[str]:
        """Return the workers of a pool that get no new tasks.

        Workers return on probation after ``PROBATION_SECONDS``. The quarantined share
        is limited, since failures that all workers have in common aren't caused by
        the workers; those suspect for longest are released first.
        """
        suspects = [
            (record.suspect_since, instance_id)
            for instance_id in instance_ids
            if (record := self._records.get(instance_id)) is not None
            and record.suspect_since is not None
            and now - record.suspect_since < PROBATION_SECONDS
        ]
        allowed = int(MAX_QUARANTINED_SHARE * len(instance_ids))
        suspects.sort(key=lambda item: (-item[0], item[1]))
        return frozenset(instance_id for _, instance_id in suspects[:allowed])
