"""Decide how many instances a pool orders, lends and keeps; pure."""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from .const import RELEASE_DELAY_SECONDS
from .models import Demand, Need, Supply
from .projection import smallest_kept, smallest_order


@dataclass(slots=True)
class PoolSizing:
    """Size pools by their projected work.

    :param _kept: the last numbers of instances that each pool was to keep.
    """

    _kept: dict[str, list[tuple[float, int]]] = field(default_factory=dict)

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
        kept = max(ordered, smallest_kept(demand))
        longest = self._longest_kept(pool, kept, now)
        return Need(
            ordered + isolated,
            kept + isolated,
            longest + isolated,
            RELEASE_DELAY_SECONDS,
            _reason(missing, kept, demand.minimum),
        )

    def _longest_kept(self, pool: str, kept: int, now: float) -> int:
        """Return the largest recent number, since a forecast fluctuates."""
        history = self._kept.setdefault(pool, [])
        history.append((now, kept))
        while history[0][0] < now - RELEASE_DELAY_SECONDS:
            history.pop(0)
        return max(number for _, number in history)


def _reason(missing: int, kept: int, minimum: int) -> str:
    if missing:
        return "work_would_wait"
    return "projected_work" if kept > minimum else "minimum"
