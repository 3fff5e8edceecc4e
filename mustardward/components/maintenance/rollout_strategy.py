"""Define the interface that limits the progress of a wave in one data centre."""

from __future__ import annotations

from typing import Protocol

from ...state.models.pools import Instance


class RolloutStrategy(Protocol):
    """Provide the concurrency, drain grace period and order of claims."""

    def concurrency(self, pool: str) -> int:
        """Return the maximum number of claimed instances of a pool."""
        ...

    def grace_seconds(self, pool: str) -> float:
        """Return the seconds that a drain waits before it moves work away."""
        ...

    def drain_cost(self, instance: Instance) -> float:
        """Return the cost of draining an instance; the cheapest is claimed first."""
        ...
