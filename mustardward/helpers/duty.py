"""Bound the share of this process's time that repeated work takes; pure.

Load pattern: looking over 3,000 instances takes 30 ms, and ten looks a second leave an
owner on half a core no time to answer its workers: they count as silent, its renewals
are late, and another owner begins anew. Work that finds out what it costs is done less
often in a large fleet or on a slow instance, and as often as ever elsewhere.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class DutyCycle:
    """Hold how often something is done.

    :param least_pause: seconds between two times, however little one takes.
    :param share: most of this process's time that it may take.
    :param longest_pause: the most, in seconds: a process that is frozen in the middle
        of a time has not worked for so long, and must not rest for it.
    """

    min_pause_seconds: float
    share: float
    max_pause_seconds: float

    def pause(self, spent_seconds: float) -> float:
        """Return how long to wait after a time that took so many seconds."""
        owed = spent_seconds * (1 / self.share - 1)
        return max(self.min_pause_seconds, min(self.max_pause_seconds, owed))
