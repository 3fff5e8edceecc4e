"""Decide how many instances a pool orders, lends and keeps; pure."""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from .const import MINIMUM_MEMORY_SECONDS, RELEASE_DELAY_SECONDS
from .models import Demand, Need, Supply
from .projection import smallest_kept, smallest_order

History = dict[str, list[tuple[float, int]]]


@dataclass(slots=True)
class PoolSizing:
    """Size pools by their projected work.

    :param _kept: the last numbers of instances that each pool was to keep.
    :param _minimums: the last minimums of each pool.
    """

    _kept: History = field(default_factory=dict)
    _minimums: History = field(default_factory=dict)

    def need(
        self, pool: str, demand: Demand, supply: Supply, isolated: int, now: float
    ) -> Need:
        """Return how many instances a pool needs.

        :param isolated: instances that run suspected jobs, and nothing else.
        """
        supply = replace(supply, present=max(0, supply.present - isolated))
        missing = smallest_order(demand, supply)
        count = supply.present + len(supply.arrivals)
        ordered = max(demand.minimum, count + missing if missing else 0)
        minimum = _largest_recent(
            self._minimums, pool, demand.minimum, MINIMUM_MEMORY_SECONDS, now
        )
        kept = max(ordered, minimum, smallest_kept(demand))
        longest = _largest_recent(self._kept, pool, kept, RELEASE_DELAY_SECONDS, now)
        return Need(
            ordered + isolated,
            kept + isolated,
            longest + isolated,
            RELEASE_DELAY_SECONDS,
            _reason(missing, kept, minimum),
        )


def _largest_recent(
    histories: History, pool: str, number: int, seconds: float, now: float
) -> int:
    """Add a number to a pool's history; return the largest one within a time."""
    history = histories.setdefault(pool, [])
    history.append((now, number))
    while history[0][0] < now - seconds:
        history.pop(0)
    return max(number for _, number in history)


def _reason(missing: int, kept: int, minimum: int) -> str:
    if missing:
        return "work_would_wait"
    return "projected_work" if kept > minimum else "minimum"
