"""Bound how many starts are decided before they leave; pure.

Load pattern: a turn brings thousands of tasks to an owner that is short of processor
time. It decides on all of them at once, most wait longer to leave than a decision may
be old, are withdrawn and decided anew: an owner at a tenth of its speed decided 142,766
starts for 2,732 tasks, and took 106 s for what it does in 10 s at full speed.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Final

FIRST_STARTS: Final = 256
LEAST_STARTS: Final = 16
MOST_STARTS: Final = 1024
"""Starts that may wait to leave. An owner with a core of its own carries 256 out within
a quarter of a second; the least keeps one busy that carries out 30 a second."""

SHRINK: Final = 0.5
GROWTH: Final = 1.1
SHRINK_AGAIN_SECONDS: Final = 0.5
"""What was decided by one plan is withdrawn together, and counts once."""


@dataclass(slots=True)
class StartWindow:
    """Find out how many starts this owner can carry out while they are fresh."""

    _most: float = FIRST_STARTS
    _shrunk_at: float = -math.inf

    @property
    def most(self) -> int:
        """Return how many starts may wait to leave."""
        return int(self._most)

    def room(self, waiting: int) -> int:
        """Return how many starts may be decided beside those that wait to leave.

        The window grows with each plan that finds none waiting.
        """
        if not waiting:
            self._most = min(MOST_STARTS, self._most * GROWTH)
        return max(0, self.most - waiting)

    def note_withdrawn(self, now: float) -> None:
        """Take in that a start waited too long to leave."""
        if now - self._shrunk_at < SHRINK_AGAIN_SECONDS:
            return
        self._shrunk_at = now
        self._most = max(LEAST_STARTS, self._most * SHRINK)
