"""Keep tasks waiting whose last start may still run on a worker that is silent."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from ...platform.workers import TaskName
from .models import StepRun, Task


@dataclass(frozen=True, slots=True)
class HeldStart:
    """Hold a start that got no response.

    :param worker: id of the worker that it was sent to.
    :param until: when a run that it began is over at the latest, in monotonic seconds.
    """

    worker: str
    run: int
    until: float


@dataclass(slots=True, eq=False)
class HeldStarts:
    """Hold the unanswered starts whose tasks may not start elsewhere.

    A worker that restarts under its id accepts a start that was sent to its previous
    incarnation, and grants it the longest lease, as its clock is behind the deadline.
    """

    _starts: dict[TaskName, HeldStart] = field(default_factory=dict)

    def __len__(self) -> int:
        """Return the number of tasks that are held."""
        return len(self._starts)

    def add(self, name: TaskName, start: HeldStart) -> None:
        """Hold a task for its unanswered start."""
        self._starts[name] = start

    def items(self) -> Iterable[tuple[TaskName, HeldStart]]:
        """Return the held starts by task."""
        return self._starts.items()

    def include(self, worker_id: str) -> bool:
        """Return whether a worker left a start unanswered."""
        return any(start.worker == worker_id for start in self._starts.values())

    def release(self, worker_id: str) -> None:
        """Release the tasks of a worker that has reported its runs, or has ended."""
        self._starts = {
            name: start
            for name, start in self._starts.items()
            if start.worker != worker_id
        }

    def expire(self, now: float, is_needed: Callable[[TaskName], bool]) -> None:
        """Drop the starts whose runs are over, and those that are not needed."""
        self._starts = {
            name: start
            for name, start in self._starts.items()
            if now < start.until and is_needed(name)
        }

    def take_held_tasks(self, step: StepRun, now: float) -> list[Task]:
        """Remove the held tasks from a step's queue.

        :param now: until when no other owner can have renewed leases.
        :return: the tasks, which the caller returns to the queue.
        """
        if not self._starts:
            return []
        held = [task for task in step.waiting if self._is_held(task.name, now)]
        if held:
            names = {task.name for task in held}
            step.waiting = deque(t for t in step.waiting if t.name not in names)
        return held

    def _is_held(self, name: TaskName, now: float) -> bool:
        start = self._starts.get(name)
        return start is not None and now < start.until
