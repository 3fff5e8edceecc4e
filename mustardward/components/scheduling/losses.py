"""Log lost workers: the cause, and what ran there."""

from __future__ import annotations

from enum import Enum
from typing import Final

from ...helpers.instruments import WORKERS_LOST
from ...helpers.logging import get_logger
from ...platform.workers import encode_task
from .models import Task
from .worker_state import WorkerState

_LOGGER = get_logger(__name__)

MAX_RUNS_PER_LINE: Final = 32
"""Most runs that one log line names."""


class LossCause(Enum):
    """Name the evidence that nothing of an incarnation runs any more."""

    ORDERED = "ordered"
    """The fleet began to move or maintain its instance."""

    UNLISTED = "unlisted"
    """It is unresponsive, and its instance is no longer listed."""

    REPLACED = "replaced"
    """Another incarnation responds at its address."""

    RESTARTED = "reborn"
    """It restarted under the same id."""

    LEASES_EXPIRED = "leases-over"
    """It is unresponsive, and all its leases have expired; it may be alive."""


def log_worker_lost(worker: WorkerState, cause: LossCause, now: float) -> None:
    """Log and count a lost worker; call this before its tasks are removed from it."""
    WORKERS_LOST.labels(cause.value).inc()
    runs = [_describe(task, now) for task in worker.tasks.values()]
    _LOGGER.info(
        "worker_lost",
        worker=worker.id,
        born=worker.started_at_ms,
        cause=cause.value,
        draining=worker.draining,
        leaving=worker.cordoned,
        unstored_ends=worker.unstored_ends,
        tasks=len(runs),
        runs=",".join(runs[:MAX_RUNS_PER_LINE]),
    )


def _describe(task: Task, now: float) -> str:
    """Return a run's name, its phase and its age in seconds."""
    age = now - task.started_at
    return f"{encode_task(task.name)}:{task.run}={task.phase.value}+{age:.3f}"
