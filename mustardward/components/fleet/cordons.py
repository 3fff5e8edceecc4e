"""Determine which workers are cordoned; pure.

A cordoned worker gets no new tasks, because its instance is about to be moved or
maintained.
"""

from __future__ import annotations

from collections.abc import Container, Iterable

from ..scheduling.incarnations import is_other_incarnation
from ..scheduling.worker_state import WorkerState
from .models import MoveOrder, WaveRun

CordonedWorkers = dict[str, int]
"""Start time of each cordoned worker in milliseconds, or 0 for any incarnation."""


def find_cordoned(
    runs: Iterable[WaveRun],
    moves: Iterable[MoveOrder],
    needed_hosts: Container[str] = (),
) -> CordonedWorkers:
    """Return the workers that are being drained or have an unfinished order.

    :param needed_hosts: workers that can't be drained yet.
    """
    cordoned: CordonedWorkers = {}
    for move in moves:
        cordoned[move.worker_id] = move.started_at_ms
    for run in runs:
        for order in run.orders.values():
            cordoned[order.worker_id or ""] = order.started_at_ms
            cordoned[order.replacement_id] = order.replacement_started_at_ms
        for machine, worker_id in run.draining.items():
            if machine not in run.postponed and worker_id not in needed_hosts:
                cordoned[worker_id] = 0
    return cordoned


def is_cordoned(worker: WorkerState, cordoned: CordonedWorkers) -> bool:
    """Return whether a worker is cordoned; a later incarnation of its id is not."""
    started_at_ms = cordoned.get(worker.id)
    return started_at_ms is not None and not is_other_incarnation(
        worker.started_at_ms, started_at_ms
    )
