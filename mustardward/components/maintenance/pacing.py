"""Pace a wave in one data centre by the weights of the organisations it touches."""

from __future__ import annotations

from typing import Protocol

from ...state.models.pools import Instance


class RolloutStrategy(Protocol):
    """Say how many instances to take at once, which first, and how long to wait."""

    def concurrency(self, pool: str) -> int:
        """Return how many instances of a pool may be out at once here."""
        ...

    def grace_seconds(self, pool: str) -> float:
        """Return the seconds for which work may end by itself in a drain."""
        ...

    def drain_cost(self, instance: Instance) -> float:
        """Return the cost of taking an instance now; the least goes first."""
        ...
