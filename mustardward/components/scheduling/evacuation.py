"""Evacuate cordoned workers without stopping too many tasks of one step at once."""

from __future__ import annotations

from dataclasses import dataclass

from .const import EVACUATION_GRACE_SECONDS
from .models import Phase, Task
from .scheduler_state import SchedulerState
from .worker_state import WorkerState

MAX_REPORT_AGE_SECONDS = 2.5
"""Age at which a worker's report is too old to rely on. An owner that is short of
processor time reads reports late, and must not add to a failure that happened since."""


def may_interrupt(task: Task, stop_grace_seconds: float, now: float) -> bool:
    """Return whether a step's limit of missing tasks allows one more to be stopped.

    Every other task that is not known to be serving counts as missing, whatever the
    cause, so that an evacuation never adds to a failure. The limit also holds for a
    task that was not serving in its worker's last report, since it may serve by now.
    """
    step = task.step
    known = step.tasks.known()
    missing = len(step.tasks) - step.done - len(known)
    missing += sum(
        other is not task and not _is_surely_serving(other, stop_grace_seconds, now)
        for other in known
    )
    return missing < max(1, step.spec.may_miss)


def _is_surely_serving(task: Task, stop_grace_seconds: float, now: float) -> bool:
    worker = task.worker
    if worker is None or now - worker.reported_at > MAX_REPORT_AGE_SECONDS:
        return False
    if task.adopted and worker.reported_at < task.started_at + stop_grace_seconds:
        # A stop that the previous owner sent may not show in this report yet.
        return False
    return task.is_serving


@dataclass(slots=True, eq=False)
class Evacuation:
    """Stop the runs on workers that are cordoned, draining or absent."""

    state: SchedulerState

    def run(self, now: float) -> None:
        """Issue the stop commands that are due."""
        for worker in self.state.workers.values():
            if worker.cordoned or worker.draining or worker.absent:
                self._evacuate(worker, now)

    def _evacuate(self, worker: WorkerState, now: float) -> None:
        for task in list(worker.tasks.values()):
            if task.phase is not Phase.RUNNING:
                continue
            if task.step.spec.long_running:
                if may_interrupt(task, self.state.stop_grace_seconds, now):
                    self.state.stop(task, "evacuation")
            elif self._should_stop_now(worker, task, now):
                self.state.stop(task, "evacuation")

    def _should_stop_now(self, worker: WorkerState, task: Task, now: float) -> bool:
        if task.step.spec.saves_progress:
            return True
        remaining_seconds = self.state.estimates.remaining_seconds(task, now)
        if worker.draining:
            return now + remaining_seconds > worker.drains_at
        since = worker.cordoned_since if worker.cordoned else worker.missing_since
        return since is not None and now - since > EVACUATION_GRACE_SECONDS
