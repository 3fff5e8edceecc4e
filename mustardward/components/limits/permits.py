"""Compute how many permits this entry has for one pool."""

from __future__ import annotations

import math

from .adaptive import AdaptiveLimit
from .const import RESERVE_OVERCOMMIT
from .models import PoolCapacity


class PermitLimits:
    """Derive the permit limits of one pool from its capacity and adaptive limit.

    :param capacity: the pool's capacity in this data centre.
    """

    def __init__(self, capacity: PoolCapacity) -> None:
        self._limit = AdaptiveLimit()
        self._capacity = capacity
        self.resize(capacity)

    @property
    def limit(self) -> AdaptiveLimit:
        """Return the adaptive limit, which records latencies and busy refusals."""
        return self._limit

    @property
    def capacity(self) -> PoolCapacity:
        """Return the capacity most recently set."""
        return self._capacity

    @property
    def general(self) -> int:
        """Return the number of permits that any request may use."""
        if not self._capacity.slots:
            return 0
        return max(1, round(self._limit.limit * (1.0 - self._capacity.reserve)))

    @property
    def reserved(self) -> int:
        """Return the permits for urgent requests and organisations below their share.

        The reserve belongs to the whole pool. Dividing it among the entries would round
        up fractions of a permit and reserve far more than the template sets. Each entry
        may therefore use up to twice its part; if entries collide, the worker refuses
        as busy.
        """
        part = min(1.0, RESERVE_OVERCOMMIT / self._capacity.entries)
        return math.ceil(self._capacity.reserve * self._capacity.slots * part)

    @property
    def total(self) -> int:
        """Return the maximum number of requests in flight."""
        return min(self._capacity.slots, self.general + self.reserved)

    @property
    def below_share(self) -> int:
        """Return the maximum in flight to admit an organisation below its share."""
        return min(self.total, self.general + (self.reserved + 1) // 2)

    @property
    def with_job_slots(self) -> int:
        """Return the total plus this entry's part of the slots held by jobs."""
        return self.total + self._capacity.job_slots // self._capacity.entries

    def resize(self, capacity: PoolCapacity) -> None:
        """Apply a change of workers, entries or parameters; requests in flight stay."""
        self._capacity = capacity
        self._limit.resize(capacity.slots / capacity.entries, capacity.slots)
