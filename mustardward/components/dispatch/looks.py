"""Choose how long a worker keeps a look until something ends there."""

from __future__ import annotations

from ..scheduling.models import Phase
from ..scheduling.pacing import Pacing
from ..scheduling.worker_state import WorkerState
from .const import (
    BUSY_HOLD_MILLISECONDS,
    LONG_HOLD_MILLISECONDS,
    SHORT_HOLD_MILLISECONDS,
)


def choose_wait_ms(worker: WorkerState, pacing: Pacing) -> int:
    """Return how long a worker may keep a look, in milliseconds."""
    if not worker.confirmed or worker.stale or not worker.tasks:
        return 0
    if any(task.phase is Phase.UNCERTAIN for task in worker.tasks.values()):
        return 0
    if worker.leaving or worker.draining:
        return SHORT_HOLD_MILLISECONDS
    if pacing.needs_frequent_polls(worker):
        return SHORT_HOLD_MILLISECONDS
    if any(not task.step.spec.long_running for task in worker.tasks.values()):
        return BUSY_HOLD_MILLISECONDS
    return LONG_HOLD_MILLISECONDS
