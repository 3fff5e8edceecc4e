"""Say what a pool can do without, and which of its instances go first; pure."""

from __future__ import annotations

from collections import Counter

from ...helpers.policies import switchable
from ...platform.models import Instance
from .const import IDLE_SECONDS
from .models import FleetView


def _wait_for_nothing() -> float:
    return 0.0


@switchable(
    "idle-time",
    "an idle instance stays for a while before it goes off",
    without=_wait_for_nothing,
)
def idle_seconds() -> float:
    """Return how long an instance stands idle before it goes off."""
    return IDLE_SECONDS


def _spare_nothing(have: int, need: int) -> int:
    return 0


@switchable(
    "lending",
    "a full pool takes idle instances of others before standby ones",
    without=_spare_nothing,
)
def spare(have: int, need: int) -> int:
    """Return how many of its idle instances a pool can lend."""
    return max(0, have - need)


def _keep_order(instances: list[Instance]) -> None:
    instances.sort(key=lambda i: i.machine)


@switchable(
    "racks-apart",
    "a pool's last instances stand on several racks",
    without=_keep_order,
)
def keep_racks_apart(instances: list[Instance]) -> None:
    """Order instances so that those of the fullest rack are lent first."""
    racks = Counter(_rack(instance) for instance in instances)
    instances.sort(key=lambda i: (-racks[_rack(i)], _rack(i), i.machine))


def unheard_zones(view: FleetView) -> set[str]:
    """Return the data centres whose workers can all run nothing.

    An instance from there may be as far out of reach as the one that it is taken for.
    """
    unusable: set[str] = set()
    heard: set[str] = set()
    for machine, instance in view.instances.items():
        if (instance.id or machine) in view.unusable:
            unusable.add(instance.zone)
        elif instance.id in view.loads:
            heard.add(instance.zone)
    return unusable - heard


def _rack(instance: Instance) -> str:
    return instance.labels[-1] if instance.labels else ""
