"""Compare and create incarnations of workers."""

from __future__ import annotations

from ...platform.models import WorkerEntry
from .worker_state import WorkerState


def is_other_incarnation(born: int, known: int) -> bool:
    """Return whether two start times are known and of different incarnations."""
    return bool(born and known) and born != known


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
        born=entry.born,
    )
