"""Track slots that were recently freed for urgent work."""

from __future__ import annotations

from collections import deque


class SlotCooldown:
    """Withhold freed slots from jobs so that urgent work can take them first."""

    def __init__(self, cooldown_seconds: float) -> None:
        self._cooldown_seconds = cooldown_seconds
        self._freed_at: dict[str, deque[float]] = {}

    def record_freed(self, pool: str, now: float) -> None:
        """Record one slot that a task freed."""
        self._freed_at.setdefault(pool, deque()).append(now)

    def count(self, pool: str, now: float) -> int:
        """Return the number of slots in their cooldown."""
        freed_at = self._freed_at.get(pool)
        if freed_at is None:
            return 0
        while freed_at and freed_at[0] <= now - self._cooldown_seconds:
            freed_at.popleft()
        if not freed_at:
            del self._freed_at[pool]
        return len(freed_at)
