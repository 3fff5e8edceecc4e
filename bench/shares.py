"""Replay organisations that compete for a full pool on the pure scheduler.

Twenty organisations of skewed sizes submit for 10 s; in most scenarios one or three of
them submit much more than usual for 6 s. Each scenario is also replayed without the
excess; the jobs of all other organisations are the same in both replays. ``python -m
bench.shares`` prints a line of pairs for each scenario, as means over the seeds. Time
is simulated, so that the figures of a seed are the same each time. Arguments are the
names of the scenarios to replay, by default all of them.
"""

from __future__ import annotations

import heapq
import json
import sys
import time
from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field, replace
from typing import Final

import numpy

from mustardward.components.ledger.ledger import LedgerJob
from mustardward.components.ledger.models import JobRecord
from mustardward.components.scheduling.commands import Start
from mustardward.components.scheduling.models import QueuePolicy
from mustardward.components.scheduling.scheduler import Scheduler
from mustardward.platform.models import Room, SubmittedStep, WorkerEntry
from mustardward.platform.workers import (
    EndedTask,
    RunningTask,
    TaskName,
    WorkerReport,
)

POOL: Final = "pool-a"
STRETCH: Final = 1.6
TARGET_SECONDS: Final = 0.6
PLAN_SECONDS: Final = 0.1
LOAD_SECONDS: Final = 10.0
EXCESS_FROM: Final = 2.0
EXCESS_UNTIL: Final = 8.0
MAX_SECONDS_AFTER: Final = 30.0
"""Longest time that is replayed after the load."""

TAKEOVER_SECONDS: Final = 1.0
"""Time without an owner in a takeover."""

ORGANISATIONS: Final = 20
SIZE_EXPONENT: Final = 0.9
"""Exponent of the sizes by rank: the largest is 15 times the smallest."""

WORKERS: Final = 30
WORKER_CORES: Final = 32
WORKER_MB: Final = 64_000
ESTIMATE_SPREAD: Final = 0.52
SEEDS: Final = range(4)
PROCESSES: Final = 2


@dataclass(frozen=True, slots=True)
class Shape:
    """Hold the means of a job's size: steps, tasks, run time and resources."""

    steps: float = 1.6
    width: float = 8.0
    seconds: float = 0.75
    cores: float = 2.3
    mem_mb: float = 2500.0

    @property
    def core_seconds(self) -> float:
        """Return the mean work of a job, as drawn: rounding adds to the factors."""
        return self.steps * self.width * self.seconds * self.cores


USUAL: Final = Shape()
HUGE: Final = Shape(cores=12.0, mem_mb=30_000.0)
SMALL: Final = Shape(steps=1.0, width=2.0, seconds=0.3, cores=1.0, mem_mb=500.0)


@dataclass(frozen=True, slots=True)
class Scenario:
    """Hold one replayed load.

    :param load: usual work as a share of the pool's capacity.
    :param hot: how many organisations have excess load.
    :param factors: bounds of the excess, as multiples of the usual number of jobs.
    :param quota_share: quota of the first hot organisation from EXCESS_FROM + 2 s on,
        as a share of the pool; 0 is none.
    :param takeover_at: when the owner is replaced, or 0.
    :param weight_factor: weights as multiples of the rate at which the pool is full.
    """

    name: str
    load: float = 0.85
    hot: int = 1
    factors: tuple[float, float] = (3.0, 7.0)
    shape: Shape = USUAL
    quota_share: float = 0.0
    takeover_at: float = 0.0
    weight_factor: float = 1.0


SCENARIOS: Final = (
    Scenario("one"),
    Scenario("three", hot=3),
    Scenario("huge", shape=HUGE, factors=(0.6, 1.4)),
    Scenario("small", shape=SMALL, factors=(60.0, 100.0)),
    Scenario("quota", quota_share=0.05),
    Scenario("takeover", takeover_at=5.0),
    Scenario("low-load", load=0.45),
    Scenario("overload", load=1.2),
    Scenario("small-weights", weight_factor=0.5),
    Scenario("large-weights", weight_factor=2.0),
)


@dataclass(slots=True, eq=False)
class Drawn:
    """Hold a job with its actual run times, and when it was done.

    :param record: its record as it is accepted.
    :param critical_path: length of its critical path in seconds.
    """

    record: JobRecord
    seconds: dict[tuple[int, int], float]
    critical_path: float
    work: float
    is_excess: bool
    ledger_job: LedgerJob
    done_at: float = float("inf")

    @property
    def at(self) -> float:
        """Return when it is submitted."""
        return self.record.accepted_at

    @property
    def organisation(self) -> str:
        """Return its organisation."""
        return self.record.organisation

    @property
    def in_time(self) -> bool:
        """Return whether it was done within its objective."""
        objective = STRETCH * self.critical_path + TARGET_SECONDS
        return self.done_at <= self.at + objective


