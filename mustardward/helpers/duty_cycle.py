"""Limit the share of this process's time that periodic work takes; pure.

Scanning 3,000 instances takes 30 ms. Ten scans a second leave an owner on half a core
no time for its workers: they count as unresponsive, its lease renewals are late, and
another owner takes over. The interval therefore follows the measured duration, and
grows only in a large fleet or on a slow instance.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class DutyCycle:
    """Pauses between the runs of periodic work.

    :param min_pause_seconds: minimum pause, however short a run is.
    :param share: maximum share of this process's time.
    :param max_pause_seconds: maximum pause. A run during which the process was
        suspended seems long though that time was not spent on work, so it must not
        cause an equally long pause.
    """

    min_pause_seconds: float
    share: float
    max_pause_seconds: float

    def pause(self, spent_seconds: float) -> float:
        """Return the pause in seconds after a run of the given duration."""
        pause_seconds = spent_seconds * (1 / self.share - 1)
        return max(self.min_pause_seconds, min(self.max_pause_seconds, pause_seconds))
