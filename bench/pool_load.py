"""Draw the jobs of demand peaks that follow each other in four pools; pure.

Load pattern: each queue in turn receives five times its mean for about 10 s, more than
its pool holds, and a twentieth of its mean in between. Two queues have short jobs, two
have longer ones, and each pool has long-running jobs of 24 tasks.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field, replace
from random import Random
from typing import Final

from mustardward.components.reports.day_models import Resources
from mustardward.components.reports.workload import JobTrace, StepTrace, Workload

STRETCH: Final = 1.6
TARGET_SECONDS: Final = 0.6
TROUGH: Final = 0.05
"""Load between peaks, as a share of a queue's mean."""

PEAK: Final = 5.0
PEAK_SECONDS: Final = 10.0
CYCLE_SECONDS: Final = 41.0
END_SECONDS: Final = 9.0
"""Time that is played after the last peak has begun and ended."""

MEMORY_MB: Final = 64_000
LONG_RUNNING_TASKS: Final = 24


@dataclass(frozen=True, slots=True)
class Queue:
    """Describe a queue's jobs; means of skewed draws."""

    pool: str
    jobs_per_second: float
    steps: float
    seconds: float
    cores: float
    priority: int = 0


QUEUES: Final = (
    Queue("p0", 12.0, 1.6, 0.75, 2.3),
    Queue("p1", 2.4, 2.0, 1.6, 5.0, priority=1),
    Queue("p2", 13.0, 1.6, 0.7, 1.8),
    Queue("p3", 2.6, 2.0, 1.5, 4.5, priority=1),
)


@dataclass(frozen=True, slots=True)
class Peak:
    """Describe one peak of a queue; its height as a multiple of the mean."""

    queue: int
    at: float
    height: float = PEAK
    seconds: float = PEAK_SECONDS
    stops_after: float = math.inf
    flat: bool = False

    def level(self, now: float) -> float:
        """Return the load at a time, as a multiple of the queue's mean."""
        elapsed = now - self.at
        if not 0.0 <= elapsed < min(self.seconds, self.stops_after):
            return 0.0
        if self.flat:
            return self.height * min(1.0, elapsed / 2.0, (self.seconds - elapsed) / 1.0)
        return 1.25 * self.height * math.sin(math.pi * elapsed / self.seconds)


@dataclass(frozen=True, slots=True)
class Case:
    """Hold the peaks of one replay.

    :param rack_lost_at: when the rack with most of the peak's workers is lost.
    """

    name: str
    peaks: tuple[Peak, ...]
    rack_lost_at: float = math.inf

    @property
    def seconds(self) -> float:
        """Return how long the replay lasts."""
        return max(peak.at + peak.seconds for peak in self.peaks) + END_SECONDS


CASES: Final = (
    Case(
        "cycles",
        tuple(
            Peak(queue, 2.0 + queue * CYCLE_SECONDS / 4 + cycle * CYCLE_SECONDS)
            for cycle in range(2)
            for queue in range(len(QUEUES))
        ),
    ),
    Case("halfway", (Peak(0, 2.0), Peak(0, 24.0, stops_after=4.0))),
    Case("twice", (Peak(0, 2.0), Peak(0, 24.0, height=2 * PEAK))),
    Case("together", (Peak(0, 2.0), Peak(2, 3.0), Peak(1, 22.0), Peak(2, 22.0))),
    Case("rack", (Peak(2, 2.0), Peak(1, 22.0)), rack_lost_at=28.0),
)


@dataclass(slots=True)
class DrawnJob:
    """Hold a job, and the estimates that its caller declares for its steps."""

    trace: JobTrace
    declared_seconds: tuple[float, ...]
    priority: int
    done_at: float = math.inf

    @property
    def in_time(self) -> bool:
        """Return whether it was done within its objective."""
        return self.done_at - self.trace.submitted_at <= self.trace.objective_seconds


