"""Empty workers that leave, without taking too many tasks of one step at once."""

from __future__ import annotations

from dataclasses import dataclass

from .const import EVACUATION_SECONDS
from .models import Phase, Task
from .scheduler_state import SchedulerState
from .worker_state import WorkerState

REPORT_SECONDS = 2.5
"""Age at which a worker's report tells nothing any more: an owner that is short of
processor time reads late, and a failure meanwhile must not be added to."""


def may_interrupt(task: Task, now: float) -> bool:
    """Return whether a step can spare one of its lasting tasks now.

    Whatever keeps another task from its work counts, so that a failure that came
    meanwhile is never added to what the fleet takes. A task that was not at work when
    its worker reported last may be by now.
    """
    others = (other for other in task.step.tasks if other is not task)
    away = sum(not _surely_at_work(other, now) for other in others)
    return away < max(1, task.step.spec.may_miss)


def _surely_at_work(task: Task, now: float) -> bool:
    if task.worker is None or now - task.worker.reported_at > REPORT_SECONDS:
        return False
    return task.is_serving


@dataclass(slots=True, eq=False)
class Evacuation:
    """Stop what runs on workers that leave."""

    state: SchedulerState

    def run(self, now: float) -> None:
        """Give the stops that are due."""
        for worker in self.state.workers.values():
            if worker.leaving or worker.draining or worker.absent:
                self._empty(worker, now)

    def _empty(self, worker: WorkerState, now: float) -> None:
        for task in list(worker.tasks.values()):
            if task.phase is not Phase.RUNNING:
                continue
            if task.step.spec.long_running:
                if may_interrupt(task, now):
                    self.state.stop(task, "evacuation")
            elif self._not_worth_waiting(worker, task, now):
                self.state.stop(task, "evacuation")

    def _not_worth_waiting(self, worker: WorkerState, task: Task, now: float) -> bool:
        if task.step.spec.saves_progress:
            return True
        left = self.state.estimates.seconds(task.step) - (now - task.started_at)
        if worker.draining:
            return now + left > worker.drains_at
        since = worker.leaving_since if worker.leaving else worker.missing_since
        return since is not None and now - since > EVACUATION_SECONDS
