"""Measure the memory that membership takes for each member and each note."""

from __future__ import annotations

import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from mustardward.components.membership.counter import ChangeCounter
from mustardward.components.membership.instances import InstanceTable
from mustardward.components.membership.models import Member, MemberStatus
from mustardward.components.membership.table import MemberTable

_ITEMS: Final = 1000


@dataclass(frozen=True, slots=True)
class MemoryCost:
    """Hold bytes for each member known and for each leaving instance."""

    member_bytes: float
    note_bytes: float


def _member(number: int) -> Member:
    centre = f"region-{number % 6}-{number % 14}"
    address = f"10.1.{number // 250}.{number % 250}:9000"
    return Member(
        f"{centre}-{number}", centre, address, 2**41 + number, MemberStatus.ALIVE
    )


def _cost(fill: Callable[[], object]) -> float:
    tracemalloc.start()
    kept = fill()
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return used / _ITEMS


def _fill_members() -> MemberTable:
    table = MemberTable(_member(0), ChangeCounter(), 0.0)
    table.apply((_member(number) for number in range(1, _ITEMS)), 0.0)
    return table


def _fill_notes() -> InstanceTable:
    table = InstanceTable(ChangeCounter())
    for number in range(_ITEMS):
        table.record_leaving(f"worker-{number:05d}", "list", 0.0, 1)
    return table


def measure_memory() -> MemoryCost:
    """Return the cost of one of many."""
    return MemoryCost(_cost(_fill_members), _cost(_fill_notes))
