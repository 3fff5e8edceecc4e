"""Choose the tasks whose slots are reclaimed, without I/O."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from .const import NEARLY_DONE_PROGRESS, PROTECT_AFTER_PREEMPTIONS


@dataclass(frozen=True, slots=True)
class Victim:
    """A running task whose slot may be reclaimed."""

    job_id: str
    began_at: float
    progress: float
    preemptions: int
    idempotent: bool
    throttled: bool


def choose_victims(tasks: Iterable[Victim], count: int) -> list[Victim]:
    """Return the tasks to evict, those that lose least progress first.

    Tasks that are nearly done and jobs that were preempted often come last, since the
    same long job could otherwise be chosen each time and never finish.
    """
    candidates = [task for task in tasks if not task.throttled]
    return sorted(candidates, key=_eviction_cost)[:count]


def _eviction_cost(task: Victim) -> tuple[bool, bool, int, float, str]:
    protected = task.preemptions >= PROTECT_AFTER_PREEMPTIONS
    nearly_done = task.progress >= NEARLY_DONE_PROGRESS
    return protected, nearly_done, task.preemptions, -task.began_at, task.job_id
