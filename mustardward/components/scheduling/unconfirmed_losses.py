"""Keep tasks waiting whose runs were lost before the log confirmed the owner; pure."""

from __future__ import annotations

from collections import deque

from .models import StepRun, Task


def take_unconfirmed_tasks(step: StepRun) -> list[Task]:
    """Remove the tasks whose last loss is not confirmed from a step's queue.

    :return: the tasks, which the caller returns to the queue.
    """
    job = step.job
    if job.losses == job.losses_stored:
        return []
    unconfirmed = [task for task in step.waiting if task.loss > job.losses_stored]
    if unconfirmed:
        step.waiting = deque(t for t in step.waiting if t.loss <= job.losses_stored)
    return unconfirmed
