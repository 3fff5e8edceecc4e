"""Tell from the last arrivals how much room a pool's work is about to take; pure.

Load pattern: a queue's turn begins, and asks for twenty times what it did. What waits
shows that only bit by bit, while instances take 1.5 s to come: asked for by what waits,
they came in three lots over 3 s, and quick work of that time missed its objective. The
rate of the first arrivals tells the whole turn's need.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import Final

from ...helpers.policies import switchable
from ...platform.models import Room

WINDOW_SECONDS: Final = 0.75
"""Half of the time that an instance takes to come, and some 10 jobs of a quick turn."""

MIN_RATE_SECONDS: Final = 0.3
"""Least time that a rate is told from: of a turn that has just begun, the first seven
jobs tell it."""

MIN_ARRIVALS: Final = 8
"""Arrivals that a rate is told from at least, where so many came in RECENT_SECONDS: of
a kind that comes four times a second, 0.75 s hold three, and tell next to nothing."""

RECENT_SECONDS: Final = 3.0
MAX_JOBS_PER_GAP: Final = 2.0
"""A rate is at most so many jobs in the time since the last one came: after a turn's
end it falls within a second."""

MAX_ARRIVALS: Final = 64
"""Arrivals whose work makes up the mean. Sizes differ by factors: asked for by the
work of the last few alone, one large job of a turn brought twice what it needed."""


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
class _Arrivals:
    """Hold the last arrivals of one pool, the newest at the end."""

    times: deque[float] = field(default_factory=lambda: deque(maxlen=MAX_ARRIVALS))
    works: deque[Amount] = field(default_factory=lambda: deque(maxlen=MAX_ARRIVALS))

    def rate(self, now: float) -> float:
        """Return how many jobs a second come, told from the last ones."""
        count = 0
        first = now
        for at in reversed(self.times):
            age = now - at
            if age >= RECENT_SECONDS or (
                age >= WINDOW_SECONDS and count >= MIN_ARRIVALS
            ):
                break
            count += 1
            first = at
        if count < 2:
            return 0.0
        gap = max(now - self.times[-1], 1e-9)
        seen = (count - 1) / max(now - first, MIN_RATE_SECONDS)
        return min(seen, MAX_JOBS_PER_GAP / gap)

    def mean_work(self) -> Amount:
        """Return what a job asks for, as room times seconds."""
        mean = Amount()
        for work in self.works:
            mean.add_amount(work, 1 / len(self.works))
        return mean


def _forecast_nothing(inflow: Inflow, /, service: str, now: float) -> Amount:
    return Amount()


@dataclass(slots=True)
class Inflow:
    """Hold the work of the last arrivals, by pool."""

    _arrivals: dict[str, _Arrivals] = field(default_factory=dict)

    def record(self, service: str, now: float, work: Amount) -> None:
        """Take in a job's work, as room times seconds."""
        arrivals = self._arrivals.setdefault(service, _Arrivals())
        arrivals.times.append(now)
        arrivals.works.append(work)

    @switchable(
        "arrivals-forecast",
        "instances for a turn are ordered by its first arrivals",
        without=_forecast_nothing,
    )
    def rate(self, service: str, now: float) -> Amount:
        """Return the room that keeps up with the arrivals.

        A single job tells no rate: it asks for nothing beyond the room of its tasks.
        """
        total = Amount()
        arrivals = self._arrivals.get(service)
        if arrivals is not None:
            jobs = arrivals.rate(now)
            if jobs:
                total.add_amount(arrivals.mean_work(), jobs)
        return total
