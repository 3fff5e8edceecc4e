"""Compare and create incarnations of workers."""

from __future__ import annotations

from ...platform.models import WorkerEntry
from .worker_state import WorkerState


def is_other_incarnation(started_at_ms: int, known_started_at_ms: int) -> bool:
    """Return whether two start times are known and of different incarnations."""
    return (
        bool(started_at_ms and known_started_at_ms)
        and started_at_ms != known_started_at_ms
    )


def make_worker(worker_id: str, entry: WorkerEntry) -> WorkerState:
    """Return a worker's state as its entry describes it."""
    room = entry.capacity
    return WorkerState(
        worker_id,
        entry.service,
        entry.zone,
        tuple(entry.labels),
        room,
        free_cpu=room.cpu,
        free_mem=room.mem_mb,
        free_gpu=room.gpu,
        started_at_ms=entry.born,
    )
