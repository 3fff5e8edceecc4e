"""Throttle filling tasks while they slow serving tasks on the same worker."""

from __future__ import annotations

from dataclasses import dataclass, field

from ...helpers.policies import switchable
from .commands import Pace
from .models import Phase, Task
from .scheduler_state import SchedulerState
from .worker_state import WorkerState

SLOWED_SHARE = 0.9
"""Share of its target latency above which a serving task counts as slowed. The figure
that it reports is approximate and covers the last half second."""

RELAXED_SHARE = 0.7
"""Share of the target latency below which filling tasks are sped up again."""

CHANGE_SECONDS = 0.6
"""Shortest time before further throttling, since the figure lags behind a change."""

RAISE_SECONDS = 1.5
"""Shortest time before filling tasks are sped up."""

MIN_PERCENT = 20
"""Smallest share of their speed at which filling tasks run; below it they pause."""

RAISE_STEP_PERCENT = 25


@dataclass(slots=True)
class _Throttle:
    """Hold the speed of one worker's filling tasks, in percent."""

    percent: int = 100
    changed_at: float = 0.0


def _never_throttle(pacing: Pacing, /, now: float) -> None:
    """Let filling tasks run at full speed."""


@dataclass(slots=True, eq=False)
class Pacing:
    """Halve the speed of filling tasks that slow serving ones, and raise it slowly."""

    state: SchedulerState
    _throttles: dict[str, _Throttle] = field(default_factory=dict)

    @switchable(
        "pacing",
        "filling tasks are throttled in favour of serving tasks on their worker",
        without=_never_throttle,
    )
    def run(self, now: float) -> None:
        """Issue the pace commands that are due."""
        for worker in self.state.workers.values():
            filling = [t for t in worker.tasks.values() if _is_filling(t)]
            if filling:
                self._control(worker, filling, now)

    def needs_frequent_polls(self, worker: WorkerState) -> bool:
        """Return whether a worker runs both serving and filling tasks."""
        tasks = worker.tasks.values()
        return any(_is_filling(t) for t in tasks) and any(_is_serving(t) for t in tasks)

    def _control(self, worker: WorkerState, filling: list[Task], now: float) -> None:
        throttle = self._throttles.setdefault(worker.id, _Throttle())
        serving = [task for task in worker.tasks.values() if _is_serving(task)]
        worst = max((t.figure / t.step.spec.target_ms for t in serving), default=0.0)
        since = now - throttle.changed_at
        if worst > SLOWED_SHARE and since >= CHANGE_SECONDS:
            half = throttle.percent // 2
            throttle.percent = half if half >= MIN_PERCENT else 0
            throttle.changed_at = now
        elif (
            worst < RELAXED_SHARE and throttle.percent < 100 and since >= RAISE_SECONDS
        ):
            throttle.percent = min(100, throttle.percent + RAISE_STEP_PERCENT)
            throttle.changed_at = now
        for task in filling:
            if task.pace != throttle.percent:
                task.pace = throttle.percent
                task.paced = True
                self.state.add_command(
                    Pace(task, worker.id, task.run, throttle.percent)
                )


def _is_filling(task: Task) -> bool:
    return task.phase is Phase.RUNNING and task.step.spec.fills


def _is_serving(task: Task) -> bool:
    return task.phase is Phase.RUNNING and task.step.spec.target_ms > 0
