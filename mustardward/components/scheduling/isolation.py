"""Choose workers to reserve until suspected tasks can run there in isolation."""

from __future__ import annotations

from collections.abc import Callable

from .const import CLEARED_AFTER_SECONDS, ISOLATION_CRASHES, ISOLATION_WAIT_SECONDS
from .crashes import has_long_running, needs_isolation
from .models import Job, StepRun, Task
from .placement import (
    RemainingSeconds,
    count_fitting,
    may_run,
    place_gang,
    room_after_short_tasks,
)
from .worker_state import WorkerState

SecondsToEmpty = Callable[[WorkerState], float]


def could_run(worker: WorkerState, step: StepRun) -> bool:
    """Return whether a worker can run a task once its short tasks have ended."""
    return (
        may_run(worker, step)
        and count_fitting(room_after_short_tasks(worker), step.room) > 0
    )


def seconds_to_empty(
    worker: WorkerState, job: Job, remaining: RemainingSeconds, now: float
) -> float:
    """Return the expected seconds until a suspected job may use a worker.

    :param remaining: returns the expected remaining run time of a task.
    """
    others = [task for task in worker.tasks.values() if task.step.job is not job]
    return max(
        (_blocking_seconds(task, remaining, now) for task in others), default=0.0
    )


def _blocking_seconds(task: Task, remaining: RemainingSeconds, now: float) -> float:
    if task.step.spec.long_running:
        return CLEARED_AFTER_SECONDS - (now - task.started_at)
    return remaining(task)


def choose_workers_to_empty(
    workers: list[WorkerState],
    free: list[WorkerState],
    step: StepRun,
    suspects: list[Task],
    seconds: SecondsToEmpty,
) -> list[WorkerState]:
    """Return the workers to reserve for suspected tasks that can't run now.

    One worker is chosen to become empty, if that is soon enough not to block others for
    a long run. A gang also reserves the free workers, which other tasks would otherwise
    fill in the meantime.

    :param free: the workers that the suspects may use now.
    :param seconds: returns the expected seconds until a worker is free for them.
    """
    able = [worker for worker in workers if could_run(worker, step)]
    busy = [worker for worker in able if worker not in free]
    soon = [worker for worker in busy if seconds(worker) <= ISOLATION_WAIT_SECONDS]
    if not soon:
        return []
    best = min(soon, key=lambda worker: (has_long_running(worker), seconds(worker)))
    if not step.spec.gang:
        return [best]
    if place_gang(able, step, suspects, room_after_short_tasks) is None:
        return []
    return [best, *(worker for worker in able if worker in free)]


def put_overdue_isolation_first(steps: list[StepRun], now: float) -> list[StepRun]:
    """Return the steps with those first whose suspects have waited for too long.

    Steps that rank before them would otherwise fill each worker before it is empty.
    """
    return sorted(steps, key=lambda step: not _has_waited_too_long(step, now))


def _has_waited_too_long(step: StepRun, now: float) -> bool:
    if step.job.suspicion < ISOLATION_CRASHES:
        return False
    return any(
        needs_isolation(task) and now - task.ready_since > ISOLATION_WAIT_SECONDS
        for task in step.waiting.known()
    )
