"""Remember the newest pause of the process."""

from __future__ import annotations

import math
from dataclasses import dataclass


@dataclass(slots=True, eq=False)
class NewestPause:
    """Hold the newest pause of the process that was noticed.

    :param interval_seconds: time between two checks.
    :param threshold_seconds: a check that is later than this follows a pause.
    :param checked_at: when the process was last known to run, or None.
    """

    interval_seconds: float
    threshold_seconds: float
    checked_at: float | None = None
    ended_at: float = -math.inf
    seconds: float = 0.0

    def check(self, now: float) -> float:
        """Record that the process runs; return how long it was paused, or 0."""
        pause_seconds = self._unnoticed_seconds(now)
        self.checked_at = now
        if pause_seconds:
            self.record(now, pause_seconds)
        return pause_seconds

    def record(self, now: float, seconds: float) -> None:
        """Record a pause that has just ended."""
        self.ended_at = now
        self.seconds = seconds

    def seconds_since(self, since: float, now: float) -> float:
        """Return the seconds of a pause that ended since a time, noticed or not."""
        if unnoticed_seconds := self._unnoticed_seconds(now):
            return unnoticed_seconds
        return self.seconds if self.ended_at > since else 0.0

    def _unnoticed_seconds(self, now: float) -> float:
        if self.checked_at is None:
            return 0.0
        seconds = now - self.checked_at - self.interval_seconds
        return seconds if seconds > self.threshold_seconds else 0.0
