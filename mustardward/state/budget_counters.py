"""Define availability budgets and the instance counters of a pool."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import Final

from .models.templates import Parameters

FLEET_SCOPE: Final = "fleet"
"""Scope of a budget over all data centres."""

_ROUNDING_TOLERANCE: Final = 1e-9


def ceil_share(share: float, total: int) -> int:
    """Return ``share`` of ``total``, rounded up.

    A tolerance compensates for floating-point error: a tenth of 30 is 3, although the
    product of the two numbers is slightly more.
    """
    return math.ceil(share * total - _ROUNDING_TOLERANCE)


@dataclass(frozen=True, slots=True)
class ScopeCount:
    """Hold the number of a pool's instances in one scope.

    ``largest_rack`` is the largest number of available instances in one rack.
    """

    total: int
    unavailable: int
    largest_rack: int


@dataclass(frozen=True, slots=True)
class Budget:
    """Hold one organisation's availability budget for one pool in one scope."""

    organisation: str
    pool: str
    scope: str
    total: int
    unavailable: int
    floor: int
    reserve: int

    @property
    def margin(self) -> int:
        """Return how many more instances may become unavailable."""
        return self.total - self.unavailable - self.floor - self.reserve

    @property
    def available(self) -> int:
        """Return how many instances are available."""
        return self.total - self.unavailable


def compute_budget(
    organisation: str, parameters: Parameters, pool: str, scope: str, count: ScopeCount
) -> Budget:
    """Return an organisation's budget for the given instance counts."""
    reserve = ceil_share(parameters.headroom, count.total)
    if parameters.reserve_largest_rack:
        reserve = max(reserve, count.largest_rack)
    return Budget(
        organisation=organisation,
        pool=pool,
        scope=scope,
        total=count.total,
        unavailable=count.unavailable,
        floor=ceil_share(parameters.minimum_available, count.total),
        reserve=reserve,
    )


@dataclass(slots=True)
class PoolCounter:
    """Count one pool's instances in one data centre, rack by rack.

    ``sizes`` maps a number of available instances to the number of racks that have it,
    so that the largest rack is found without iterating over all racks.
    """

    total: int = 0
    unavailable: int = 0
    racks: dict[str, int] = field(default_factory=dict)
    sizes: dict[int, int] = field(default_factory=dict)
    largest: int = 0

    def add(self, rack: str, available: bool, step: int) -> None:
        """Add (``step`` 1) or remove (``step`` -1) an instance."""
        self.total += step
        if available:
            self._change_rack(rack, step)
        else:
            self.unavailable += step

    def _change_rack(self, rack: str, step: int) -> None:
        before = self.racks.get(rack, 0)
        after = before + step
        self.racks[rack] = after
        self._count_size(before, -1)
        self._count_size(after, 1)
        if after == 0:
            del self.racks[rack]
        self.largest = max(self.largest, after)
        while self.largest and not self.sizes.get(self.largest):
            self.largest -= 1

    def _count_size(self, size: int, step: int) -> None:
        if size == 0:
            return
        self.sizes[size] = self.sizes.get(size, 0) + step
        if self.sizes[size] == 0:
            del self.sizes[size]
