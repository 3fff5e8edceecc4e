"""Keep tasks waiting whose runs were lost before the log confirmed the owner; pure."""

from __future__ import annotations

from .models import StepRun, Task


def take_unconfirmed_tasks(step: StepRun) -> list[Task]:
    """Remove the tasks whose last loss is not confirmed from a step's queue.

    :return: the tasks, which the caller returns to the queue.
    """
    job = step.job
    if job.losses == job.losses_stored:
        return []
    return step.waiting.take(lambda task: task.loss > job.losses_stored)
