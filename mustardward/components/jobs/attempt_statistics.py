"""Collect statistics on workers and run times from ended attempts."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from ...helpers.timer import TimerService
from ...state.models.jobs import AttemptEnd, EndAttempt, Job
from .const import BUSY_WORKER_SECONDS, MIN_STALL_SECONDS
from .models import LeasedAttempt
from .run_times import RunTimes
from .worker_quarantine import WorkerQuarantine

STALL_FACTOR = 2.0


@dataclass(slots=True, eq=False)
class AttemptStatistics:
    """Collect statistics that guide placement and stall detection.

    They are kept in memory only and lost when the process ends, so they are advisory.

    :param run_time_key: returns the key under which a job's run time is recorded.
    """

    timers: TimerService
    run_time_key: Callable[[Job], str]
    quarantine: WorkerQuarantine = field(default_factory=WorkerQuarantine)
    run_times: RunTimes = field(default_factory=RunTimes)
    _busy_until: dict[str, float] = field(default_factory=dict)

    def busy_workers(self, now: float) -> frozenset[str]:
        """Return the workers that recently refused a task."""
        self._busy_until = {k: v for k, v in self._busy_until.items() if v > now}
        return frozenset(self._busy_until)

    def expected_seconds(self, job: Job, quantile: float) -> float:
        """Return an estimated quantile of the job's run time."""
        return self.run_times.estimate(
            self.run_time_key(job), job.declared_seconds, quantile
        )

    def is_stalled(self, attempt: LeasedAttempt, job: Job) -> bool:
        """Return whether a task has made no progress for longer than it should run."""
        stalled_seconds = self.timers.monotonic() - attempt.progressed_at
        if stalled_seconds <= MIN_STALL_SECONDS:
            return False
        return stalled_seconds > STALL_FACTOR * self.expected_seconds(job, 0.99)

    def record_end(
        self, attempt: LeasedAttempt, end: EndAttempt, job: Job | None
    ) -> None:
        """Record an attempt whose end the log accepted."""
        now = self.timers.monotonic()
        if end.outcome == AttemptEnd.DONE:
            self.quarantine.record_finished(attempt.instance_id)
            if job is not None and not attempt.from_checkpoint:
                self.run_times.record(self.run_time_key(job), now - attempt.began_at)
        if end.outcome == AttemptEnd.REFUSED:
            self._busy_until[attempt.instance_id] = now + BUSY_WORKER_SECONDS
        if end.outcome in (AttemptEnd.FAILED, AttemptEnd.LOST):
            self.quarantine.record_failure(attempt.instance_id, attempt.job_id, now)
