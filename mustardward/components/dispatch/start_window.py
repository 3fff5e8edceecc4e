"""Limit how many planned starts may wait to be sent.

A demand peak brings thousands of tasks to an owner that is short of processor time. If
it plans all of them at once, most starts exceed their maximum age before they are sent,
are withdrawn and planned again: an owner at a tenth of its speed planned 142,766 starts
for 2,732 tasks, and took 106 s for what it does in 10 s at full speed.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Final

INITIAL_STARTS: Final = 256
MIN_STARTS: Final = 16
MAX_STARTS: Final = 1024
"""Starts that may wait to be sent. An owner with a core of its own sends 256 within a
quarter of a second; the minimum keeps an owner busy that sends 30 per second."""

SHRINK_FACTOR: Final = 0.5
GROWTH_FACTOR: Final = 1.1
SHRINK_INTERVAL_SECONDS: Final = 0.5
"""The starts of one plan are withdrawn together and shrink the window only once."""


@dataclass(slots=True)
class StartWindow:
    """Adapt the number of waiting starts to what this owner can send in time."""

    _size: float = INITIAL_STARTS
    _shrunk_at: float = -math.inf

    @property
    def size(self) -> int:
        """Return how many starts may wait to be sent."""
        return int(self._size)

    def available(self, waiting: int) -> int:
        """Return how many starts may be planned besides those that are waiting.

        The window grows with each plan that finds no start waiting.
        """
        if not waiting:
            self._size = min(MAX_STARTS, self._size * GROWTH_FACTOR)
        return max(0, self.size - waiting)

    def record_withdrawn(self, now: float) -> None:
        """Shrink the window after a start waited too long to be sent."""
        if now - self._shrunk_at < SHRINK_INTERVAL_SECONDS:
            return
        self._shrunk_at = now
        self._size = max(MIN_STARTS, self._size * SHRINK_FACTOR)
