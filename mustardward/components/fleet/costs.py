"""Say which instances of a wave go first; pure."""

from __future__ import annotations

from collections.abc import Callable

from ...helpers.policies import switchable
from ...platform.models import Instance
from .const import CYCLE_SECONDS
from .models import FleetView, Load

Cost = tuple[bool, bool, int, int, str]


def _cost(instance: Instance, view: FleetView) -> Cost:
    """Return what taking an instance costs its pool; the least goes first."""
    load = view.loads.get(instance.id or "", Load(0, 0))
    is_on = instance.pool not in view.standby
    return (False, is_on, load.lasting, load.others, instance.machine)


def _late_cost(instance: Instance, view: FleetView) -> Cost:
    """Return the same once some instances are done with.

    Instances that tasks last on are emptied a few at a time, since few of a step's
    tasks may be away together. Left to the end of a wave, they are late, however many
    others were maintained at once before; now their tasks find workers that have it
    behind them.
    """
    _, is_on, lasting, others, machine = _cost(instance, view)
    return (lasting == 0, is_on, lasting, others, machine)


Costing = Callable[[Instance, FleetView], Cost]


def _always_cheapest(since: float) -> Costing:
    return _cost


@switchable(
    "early-evacuation",
    "a wave empties instances of lasting tasks while it has time",
    without=_always_cheapest,
)
def choose_cost(since: float) -> Costing:
    """Return how to compare a wave's instances, so many seconds after its begin."""
    return _cost if since < CYCLE_SECONDS else _late_cost
