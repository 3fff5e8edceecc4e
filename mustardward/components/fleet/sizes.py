"""Say how large the instances of each pool are; pure."""

from __future__ import annotations

from collections import defaultdict
from typing import Final

from ...platform.models import Room
from .models import FleetView

ANY_POOL: Final = ""
"""Stands for all pools: one that has no instance is taken for as large as they are."""


def sizes_of(view: FleetView) -> dict[str, Room]:
    """Return the mean room of each pool's instances, and of all of them."""
    rooms: dict[str, list[Room]] = defaultdict(list)
    for instance in view.instances.values():
        rooms[instance.pool].append(view.room_of(instance))
    sizes = {pool: _mean(of_pool) for pool, of_pool in rooms.items()}
    sizes[ANY_POOL] = _mean([room for of_pool in rooms.values() for room in of_pool])
    return sizes


def _mean(rooms: list[Room]) -> Room:
    count = max(1, len(rooms))
    return Room(
        sum(room.cpu for room in rooms) // count,
        sum(room.mem_mb for room in rooms) // count,
        max((room.gpu for room in rooms), default=0),
    )
