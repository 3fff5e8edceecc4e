"""Work out how many places one pool has at this entry; pure."""

from __future__ import annotations

import math

from .adaptive import AdaptiveLimit
from .const import RESERVE_PARTS
from .models import PoolCapacity


class Places:
    """Hold the adaptive limit of one pool and what follows from it.

    :param capacity: the pool's capacity in this data centre.
    """

    def __init__(self, capacity: PoolCapacity) -> None:
        self._limit = AdaptiveLimit()
        self._capacity = capacity
        self.resize(capacity)

    @property
    def limit(self) -> AdaptiveLimit:
        """Return the limit, to be told of answers and refusals."""
        return self._limit

    @property
    def capacity(self) -> PoolCapacity:
        """Return the capacity last seen."""
        return self._capacity

    @property
    def open(self) -> int:
        """Return the places that any request may use."""
        if not self._capacity.slots:
            return 0
        return max(1, round(self._limit.limit * (1.0 - self._capacity.reserve)))

    @property
    def reserved(self) -> int:
        """Return the places kept for urgent work and light organisations.

        The reserve is the pool's, not split among entries: a place or less for each
        would be rounded up to far more than the template asks. Each entry may use up
        to twice its part, and where they meet the worker says that it is busy.
        """
        part = min(1.0, RESERVE_PARTS / self._capacity.entries)
        return math.ceil(self._capacity.reserve * self._capacity.slots * part)

    @property
    def total(self) -> int:
        """Return the number of requests that may be in flight."""
        return min(self._capacity.slots, self.open + self.reserved)

    @property
    def light(self) -> int:
        """Return the number that may be in flight when a light organisation asks."""
        return min(self.total, self.open + (self.reserved + 1) // 2)

    @property
    def soon(self) -> int:
        """Return the places with those that long work gives back to urgent work."""
        return self.total + self._capacity.lent // self._capacity.entries

    def resize(self, capacity: PoolCapacity) -> None:
        """Follow a change of workers, entries or parameters, losing nothing."""
        self._capacity = capacity
        self._limit.resize(capacity.slots / capacity.entries, capacity.slots)
