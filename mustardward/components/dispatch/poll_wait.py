"""Choose how long a worker may delay its answer to a poll."""

from __future__ import annotations

from ..scheduling.models import Phase
from ..scheduling.pacing import Pacing
from ..scheduling.worker_state import WorkerState
from .const import (
    BUSY_POLL_MS,
    LONG_POLL_MS,
    SHORT_POLL_MS,
)


def choose_wait_ms(worker: WorkerState, pacing: Pacing) -> int:
    """Return how long a worker may wait for a run to end before it answers, in ms."""
    if not worker.confirmed or worker.stale or not worker.tasks:
        return 0
    if any(task.phase is Phase.UNCERTAIN for task in worker.tasks.values()):
        return 0
    if worker.cordoned or worker.draining:
        return SHORT_POLL_MS
    if pacing.needs_frequent_polls(worker):
        return SHORT_POLL_MS
    if any(not task.step.spec.long_running for task in worker.tasks.values()):
        return BUSY_POLL_MS
    return LONG_POLL_MS
