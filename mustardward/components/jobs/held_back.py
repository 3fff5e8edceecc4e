"""Remember slots that long work gave back a moment ago."""

from __future__ import annotations

from collections import deque


class HeldBackSlots:
    """Keep freed slots from being filled again before urgent work used them."""

    def __init__(self, hold_seconds: float) -> None:
        self._hold_seconds = hold_seconds
        self._freed: dict[str, deque[float]] = {}

    def note(self, pool: str, now: float) -> None:
        """Count one slot that a task gave back."""
        self._freed.setdefault(pool, deque()).append(now)

    def count(self, pool: str, now: float) -> int:
        """Return how many slots are held back now."""
        freed = self._freed.get(pool)
        if freed is None:
            return 0
        while freed and freed[0] <= now - self._hold_seconds:
            freed.popleft()
        if not freed:
            del self._freed[pool]
        return len(freed)