@dataclass(slots=True)
class Load:
    """Hold the drawn jobs of a replay and its organisations.

    :param weights: entitled jobs per second of each organisation.
    """

    jobs: list[Drawn]
    weights: dict[str, float]
    hot: list[str]


def draw(scenario: Scenario, seed: int, with_excess: bool) -> Load:
    """Return the jobs of a scenario.

    Every organisation draws its usual jobs from a random stream of its own, so that
    these are the same with and without the excess.
    """
    sizes = [1.0 / (rank + 1) ** SIZE_EXPONENT for rank in range(ORGANISATIONS)]
    capacity = WORKERS * WORKER_CORES / (USUAL.core_seconds * 1.05)
    names = [f"team-{rank:02d}" for rank in range(ORGANISATIONS)]
    weights = {
        name: scenario.weight_factor * capacity * size / sum(sizes)
        for name, size in zip(names, sizes, strict=True)
    }
    chance = numpy.random.default_rng([seed, 77])
    hot = [names[(seed * 3 + 5 * number) % 12] for number in range(scenario.hot)]
    jobs: list[Drawn] = []
    for number, name in enumerate(names):
        usual = weights[name] * scenario.load / scenario.weight_factor
        own = numpy.random.default_rng([seed, number])
        jobs += _draw_jobs(own, name, usual, (0.0, LOAD_SECONDS), USUAL, False)
        factor = float(chance.uniform(*scenario.factors))
        if with_excess and name in hot:
            own = numpy.random.default_rng([seed, number, 1])
            span = (EXCESS_FROM, EXCESS_UNTIL)
            jobs += _draw_jobs(own, name, factor * usual, span, scenario.shape, True)
    return Load(sorted(jobs, key=lambda job: job.at), weights, hot)


def _draw_jobs(
    chance: numpy.random.Generator,
    organisation: str,
    rate: float,
    span: tuple[float, float],
    shape: Shape,
    is_excess: bool,
) -> Iterator[Drawn]:
    at = span[0]
    number = 0
    while True:
        at += float(chance.exponential(1 / rate))
        if at >= span[1]:
            return
        prefix = f"{organisation[-2:]}{int(is_excess)}"
        yield _draw_job(
            chance, f"{prefix}{number:013x}", organisation, at, shape, is_excess
        )
        number += 1


def _skewed(chance: numpy.random.Generator, mean: float, spread: float) -> float:
    sigma = float(numpy.sqrt(numpy.log(1 + spread**2)))
    return float(chance.lognormal(numpy.log(mean) - sigma**2 / 2, sigma))


def _draw_job(
    chance: numpy.random.Generator,
    name: str,
    organisation: str,
    at: float,
    shape: Shape,
    is_excess: bool,
) -> Drawn:
    steps: list[SubmittedStep] = []
    seconds: dict[tuple[int, int], float] = {}
    critical_path = work = 0.0
    for step in range(max(1, round(_skewed(chance, shape.steps, 0.4)))):
        width = min(32, max(1, round(_skewed(chance, shape.width, 0.6))))
        cores = min(WORKER_CORES * 0.75, _skewed(chance, shape.cores, 0.45))
        mem_mb = min(WORKER_MB * 0.75, _skewed(chance, shape.mem_mb, 0.3))
        base = min(2.5 * shape.seconds, _skewed(chance, shape.seconds, 0.5))
        for index in range(width):
            seconds[(step, index)] = _skewed(chance, base, 0.15)
            work += seconds[(step, index)] * cores
        critical_path += max(seconds[(step, index)] for index in range(width))
        error = float(chance.lognormal(0.0, ESTIMATE_SPREAD))
        steps.append(
            SubmittedStep(
                count=width,
                cpu=int(cores * 1000),
                mem_mb=int(mem_mb),
                estimate_ms=base * 1000 * error,
                after=[step - 1] if step else [],
            )
        )
    record = JobRecord(name, "q", POOL, "x", steps, 0, 0.0, 0.0, at, organisation)
    return Drawn(record, seconds, critical_path, work, is_excess, LedgerJob(record))


