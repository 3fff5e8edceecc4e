"""Forecast from recent arrivals the resources that a pool's work is about to need.

A demand peak may raise a queue's load to twenty times its previous level. The backlog
shows this only gradually, while instances take 1.5 s to start: ordered by the backlog,
they arrive in three batches over 3 s, and quick jobs of that time miss their objective.
The rate of the first arrivals predicts the need of the whole peak.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import Final

from ...helpers.policies import switchable
from ...platform.models import Room
from ..pool_sizing.const import CELL_SECONDS, CELLS
from ..pool_sizing.work_profile import WorkProfile

WINDOW_SECONDS: Final = 0.75
"""Window of the arrival rate: half of the start time of an instance, and about 10 jobs
of a peak of quick jobs."""

MIN_RATE_SECONDS: Final = 0.3
"""Shortest time over which a rate is computed, so that a peak that has just begun is
measured by at least its first seven jobs."""

MIN_ARRIVALS: Final = 8
"""Fewest arrivals from which a rate is computed, if RECENT_SECONDS contain that many:
jobs that arrive four times a second would contribute only three in 0.75 s."""

RECENT_SECONDS: Final = 3.0
"""Age above which arrivals are ignored."""

MAX_JOBS_PER_GAP: Final = 2.0
"""Upper bound of the rate, as jobs per time since the last arrival, so that the rate
drops within a second of a peak's end."""

MAX_ARRIVALS: Final = 64
"""Arrivals over which the work of a job is averaged. Job sizes differ by factors: with
an average over only a few, one large job of a peak doubles the forecast."""


@dataclass(slots=True)
class Amount:
    """Hold resources, or resources times seconds: millicores, MB and accelerators."""

    cpu: float = 0.0
    mem_mb: float = 0.0
    gpu: float = 0.0

    def add(self, room: Room, times: float = 1.0) -> None:
        """Add a room, multiplied by a factor."""
        self.cpu += room.cpu * times
        self.mem_mb += room.mem_mb * times
        self.gpu += room.gpu * times

    def add_amount(self, other: Amount, times: float = 1.0) -> None:
        """Add another amount, multiplied by a factor."""
        self.cpu += other.cpu * times
        self.mem_mb += other.mem_mb * times
        self.gpu += other.gpu * times

    def share_of(self, room: Room) -> float:
        """Return this amount as a multiple of a room, by the scarcest resource."""
        return max(
            self.cpu / max(1, room.cpu),
            self.mem_mb / max(1, room.mem_mb),
            self.gpu / room.gpu if room.gpu else 0.0,
        )


@dataclass(slots=True)
class _Arrivals:
    """Hold the last arrivals of one pool, oldest first."""

    times: deque[float] = field(default_factory=lambda: deque(maxlen=MAX_ARRIVALS))
    works: deque[Amount] = field(default_factory=lambda: deque(maxlen=MAX_ARRIVALS))
    seconds: deque[float] = field(default_factory=lambda: deque(maxlen=MAX_ARRIVALS))

    def rate(self, now: float) -> float:
        """Return the rate of recent arrivals, in jobs per second."""
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
        observed = (count - 1) / max(now - first, MIN_RATE_SECONDS)
        return min(observed, MAX_JOBS_PER_GAP / gap)

    def mean_work(self) -> Amount:
        """Return the mean work of a job, as resources times seconds."""
        mean = Amount()
        for work in self.works:
            mean.add_amount(work, 1 / len(self.works))
        return mean


def _forecast_nothing(inflow: Inflow, /, service: str, now: float) -> Amount:
    return Amount()


@dataclass(slots=True)
class Inflow:
    """Track the work of recent arrivals by pool."""

    _arrivals: dict[str, _Arrivals] = field(default_factory=dict)

    def record(
        self, service: str, now: float, work: Amount, seconds: float = 1.0
    ) -> None:
        """Record the arrival of a job's work, as resources times seconds.

        :param seconds: the shortest time in which the job can complete.
        """
        arrivals = self._arrivals.setdefault(service, _Arrivals())
        arrivals.times.append(now)
        arrivals.works.append(work)
        arrivals.seconds.append(seconds)

    @switchable(
        "arrivals-forecast",
        "instances for a demand peak are ordered by its first arrivals",
        without=_forecast_nothing,
    )
    def rate(self, service: str, now: float) -> Amount:
        """Return the resources that keep up with the arrivals.

        A single job yields no rate, so that it requests nothing beyond its own tasks.
        """
        total = Amount()
        arrivals = self._arrivals.get(service)
        if arrivals is not None:
            jobs = arrivals.rate(now)
            if jobs:
                total.add_amount(arrivals.mean_work(), jobs)
        return total

    def add_expected(self, service: str, profile: WorkProfile, now: float) -> None:
        """Add the jobs that are expected to arrive to a profile."""
        arrivals = self._arrivals.get(service)
        rate = arrivals.rate(now) if arrivals is not None else 0.0
        if arrivals is None or not rate:
            return
        seconds = max(CELL_SECONDS, sum(arrivals.seconds) / len(arrivals.seconds))
        used = Amount()
        used.add_amount(arrivals.mean_work(), 1 / seconds)
        for cell in range(CELLS):
            jobs = rate * CELL_SECONDS
            profile.add(used, seconds, jobs, cell * CELL_SECONDS)
