"""Gather into the history what the stand-ins recorded."""

from __future__ import annotations

from math import inf

from mustardward.standin.executions import Execution as Recorded

from .models import Execution, TaskExecution
from .planners import ONCE_PREFIX
from .world import World


def collect(world: World) -> None:
    """Add every worker's executions and task runs.

    A task is named after its organisation and its job.
    """
    now = world.now()
    for name, worker in world.workers.items():
        for item in worker.executions.list_executions():
            world.history.executions.append(_execution(name, item))
        for run in worker.tasks.runs(now):
            world.history.tasks.append(
                TaskExecution(
                    job_id=run.task_id,
                    instance=name,
                    generation=run.generation,
                    idempotent=f".{ONCE_PREFIX}" not in run.task_id,
                    start=run.start,
                    end=run.end or inf,
                    outcome=run.outcome,
                )
            )


def _execution(instance: str, item: Recorded) -> Execution:
    service = item.path.split("/", 3)[2]
    return Execution(
        operation_id=item.request_id,
        attempt_id=item.attempt_id,
        instance=instance,
        organisation=item.organisation,
        service=service,
        key=item.idempotency_key,
        pool_generation=item.pool_generation,
        start=item.start,
        end=item.end or inf,
        cut=item.cut,
    )