@dataclass(slots=True)
class Load:
    """Hold what one replay is given.

    :param worker_cores: size of a worker; the workers of half of the seeds are small.
    """

    case: Case
    worker_cores: int
    rack_size: int
    jobs: list[DrawnJob] = field(default_factory=list)
    spreads: dict[str, tuple[int, int]] = field(default_factory=dict)
    long_cores: dict[str, float] = field(default_factory=dict)


def draw(case: Case, seed: int, declared_spread: float) -> Load:
    """Return the load of a case.

    :param declared_spread: spread of the declared run times, as a logarithm.
    """
    random = Random(f"{case.name}/{seed}")
    small = seed % 2 == 0
    load = Load(case, 16 if small else 32, 8 if small else 20)
    for number, queue in enumerate(QUEUES):
        load.spreads[queue.pool] = random.choice(((2, 3), (3, 4), (2, 4)))
        load.long_cores[queue.pool] = random.uniform(0.5, 2.5)
        peaks = [_vary(peak, random) for peak in case.peaks if peak.queue == number]
        now = 0.0
        while now < case.seconds - END_SECONDS:
            level = max((peak.level(now) for peak in peaks), default=0.0)
            # Thinning of a Poisson process whose rate is the largest that may occur.
            most = queue.jobs_per_second * 2.6 * PEAK
            now += random.expovariate(most)
            if random.random() < queue.jobs_per_second * max(TROUGH, level) / most:
                load.jobs.append(_draw_job(queue, now, random, declared_spread))
    load.jobs.sort(key=lambda job: job.trace.submitted_at)
    return load


def _vary(peak: Peak, random: Random) -> Peak:
    """Return a peak whose start, height, length and shape differ a little."""
    return replace(
        peak,
        at=peak.at + random.uniform(-0.5, 0.5),
        height=peak.height * random.uniform(0.85, 1.15),
        seconds=peak.seconds * random.uniform(0.85, 1.1),
        flat=random.random() < 0.5,
    )


def _skewed(random: Random, mean: float, spread: float) -> float:
    sigma = math.sqrt(math.log(1 + spread**2))
    return random.lognormvariate(math.log(mean) - sigma**2 / 2, sigma)


def _draw_job(
    queue: Queue, at: float, random: Random, declared_spread: float
) -> DrawnJob:
    steps: list[StepTrace] = []
    declared: list[float] = []
    for number in range(max(1, round(_skewed(random, queue.steps, 0.4)))):
        width = min(32, max(1, round(_skewed(random, 8, 0.5))))
        cores = min(15.0, _skewed(random, queue.cores, 0.45))
        base = min(3 * queue.seconds, _skewed(random, queue.seconds, 0.5))
        seconds = tuple(_skewed(random, base, 0.15) for _ in range(width))
        after = (number - 1,) if number else ()
        steps.append(StepTrace(Resources(cores, 100.0), seconds, after))
        declared.append(base * random.lognormvariate(0.0, declared_spread))
    chain = sum(max(step.seconds) for step in steps)
    objective = STRETCH * chain + TARGET_SECONDS
    trace = JobTrace(queue.pool, at, objective, tuple(steps))
    return DrawnJob(trace, tuple(declared), queue.priority)


def build_workload(load: Load) -> Workload:
    """Return the load as the baselines of a day's report take it."""
    end = load.case.seconds
    workload = Workload([job.trace for job in load.jobs])
    for pool, limits in load.spreads.items():
        cores = 2 * LONG_RUNNING_TASKS * load.long_cores[pool]
        spread = max(math.ceil(LONG_RUNNING_TASKS / limit) for limit in limits)
        workload.sizes[pool] = [(0.0, spread), (end, spread)]
        workload.long_running[pool] = [(0.0, Resources(cores))]
        workload.min_workers[pool] = [(0.0, spread)]
        workload.resources[pool] = Resources(load.worker_cores, MEMORY_MB)
    return workload
