"""Measure what each pool's work asks for and takes; pure."""

from __future__ import annotations

from dataclasses import dataclass

from ...helpers.logging import get_logger
from .board import Board

_LOGGER = get_logger(__name__)


@dataclass(slots=True)
class PoolLoad:
    """Hold a pool's load, in thousandths of a core unless told otherwise.

    :param workers: that are confirmed and not leaving.
    :param lasting: taken by tasks that last.
    :param running: taken by all others.
    :param waiting: asked for by tasks whose turn has come.
    :param waiting_seconds: the same times their expected run time, in seconds.
    """

    workers: int = 0
    capacity: int = 0
    lasting: int = 0
    running: int = 0
    waiting: int = 0
    waiting_seconds: float = 0.0
    lasting_waiting: int = 0


def log_loads(board: Board) -> None:
    """Log each pool's load."""
    for service, load in measure(board).items():
        _LOGGER.info(
            "pool_load",
            service=service,
            workers=load.workers,
            capacity=load.capacity,
            lasting=load.lasting,
            running=load.running,
            waiting=load.waiting,
            waiting_seconds=load.waiting_seconds,
            lasting_waiting=load.lasting_waiting,
        )


def measure(board: Board) -> dict[str, PoolLoad]:
    """Return the load of each pool that has workers or work."""
    loads: dict[str, PoolLoad] = {}
    for worker in board.workers.values():
        load = loads.setdefault(worker.service, PoolLoad())
        if worker.confirmed and not worker.leaving:
            load.workers += 1
            load.capacity += worker.capacity.cpu
        for task in worker.tasks.values():
            if task.step.spec.long_running:
                load.lasting += task.step.room.cpu
            else:
                load.running += task.step.room.cpu
    for step in board.ready.values():
        load = loads.setdefault(step.job.policy.service, PoolLoad())
        cpu = step.room.cpu * len(step.waiting)
        if step.spec.long_running:
            load.lasting_waiting += cpu
        else:
            load.waiting += cpu
            load.waiting_seconds += cpu * board.estimates.seconds(step)
    return loads