@dataclass(slots=True)
class Replay:
    """Play the callers, the store and the workers of one load."""

    scenario: Scenario
    load: Load
    plan_seconds: list[float] = field(default_factory=list)
    _scheduler: Scheduler = field(init=False)
    _by_id: dict[str, Drawn] = field(init=False)
    _submitted: int = 0
    _ends: list[tuple[float, int, str, TaskName]] = field(default_factory=list)
    _ended: list[tuple[str, EndedTask]] = field(default_factory=list)
    _numbers: Counter[str] = field(default_factory=Counter)
    _has_owner: bool = True
    _now: float = 0.0

    def __post_init__(self) -> None:
        """Create the first owner's scheduler."""
        self._by_id = {job.record.id: job for job in self.load.jobs}
        self._scheduler = self._build_scheduler(1)

    def run(self) -> None:
        """Replay until all jobs are done."""
        takeover_at = self.scenario.takeover_at
        is_replaced = not takeover_at
        while self._now < LOAD_SECONDS + MAX_SECONDS_AFTER and self._is_unfinished():
            self._now += PLAN_SECONDS
            if not is_replaced and self._now >= takeover_at + TAKEOVER_SECONDS:
                is_replaced = self._has_owner = True
                self._take_over()
            elif not is_replaced and self._now >= takeover_at:
                self._has_owner = False
            if self._has_owner:
                self._submit()
                self._end()
                self._plan()

    def _is_unfinished(self) -> bool:
        return bool(
            self._submitted < len(self.load.jobs)
            or self._ends
            or self._scheduler.state.jobs
        )

    def _build_scheduler(self, epoch: int) -> Scheduler:
        policy = QueuePolicy(POOL, stretch=STRETCH, target_seconds=TARGET_SECONDS)
        scheduler = Scheduler(
            epoch,
            lambda queue: policy,
            quota_of=self._quota_of,
            rate_of=lambda name: self.load.weights[name],
        )
        room = Room(cpu=WORKER_CORES * 1000, mem_mb=WORKER_MB)
        for number in range(WORKERS):
            entry = WorkerEntry(POOL, "a:1", capacity=room)
            scheduler.update_worker(f"w{number}", entry, self._now)
        for number in range(WORKERS):
            report = WorkerReport(0, [], [])
            scheduler.apply_worker_report(f"w{number}", report, self._now, self._now)
        return scheduler

    def _quota_of(self, organisation: str) -> Room:
        scenario = self.scenario
        if not scenario.quota_share or organisation != self.load.hot[0]:
            return Room()
        if self._now < EXCESS_FROM + 2.0:
            return Room()
        cores = scenario.quota_share * WORKERS * WORKER_CORES
        return Room(cpu=int(cores * 1000))

    def _submit(self) -> None:
        jobs = self.load.jobs
        while self._submitted < len(jobs) and jobs[self._submitted].at <= self._now:
            self._add(jobs[self._submitted])
            self._submitted += 1

    def _add(self, job: Drawn) -> None:
        self._scheduler.add_job(job.ledger_job, self._now, self._now)
        self._scheduler.mark_stored([job.record.id])

    def _end(self) -> None:
        while self._ends and self._ends[0][0] <= self._now:
            _, run, worker, name = heapq.heappop(self._ends)
            self._numbers[worker] += 1
            ended = EndedTask(self._numbers[worker], name, run, "done", "")
            state = self._scheduler.state.workers[worker]
            self._scheduler.reports.apply_end(state, ended, self._now)

    def _plan(self) -> None:
        scheduler = self._scheduler
        began = time.perf_counter()
        commands = scheduler.plan(self._now, self._now)
        self.plan_seconds.append(time.perf_counter() - began)
        for command in commands:
            if isinstance(command, Start):
                self._start(command)
        for job_id, progress in scheduler.take_dirty(self._now, self._now):
            job = self._by_id[job_id]
            job.ledger_job.progress = progress
            if progress.state.final:
                job.done_at = self._now

    def _start(self, start: Start) -> None:
        self._scheduler.reports.start_answered(start.task, start.run, "", self._now)
        name = start.task.name
        seconds = self._by_id[name.job].seconds[(name.step, name.index)]
        end = (self._now + seconds, start.run, start.worker, name)
        heapq.heappush(self._ends, end)

    def _take_over(self) -> None:
        """Replace the scheduler by one that reads jobs from the log and reports."""
        self._scheduler = self._build_scheduler(2)
        self._scheduler.state.taken_over_at = self._now
        for job in self.load.jobs[: self._submitted]:
            self._add(job)
        rows: dict[str, list[RunningTask]] = {}
        for _, run, worker, name in self._ends:
            rows.setdefault(worker, []).append(RunningTask(name, run, "", 50.0, 0.0))
        for worker, running in sorted(rows.items()):
            report = WorkerReport(1, running, [])
            self._scheduler.apply_worker_report(worker, report, self._now, self._now)


