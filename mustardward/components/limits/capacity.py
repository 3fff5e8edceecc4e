"""Provide the current capacity of each pool."""

from __future__ import annotations

from collections.abc import Callable

from ...state.fleet import FleetState
from ...state.protocols import FleetLog
from ..membership.protocols import Membership
from .const import CAPACITY_MAXIMUM_AGE_SECONDS
from .models import PoolCapacity


class CapacityView:
    """Compute and cache pool capacities for ``CAPACITY_MAXIMUM_AGE_SECONDS``.

    :param slots: returns the slots for requests of a pool in this data centre.
    :param job_slots: returns the slots of a pool in this data centre that jobs hold.
    """

    def __init__(
        self,
        *,
        log: FleetLog,
        membership: Membership,
        slots: Callable[[str], int],
        job_slots: Callable[[str], int],
        data_centre: str,
    ) -> None:
        self._log = log
        self._membership = membership
        self._slots = slots
        self._job_slots = job_slots
        self._data_centre = data_centre
        self._cache: dict[str, tuple[float, PoolCapacity]] = {}
        self._reserves: dict[str, float] = {}
        self._reserves_version: tuple[FleetState, int] | None = None

    def get(self, pool: str, now: float) -> PoolCapacity:
        """Return the capacity of a pool."""
        cached = self._cache.get(pool)
        if cached is not None and now - cached[0] < CAPACITY_MAXIMUM_AGE_SECONDS:
            return cached[1]
        capacity = PoolCapacity(
            slots=self._slots(pool),
            entries=max(1, len(self._membership.live(self._data_centre))),
            reserve=self._reserve(pool),
            job_slots=self._job_slots(pool),
        )
        self._cache[pool] = (now, capacity)
        return capacity

    def _reserve(self, pool: str) -> float:
        state = self._log.state
        version = (state, self._log.sequence)
        if self._reserves_version is None or not _is_same_version(
            self._reserves_version, version
        ):
            self._reserves = _largest_reserves(state)
            self._reserves_version = version
        return self._reserves.get(pool, 0.0)


def _is_same_version(
    first: tuple[FleetState, int], second: tuple[FleetState, int]
) -> bool:
    return first[0] is second[0] and first[1] == second[1]


def _largest_reserves(state: FleetState) -> dict[str, float]:
    reserves: dict[str, float] = {}
    for organisation in state.organisations.values():
        share = organisation.parameters.urgent_reserve
        for binding in organisation.parameters.services:
            reserves[binding.pool] = max(share, reserves.get(binding.pool, 0.0))
    return reserves
