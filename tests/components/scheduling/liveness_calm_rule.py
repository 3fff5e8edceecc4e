"""Check long-running tasks by the bound that callers are promised."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import Final

from mustardward.components.ledger.ledger import LedgerJob
from mustardward.platform.models import SubmittedStep
from mustardward.platform.workers import TaskName

from .liveness_jobs import POLICIES
from .liveness_runnable import RunnableTasks
from .liveness_world import ModelWorker, World

MAX_WAIT_SECONDS: Final = 3.0
"""Time for which a task may wait although it could run."""
SINCE_LAST_RUN_SECONDS: Final = 6.0
"""Time after a long-running task's last run in which it may wait."""
CALM_BEFORE_SECONDS: Final = 4.0
"""Time without faults before a wait that counts."""


class LongRunningWithRoom(RunnableTasks):
    """Find the long-running tasks with twice their room that do not run.

    Cordons are the owner's own decision and excuse nothing.
    """

    def _could_run(
        self, job: LedgerJob, step: SubmittedStep, waiting: list[TaskName]
    ) -> bool:
        if not step.long_running:
            return False
        service = POLICIES[job.record.queue].service
        able = [
            worker
            for worker in self.world.workers.values()
            if worker.service == service
            and self._may_run(worker, job, step, waiting[0])
        ]
        return self._count_places(able, step, waiting[0], 2) >= 1

    def _is_available(self, worker: ModelWorker) -> bool:
        return not (worker.unreachable or worker.draining)


@dataclass
class LongRunningRule:
    """Track long-running tasks, and find those that wait too long.

    :param done: the tasks that are known to be done.
    """

    world: World
    _last_run_at: dict[TaskName, float] = field(default_factory=dict)
    _waiting_since: dict[TaskName, float] = field(default_factory=dict)
    longest_wait: float = 0.0

    def find_violations(self, done: set[TaskName], calm_since: float) -> list[TaskName]:
        """Return the tasks that break the rule now.

        :param calm_since: since when no fault has acted, or infinity while one does.
        """
        now = self.world.now
        for _, run in self.world.all_runs():
            if run.step.long_running:
                self._last_run_at[run.name] = now
        self._waiting_since = {
            name: self._waiting_since.get(name, now)
            for name in LongRunningWithRoom(self.world, done, double_room=True).tasks()
        }
        return [
            name
            for name, since in self._waiting_since.items()
            if self._counted_wait(name, since, calm_since) >= MAX_WAIT_SECONDS
        ]

    def _counted_wait(self, name: TaskName, since: float, calm_since: float) -> float:
        """Return for how long a task has waited without an excuse."""
        accepted_at = self.world.jobs[name.job].record.accepted_at
        last_run_at = self._last_run_at.get(name, accepted_at)
        counted_from = max(
            since,
            last_run_at + SINCE_LAST_RUN_SECONDS,
            calm_since + CALM_BEFORE_SECONDS,
        )
        wait = self.world.now - counted_from
        if not math.isinf(wait):
            self.longest_wait = max(self.longest_wait, wait)
        return wait
