"""Search the smallest supply that serves projected work in time; pure.

Work that finds no room waits, and is served in order of arrival by what later cells
leave free. A cell's supply suffices while what waits can be served within a limit.
"""

from __future__ import annotations

import math

from .const import (
    BREAK_EVEN_SECONDS,
    CELL_SECONDS,
    CELLS,
    DRAIN_SECONDS,
    MAX_INSTANCES,
    MAX_KEEP_WAIT_SECONDS,
    MAX_WAIT_SECONDS,
    UTILISATION,
)
from .models import Demand, Supply


def smallest_order(demand: Demand, supply: Supply) -> int:
    """Return how many instances have to be ordered now."""
    cells = [_bounded(value) for value in demand.cells]
    present = _capacity_cells(supply, _bounded(demand.long_running))
    arrival = min(CELLS - 1, math.ceil(supply.order_seconds / CELL_SECONDS))
    window = slice(arrival, arrival + round(DRAIN_SECONDS / CELL_SECONDS))
    waiting = _waiting_after(cells[:arrival], present)
    beyond_seconds = max(0.0, supply.order_seconds - CELLS * CELL_SECONDS)
    waiting = max(0.0, waiting - beyond_seconds * present[-1])

    def suffices(count: int) -> bool:
        capacity = [value + count * UTILISATION for value in present[window]]
        left = _waiting_after(cells[window], capacity, waiting)
        return left <= MAX_WAIT_SECONDS * capacity[-1]

    if suffices(0):
        return 0
    low, high = 0, 1
    while not suffices(high):
        low, high = high, 2 * high
    while high - low > 1:
        middle = (low + high) // 2
        if suffices(middle):
            high = middle
        else:
            low = middle
    return high


def smallest_kept(demand: Demand) -> int:
    """Return the smallest constant supply that suffices until the break-even time."""
    count = round(BREAK_EVEN_SECONDS / CELL_SECONDS)
    cells = [_bounded(value) for value in demand.cells[:count]]
    low, high = 0.0, max(cells, default=0.0)
    while high - low > 0.5:
        middle = (low + high) / 2
        if _suffices(cells, [middle] * len(cells), 0.0, MAX_KEEP_WAIT_SECONDS):
            high = middle
        else:
            low = middle
    return math.ceil((high + _bounded(demand.long_running)) / UTILISATION)


def _bounded(instances: float) -> float:
    """Return a demand that can be calculated with, also of one that is no number."""
    return instances if 0 <= instances < MAX_INSTANCES else float(MAX_INSTANCES)


def _capacity_cells(supply: Supply, long_running: float) -> list[float]:
    """Return the capacity for short tasks in each cell, in instances."""
    cells = [supply.present * UTILISATION - long_running] * CELLS
    for seconds in supply.arrivals:
        for cell in range(min(CELLS, math.ceil(seconds / CELL_SECONDS)), CELLS):
            cells[cell] += UTILISATION
    return [max(0.0, value) for value in cells]


def _waiting_after(
    demand: list[float], capacity: list[float], waiting: float = 0.0
) -> float:
    """Return the work that waits after some cells, in instance seconds.

    :param waiting: the work that waits before them.
    """
    for used, available in zip(demand, capacity, strict=False):
        waiting = max(0.0, waiting + (used - available) * CELL_SECONDS)
    return waiting


def _suffices(
    demand: list[float], capacity: list[float], waiting: float, max_wait: float
) -> bool:
    """Return whether no work waits for longer than a limit."""
    for used, available in zip(demand, capacity, strict=True):
        waiting = max(0.0, waiting + (used - available) * CELL_SECONDS)
        if waiting > max_wait * available + 1e-9:
            return False
    return True
