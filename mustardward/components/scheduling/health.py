"""Track the health of workers by the outcome of their runs.

A worker that fails everything it starts looks idle, and would attract all work of its
pool.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field

from ...helpers.logging import get_logger
from ...helpers.policies import switchable
from .const import FAILURES_TO_QUARANTINE, QUARANTINE_SECONDS, QUARANTINE_SHARE
from .models import Task
from .scheduler_state import SchedulerState
from .worker_state import WorkerState

_LOGGER = get_logger(__name__)

_SPEED_WEIGHT = 0.15

_SLOW_SHARE = 0.7
"""Share of its pool's mean speed below which a worker counts as slow. Wrong run-time
estimates lower the speeds of a whole pool."""


def _never_quarantine(
    health: WorkerHealth, /, worker: WorkerState, task: Task, now: float
) -> None:
    """Keep assigning tasks to a worker that fails its runs."""


def _assume_equal_speed(
    health: WorkerHealth, /, worker: WorkerState, ratio: float, weight: float
) -> None:
    """Assume that all workers are equally fast."""


@dataclass(slots=True, eq=False)
class WorkerHealth:
    """Quarantine workers that fail their runs, and learn how fast workers are."""

    state: SchedulerState
    _mean_speeds: dict[str, float] = field(default_factory=dict)

    def record_success(self, worker: WorkerState, task: Task, seconds: float) -> None:
        """Record a completed run, which took ``seconds``."""
        worker.failed_jobs.clear()
        estimates = self.state.estimates
        if seconds > 0:
            expected = estimates.seconds(task.step)
            weight = _SPEED_WEIGHT * estimates.confidence(task.step)
            self._learn_speed(worker, expected / seconds, weight)

    def measure_speeds(self) -> None:
        """Measure the mean speed of each pool's workers."""
        speeds: defaultdict[str, list[float]] = defaultdict(list)
        for worker in self.state.workers.values():
            speeds[worker.service].append(worker.speed)
        self._mean_speeds = {
            service: sum(values) / len(values) for service, values in speeds.items()
        }

    def is_slow(self, worker: WorkerState) -> bool:
        """Return whether a worker is known to be slower than those of its pool."""
        mean = self._mean_speeds.get(worker.service, 1.0)
        return worker.speed < _SLOW_SHARE * mean

    @switchable(
        "worker-speed",
        "tasks go to workers on which other tasks did not run slowly",
        without=_assume_equal_speed,
    )
    def _learn_speed(self, worker: WorkerState, ratio: float, weight: float) -> None:
        observed = min(1.0, max(0.1, ratio))
        worker.speed += weight * (observed - worker.speed)

    @switchable(
        "quarantine",
        "a worker that fails all its runs does not attract all work",
        without=_never_quarantine,
    )
    def record_failure(self, worker: WorkerState, task: Task, now: float) -> None:
        """Record a run that failed or got stuck on a worker."""
        worker.failed_jobs.add(task.step.job.record.id)
        if len(worker.failed_jobs) < FAILURES_TO_QUARANTINE:
            return
        if worker.quarantined_until > now or not self._may_quarantine(worker, now):
            return
        worker.quarantined_until = now + QUARANTINE_SECONDS
        # Probation: after the quarantine, one more failure quarantines the worker
        # again, and one completed run clears it.
        remembered = list(worker.failed_jobs)[: FAILURES_TO_QUARANTINE - 1]
        worker.failed_jobs = set(remembered)
        _LOGGER.warning("worker_quarantined", worker=worker.id, service=worker.service)

    def _may_quarantine(self, worker: WorkerState, now: float) -> bool:
        pool = [w for w in self.state.workers.values() if w.service == worker.service]
        quarantined = sum(other.quarantined_until > now for other in pool)
        return quarantined + 1 <= QUARANTINE_SHARE * len(pool)