@dataclass(slots=True)
class Figures:
    """Hold what a replay gave; all are shares of jobs on time unless noted.

    :param others: of all organisations without excess.
    :param worst: mean of their worst tenth.
    :param mean: mean over them.
    :param hot: of the organisations with excess, all their jobs.
    :param hot_rate: their jobs on time per second of excess, as multiple of weight.
    :param calm: of their jobs submitted after the excess.
    :param work: work on time, as a share of all work.
    :param plan_ms: mean time of a plan in milliseconds.
    """

    others: float
    worst: float
    mean: float
    hot: float
    hot_rate: float
    calm: float
    work: float
    plan_ms: float


def evaluate(replayed: Replay) -> Figures:
    """Return the figures of a replay."""
    load = replayed.load
    by_organisation: dict[str, list[Drawn]] = {}
    for job in load.jobs:
        by_organisation.setdefault(job.organisation, []).append(job)
    shares = sorted(
        _share(jobs) for name, jobs in by_organisation.items() if name not in load.hot
    )
    worst = shares[: max(1, len(shares) // 10 + (len(shares) % 10 > 0))]
    hot = [job for job in load.jobs if job.organisation in load.hot]
    during = [job for job in hot if EXCESS_FROM <= job.at < EXCESS_UNTIL]
    entitled = sum(load.weights[name] for name in load.hot)
    entitled *= EXCESS_UNTIL - EXCESS_FROM
    total = sum(job.work for job in load.jobs)
    return Figures(
        _share(job for job in load.jobs if job.organisation not in load.hot),
        float(numpy.mean(worst)),
        float(numpy.mean(shares)),
        _share(hot),
        sum(job.in_time for job in during) / entitled,
        _share(job for job in hot if job.at >= EXCESS_UNTIL),
        sum(job.work for job in load.jobs if job.in_time) / total,
        1000 * float(numpy.mean(replayed.plan_seconds)),
    )


def _share(jobs: Iterable[Drawn]) -> float:
    results = [job.in_time for job in jobs]
    return sum(results) / len(results) if results else 1.0


def replay(scenario: Scenario, seed: int, with_excess: bool = True) -> Replay:
    """Return a finished replay."""
    replayed = Replay(scenario, draw(scenario, seed, with_excess))
    replayed.run()
    return replayed


def _evaluate_seed(task: tuple[Scenario, int, bool]) -> Figures:
    return evaluate(replay(*task))


def _mean(figures: list[Figures], get: Callable[[Figures], float]) -> float:
    return round(float(numpy.mean([get(each) for each in figures])), 3)


def main(names: list[str]) -> None:
    """Print the figures of the named scenarios, or of all."""
    scenarios = [s for s in SCENARIOS if not names or s.name in names]
    with ProcessPoolExecutor(PROCESSES) as executor:
        for scenario in scenarios:
            usual = replace(scenario, quota_share=0.0)
            tasks = [(scenario, seed, True) for seed in SEEDS]
            tasks += [(usual, seed, False) for seed in SEEDS]
            figures = list(executor.map(_evaluate_seed, tasks))
            _print(scenario, figures[: len(SEEDS)], figures[len(SEEDS) :])


def _print(scenario: Scenario, hot: list[Figures], usual: list[Figures]) -> None:
    pairs = {
        "scenario": scenario.name,
        "others": _mean(hot, lambda f: f.others),
        "without_excess": _mean(usual, lambda f: f.others),
        "worst_tenth": _mean(hot, lambda f: f.worst),
        "worst_without": _mean(usual, lambda f: f.worst),
        "mean": _mean(hot, lambda f: f.mean),
        "hot": _mean(hot, lambda f: f.hot),
        "hot_without": _mean(usual, lambda f: f.hot),
        "hot_rate": _mean(hot, lambda f: f.hot_rate),
        "calm": _mean(hot, lambda f: f.calm),
        "calm_without": _mean(usual, lambda f: f.calm),
        "work": _mean(hot, lambda f: f.work),
        "plan_ms": _mean(hot, lambda f: f.plan_ms),
    }
    print(" ".join(f"{key}={json.dumps(value)}" for key, value in pairs.items()))
    sys.stdout.flush()


if __name__ == "__main__":
    main(sys.argv[1:])
