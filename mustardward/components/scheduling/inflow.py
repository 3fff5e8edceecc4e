"""Tell from the last arrivals how much room a pool's work is about to take; pure.

Load pattern: a queue's turn begins, and asks for twenty times what it did. What waits
shows that only bit by bit, while instances take 1.5 s to come: asked for by what waits,
they came in three lots over 3 s, and quick work of that time missed its objective. The
rate of the first arrivals tells the whole turn's need.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field

from ...platform.models import Room

WINDOW_SECONDS = 0.75
"""Half of the time that an instance takes to come, and some 10 jobs of a turn."""


@dataclass(slots=True)
class Amount:
    """Hold room, or room times seconds: thousandths of a core, MB, accelerators."""

    cpu: float = 0.0
    mem_mb: float = 0.0
    gpu: float = 0.0

    def add(self, room: Room, times: float = 1.0) -> None:
        """Add room, so many times."""
        self.cpu += room.cpu * times
        self.mem_mb += room.mem_mb * times
        self.gpu += room.gpu * times

    def add_amount(self, other: Amount, times: float = 1.0) -> None:
        """Add another amount, so many times."""
        self.cpu += other.cpu * times
        self.mem_mb += other.mem_mb * times
        self.gpu += other.gpu * times

    def share_of(self, room: Room) -> float:
        """Return how many times it takes the room, by what is scarcest there."""
        return max(
            self.cpu / max(1, room.cpu),
            self.mem_mb / max(1, room.mem_mb),
            self.gpu / room.gpu if room.gpu else 0.0,
        )


@dataclass(slots=True)
class Inflow:
    """Hold the work of the last arrivals, by pool."""

    _arrivals: dict[str, deque[tuple[float, Amount]]] = field(default_factory=dict)

    def note(self, service: str, now: float, work: Amount) -> None:
        """Take in a job's work, as room times seconds."""
        self._arrivals.setdefault(service, deque()).append((now, work))

    def rate(self, service: str, now: float) -> Amount:
        """Return the room that keeps up with the arrivals.

        Few arrivals tell little of their rate: one standard error is taken off, so that
        a single large job asks for nothing beyond the room of its own tasks.
        """
        total = Amount()
        arrivals = self._arrivals.get(service)
        if arrivals is None:
            return total
        while arrivals and arrivals[0][0] <= now - WINDOW_SECONDS:
            arrivals.popleft()
        count = len(arrivals)
        if not count:
            return total
        trust = (count - math.sqrt(count)) / count
        for _, work in arrivals:
            total.add_amount(work, trust / WINDOW_SECONDS)
        return total
