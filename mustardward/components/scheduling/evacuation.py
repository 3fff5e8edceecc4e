"""Empty workers that leave, without taking too many tasks of one step at once."""

from __future__ import annotations

from dataclasses import dataclass

from .board import Board
from .const import EVACUATION_SECONDS
from .models import Phase, StepRun, Task, WorkerState


def may_interrupt(step: StepRun) -> bool:
    """Return whether a step can spare one more of its lasting tasks now.

    Whatever keeps a task from its work counts, so that a failure that came meanwhile
    is never added to what the fleet takes.
    """
    away = sum(not task.at_work for task in step.tasks)
    return away < max(1, step.spec.may_miss)


@dataclass(slots=True, eq=False)
class Evacuation:
    """Stop what runs on workers that leave."""

    board: Board

    def run(self, now: float) -> None:
        """Give the stops that are due."""
        for worker in self.board.workers.values():
            if worker.leaving or worker.draining:
                self._empty(worker, now)

    def _empty(self, worker: WorkerState, now: float) -> None:
        for task in list(worker.tasks.values()):
            if task.phase is not Phase.RUNNING:
                continue
            if task.step.spec.long_running:
                if task.percent < 100 or may_interrupt(task.step):
                    self.board.stop(task, "evacuation")
            elif self._not_worth_waiting(worker, task, now):
                self.board.stop(task, "evacuation")

    def _not_worth_waiting(self, worker: WorkerState, task: Task, now: float) -> bool:
        if task.step.spec.saves_progress:
            return True
        left = self.board.estimates.seconds(task.step) - (now - task.started_at)
        if worker.draining:
            return now + left > worker.drains_at
        return now - worker.leaving_since > EVACUATION_SECONDS
