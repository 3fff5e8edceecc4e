"""Check that availability budgets hold through failures and planned work."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass
from math import ceil

from ..models import Floor, History, PowerChange, PowerEvent, Violation
from .registry import INVARIANTS

DETECTION_SECONDS = 3.0
"""A failure younger than this may be unknown to whoever takes an instance out."""

_PLANNED_OUT = (PowerChange.DRAINING, PowerChange.REBOOTING)


@dataclass(slots=True)
class _Absent:
    """Hold the instances that are out, each since when."""

    planned: dict[str, float]
    failed: dict[str, float]

    def apply(self, event: PowerEvent) -> None:
        if event.change in _PLANNED_OUT:
            self.planned.setdefault(event.instance, event.at)
        elif event.change is PowerChange.FAILED:
            self.failed.setdefault(event.instance, event.at)
        elif event.change is PowerChange.RECOVERED:
            self.failed.pop(event.instance, None)
        else:
            self.planned.pop(event.instance, None)
            self.failed.pop(event.instance, None)


@INVARIANTS.register("budget")
def check_budget(history: History) -> Iterator[Violation]:
    """Find planned work that took a pool below an organisation's floor.

    Failures alone may break a floor; nobody can forbid them. Planned work may not:
    neither at the step itself, given the failures that could be known, nor later, as
    long as no more failed than the rack that headroom is kept for.
    """
    absent = _Absent({}, {})
    events = sorted(history.power, key=lambda item: item.at)
    for event in events:
        absent.apply(event)
        for floor in history.floors:
            yield from _check_floor(history, floor, absent, event)


def _check_floor(
    history: History, floor: Floor, absent: _Absent, event: PowerEvent
) -> Iterator[Violation]:
    members = _members(history, floor.pool, event.at)
    if event.instance not in members:
        return
    for scope, inside in _scopes(history, members).items():
        if event.instance not in inside:
            continue
        planned = {name for name in absent.planned if name in inside}
        failed = {
            name: since
            for name, since in absent.failed.items()
            if name in inside and name not in planned
        }
        least = ceil(floor.minimum_available * len(inside) - 1e-9)
        reserve = _largest_rack(history, inside) if floor.reserve_largest_rack else 0
        if event.change in _PLANNED_OUT:
            counted = _known(failed, event.at)
        else:
            counted = len(failed) if len(failed) <= reserve else 0
        left = len(inside) - len(planned) - counted
        if planned and left < least and _could_keep(inside, failed, least):
            detail = (
                f"{floor.organisation} pool={floor.pool} scope={scope} left={left} "
                f"floor={least} planned={len(planned)} failed={len(failed)}"
            )
            yield Violation("budget", event.instance, event.at, detail)


def _known(failed: dict[str, float], now: float) -> int:
    return sum(now - since > DETECTION_SECONDS for since in failed.values())


def _could_keep(inside: set[str], failed: dict[str, float], least: int) -> bool:
    """Tell whether the floor would hold without any planned work."""
    return len(inside) - len(failed) >= least


def _members(history: History, pool: str, at: float) -> set[str]:
    owner: dict[str, str] = {}
    for item in sorted(history.owned, key=lambda change: change.generation):
        if item.at <= at:
            owner[item.instance] = item.pool
    return {name for name, held in owner.items() if held == pool}


def _scopes(history: History, members: set[str]) -> dict[str, set[str]]:
    """Return the fleet and each data centre with the members inside it."""
    scopes: dict[str, set[str]] = {"fleet": set(members)}
    for place in history.placements:
        if place.instance in members:
            scopes.setdefault(place.data_centre, set()).add(place.instance)
    return scopes


def _largest_rack(history: History, inside: set[str]) -> int:
    racks = Counter(
        (place.data_centre, place.rack)
        for place in history.placements
        if place.instance in inside
    )
    return max(racks.values(), default=0)
