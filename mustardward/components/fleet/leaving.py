"""Say which workers the fleet is about to take; pure."""

from __future__ import annotations

from collections.abc import Iterable

from ..scheduling.incarnations import is_other_incarnation
from ..scheduling.worker_state import WorkerState
from .models import MoveOrder, WaveRun

Leaving = dict[str, int]
"""When each worker that leaves had started, or 0 for whichever runs under its id."""


def find_leaving(runs: Iterable[WaveRun], moves: Iterable[MoveOrder]) -> Leaving:
    """Return what is being emptied, and what was ordered and was not seen again."""
    leaving: Leaving = {}
    for order in moves:
        leaving[order.worker] = order.born
    for run in runs:
        for given in run.orders.values():
            leaving[given.old_id or ""] = given.old_born
        for worker_id in run.emptying.values():
            leaving[worker_id] = 0
    return leaving


def is_leaving(worker: WorkerState, leaving: Leaving) -> bool:
    """Return whether a worker leaves; one that came since under its id does not."""
    born = leaving.get(worker.id)
    return born is not None and not is_other_incarnation(worker.born, born)
