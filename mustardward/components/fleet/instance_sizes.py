"""Calculate the mean instance size of each pool; pure."""

from __future__ import annotations

from collections import defaultdict
from typing import Final

from ...platform.models import Room
from .models import FleetView

ALL_POOLS: Final = ""
"""Key of the mean over all pools, which applies to a pool without instances."""


def mean_sizes(view: FleetView) -> dict[str, Room]:
    """Return the mean capacity of the instances of each pool and of all pools."""
    capacities: dict[str, list[Room]] = defaultdict(list)
    for instance in view.instances.values():
        capacities[instance.pool].append(view.capacity_of(instance))
    sizes = {pool: _mean(of_pool) for pool, of_pool in capacities.items()}
    sizes[ALL_POOLS] = _mean(
        [capacity for of_pool in capacities.values() for capacity in of_pool]
    )
    return sizes


def _mean(capacities: list[Room]) -> Room:
    count = max(1, len(capacities))
    return Room(
        sum(capacity.cpu for capacity in capacities) // count,
        sum(capacity.mem_mb for capacity in capacities) // count,
        max((capacity.gpu for capacity in capacities), default=0),
    )
