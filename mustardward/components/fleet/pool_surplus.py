"""Select which idle instances a pool can give away, and in which order; pure."""

from __future__ import annotations

from collections import Counter

from ...helpers.policies import switchable
from ...platform.models import Instance
from .const import IDLE_TIMEOUT_SECONDS
from .models import FleetView


def _no_idle_timeout() -> float:
    return 0.0


@switchable(
    "idle-time",
    "an idle instance stays on for a while before it goes to standby",
    without=_no_idle_timeout,
)
def idle_timeout_seconds() -> float:
    """Return how long an instance stays idle before it goes to standby."""
    return IDLE_TIMEOUT_SECONDS


def _no_surplus(count: int, need: int) -> int:
    return 0


@switchable(
    "lending",
    "a full pool takes idle instances of other pools before standby ones",
    without=_no_surplus,
)
def surplus(count: int, need: int) -> int:
    """Return how many of its idle instances a pool can give to other pools."""
    return max(0, count - need)


def _sort_by_machine(instances: list[Instance]) -> None:
    instances.sort(key=lambda i: i.machine)


@switchable(
    "racks-apart",
    "the instances that a pool keeps are spread over several racks",
    without=_sort_by_machine,
)
def sort_by_rack_load(instances: list[Instance]) -> None:
    """Sort instances so that those of the rack with the most are given away first."""
    racks = Counter(_rack(instance) for instance in instances)
    instances.sort(key=lambda i: (-racks[_rack(i)], _rack(i), i.machine))


def unreachable_zones(view: FleetView) -> set[str]:
    """Return the data centres in which no worker is usable.

    Another instance of such a data centre may be just as unreachable as the one that it
    would replace.
    """
    unusable: set[str] = set()
    reachable: set[str] = set()
    for machine, instance in view.instances.items():
        if (instance.id or machine) in view.unusable:
            unusable.add(instance.zone)
        elif instance.id in view.loads:
            reachable.add(instance.zone)
    return unusable - reachable


def _rack(instance: Instance) -> str:
    return instance.labels[-1] if instance.labels else ""
