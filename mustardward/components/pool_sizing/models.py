"""Define what pool sizing is given and what it decides."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Need:
    """Hold how many instances a pool needs.

    :param ordered: up to how many it orders.
    :param lent: beyond how many it gives its idle instances to other pools.
    :param kept: beyond how many it releases its idle instances.
    :param idle_seconds: how long an instance is idle before it is released.
    :param reason: what the number of instances follows from, for the log.
    """

    ordered: int
    lent: int
    kept: int
    idle_seconds: float
    reason: str = ""


@dataclass(frozen=True, slots=True)
class Supply:
    """Hold the instances that a pool has and gets.

    :param present: instances that are up and usable.
    :param arrivals: seconds until each ordered instance takes its first task.
    :param order_seconds: seconds until an instance that is ordered now does.
    """

    present: int
    arrivals: tuple[float, ...]
    order_seconds: float


@dataclass(frozen=True, slots=True)
class Demand:
    """Hold a pool's demand, in instances.

    :param cells: what short tasks use in each cell, if all start in time.
    :param long_running: what long-running tasks use.
    :param minimum: instances that the pool needs whatever its work is.
    """

    cells: list[float]
    long_running: float
    minimum: int
