"""Rank the instances of a maintenance wave in the order to drain them; pure."""

from __future__ import annotations

from collections.abc import Callable

from ...helpers.policies import switchable
from ...platform.models import Instance
from .const import MAINTENANCE_CYCLE_SECONDS
from .models import FleetView, Load

DrainRank = tuple[bool, bool, int, int, str]


def _rank(instance: Instance, view: FleetView) -> DrainRank:
    """Return the rank of an instance by the cost to its pool; the lowest is first."""
    load = view.loads.get(instance.id or "", Load(0, 0))
    is_on = instance.pool not in view.standby
    return (False, is_on, load.long_running, load.short_running, instance.machine)


def _late_rank(instance: Instance, view: FleetView) -> DrainRank:
    """Return the rank of an instance after a wave's first cycle.

    Instances with long-running tasks come first. They are drained a few at a time,
    since few tasks of a step may be interrupted together, so left to the end of a wave
    they would finish late however many others were maintained at once. After the first
    cycle, their tasks can restart on workers that are already maintained.
    """
    _, is_on, long_running, short_running, machine = _rank(instance, view)
    return (long_running == 0, is_on, long_running, short_running, machine)


RankFunction = Callable[[Instance, FleetView], DrainRank]


def _always_rank(elapsed_seconds: float) -> RankFunction:
    return _rank


@switchable(
    "early-evacuation",
    "a wave drains instances with long-running tasks while it still has time",
    without=_always_rank,
)
def choose_rank(elapsed_seconds: float) -> RankFunction:
    """Return the rank function for a wave that started this long ago."""
    return _rank if elapsed_seconds < MAINTENANCE_CYCLE_SECONDS else _late_rank
