"""Replay a queue's turn on the pure scheduler, and compare orders of its work.

Load pattern: a queue asks for several times what its pool holds for some seconds; the
pool grows some seconds later, as instances come. ``python -m bench.turns`` prints a
line of pairs for each order and kind of work: the share of worth earned, of jobs done
in time, and of the largest tenth done in time. Time is driven: it takes 3 minutes and
gives the same figures each time for the same seed.

Then it prints, for queues whose declared run times are off by a factor for each job,
the same figures for the second of two turns with true declarations and with wrong ones,
and ``forecast``: the work expected of each job as it arrives, over its true work.
"""

from __future__ import annotations

import heapq
import json
from collections import Counter
from dataclasses import dataclass, field, replace
from typing import Final

import msgspec
import numpy

from mustardward.components.ledger.ledger import LedgerJob
from mustardward.components.ledger.models import JobRecord, RunTimesRecord
from mustardward.components.run_times.estimates import Estimates
from mustardward.components.scheduling.commands import Start
from mustardward.components.scheduling.job_order import ORDERS
from mustardward.components.scheduling.models import QueuePolicy
from mustardward.components.scheduling.scheduler import Scheduler
from mustardward.platform.models import Room, SubmittedStep, WorkerEntry
from mustardward.platform.workers import EndedTask, TaskName, WorkerReport

POOL: Final = "pool-a"
STRETCH: Final = 1.6
TARGET_SECONDS: Final = 0.6
LATE_WORTH: Final = 0.07
"""A late job's worth, as a share of one that is in time."""

ADAPTIVE: Final = ""
"""The order that the product uses: by slack or by work, as the load asks for."""

COMING_KNOWN_SECONDS: Final = 0.6
"""When instances are ordered, by the first arrivals."""

SEEDS: Final = range(3)
WRONG_SEEDS: Final = range(6)
PLAN_SECONDS: Final = 0.05
MOST_SECONDS_AFTER: Final = 40.0
"""Longest time that is played after a turn."""


Learned = dict[str, RunTimesRecord]


@dataclass(frozen=True, slots=True)
class Kind:
    """Hold what a queue's jobs are like; means of skewed draws.

    :param late_pool_at: when the pool's second part comes, in seconds.
    :param estimate_error: spread of the logarithms of each step's declared run times.
    :param job_error: spread of the logarithm of a factor for all steps of a job.
    :param bias: mean of the logarithm of that factor.
    :param organisation_error: spread of the logarithm of a factor for all jobs of an
        organisation; there are ORGANISATIONS of them.
    """

    name: str
    steps: float
    width: float
    seconds: float
    cores: float
    jobs_a_second: float
    workers_first: int
    workers_late: int
    late_pool_at: float = 2.0
    turn_seconds: float = 5.0
    worker_cores: int = 32
    estimate_error: float = 0.2
    job_error: float = 0.0
    bias: float = 0.0
    organisation_error: float = 0.0


KINDS: Final = (
    Kind("quick", 1.6, 8, 0.8, 4.1, 40.0, 12, 34),
    Kind("long", 2.0, 8, 1.7, 8.8, 12.0, 10, 50, estimate_error=0.9),
    Kind("short-of-room", 1.6, 8, 0.8, 4.1, 40.0, 20, 0),
)


ORGANISATIONS: Final = 10

ERRORS: Final = (
    (0.0, 0.0, 0.0),
    (0.5, 0.0, 0.0),
    (1.0, 0.0, 0.0),
    (1.0, 0.7, 0.0),
    (1.0, -0.7, 0.0),
    (1.5, 0.0, 0.0),
    (0.2, 0.0, 1.0),
)
"""Spread and bias of the declared run times of jobs, and spread of those of the
organisations, in the second part."""


@dataclass(slots=True)
class Drawn:
    """Hold a job and what it is worth and takes in truth."""

    job: LedgerJob
    at: float
    seconds: dict[tuple[int, int], float]
    chain: float
    work: float
    done_at: float = float("inf")
    expected_work: float = 0.0

    @property
    def in_time(self) -> bool:
        """Return whether it was done within its objective."""
        return self.done_at <= self.at + STRETCH * self.chain + TARGET_SECONDS


@dataclass(slots=True)
class Result:
    """Hold what an order came to."""

    worth: list[float] = field(default_factory=list)
    in_time: list[float] = field(default_factory=list)
    largest: list[float] = field(default_factory=list)
    forecast: list[float] = field(default_factory=list)


def main() -> None:
    """Print the figures of all orders and kinds."""
    for kind in KINDS:
        for name in (ADAPTIVE, *ORDERS):
            result = Result()
            for seed in SEEDS:
                _add(result, replay(kind, name, seed))
            _print({"kind": kind.name, "order": name or "by load"}, result)
    for kind in KINDS:
        for errors in ERRORS:
            job_error, bias, organisation_error = errors
            wrong = replace(
                kind,
                estimate_error=0.0,
                job_error=job_error,
                bias=bias,
                organisation_error=organisation_error,
            )
            result = Result()
            for seed in WRONG_SEEDS:
                learned: Learned = {}
                replay(wrong, ADAPTIVE, 1000 + seed, learned)
                _add(result, replay(wrong, ADAPTIVE, seed, learned))
            pairs: dict[str, str | float] = {
                "kind": kind.name,
                "spread": job_error,
                "bias": bias,
                "organisations": organisation_error,
            }
            _print(pairs, result)


def _print(pairs: dict[str, str | float], result: Result) -> None:
    figures = {
        "worth": result.worth,
        "in_time": result.in_time,
        "largest_tenth_in_time": result.largest,
        "forecast": result.forecast,
    }
    means = {name: round(float(numpy.mean(x)), 3) for name, x in figures.items()}
    print(
        " ".join(
            f"{key}={json.dumps(value)}" for key, value in {**pairs, **means}.items()
        )
    )


def _add(result: Result, jobs: list[Drawn]) -> None:
    expected = sum(job.expected_work for job in jobs)
    result.forecast.append(expected / sum(job.work for job in jobs))
    mean = sum(job.work for job in jobs) / len(jobs)
    worths = [min(4.0, 0.3 + 0.7 * job.work / mean) for job in jobs]
    shares = [1.0 if job.in_time else LATE_WORTH for job in jobs]
    earned = sum(w * s for w, s in zip(worths, shares, strict=True))
    result.worth.append(earned / sum(worths))
    result.in_time.append(sum(job.in_time for job in jobs) / len(jobs))
    largest = sorted(jobs, key=lambda job: -job.work)[: max(1, len(jobs) // 10)]
    result.largest.append(sum(job.in_time for job in largest) / len(largest))


def draw(kind: Kind, seed: int) -> list[Drawn]:
    """Return a turn's jobs."""
    chance = numpy.random.default_rng(seed)
    count = int(kind.jobs_a_second * kind.turn_seconds)
    times = numpy.sort(chance.uniform(0.0, kind.turn_seconds, count))
    jobs = [_draw_job(kind, chance, n, float(at)) for n, at in enumerate(times)]
    if kind.job_error or kind.bias or kind.organisation_error:
        # The organisations' factors are the same in all turns.
        organisations = numpy.random.default_rng(2).lognormal(
            0.0, kind.organisation_error, ORGANISATIONS
        )
        errors = numpy.random.default_rng([seed, 1])
        for number, job in enumerate(jobs):
            organisation = number % ORGANISATIONS
            error = float(errors.lognormal(kind.bias, kind.job_error))
            factor = error * float(organisations[organisation])
            _change_declared(job, factor, f"o{organisation}")
    return jobs


def _change_declared(drawn: Drawn, factor: float, organisation: str) -> None:
    record = drawn.job.record
    steps = [
        msgspec.structs.replace(step, estimate_ms=step.estimate_ms * factor)
        for step in record.steps
    ]
    drawn.job.record = msgspec.structs.replace(
        record, steps=steps, organisation=organisation
    )


def _skewed(chance: numpy.random.Generator, mean: float, spread: float) -> float:
    sigma = float(numpy.sqrt(numpy.log(1 + spread**2)))
    return float(chance.lognormal(numpy.log(mean) - sigma**2 / 2, sigma))


def _draw_job(
    kind: Kind, chance: numpy.random.Generator, number: int, at: float
) -> Drawn:
    steps: list[SubmittedStep] = []
    seconds: dict[tuple[int, int], float] = {}
    chain = 0.0
    work = 0.0
    for step in range(max(1, round(_skewed(chance, kind.steps, 0.4)))):
        width = min(32, max(1, round(_skewed(chance, kind.width, 0.6))))
        cores = min(3 * kind.cores, _skewed(chance, kind.cores, 0.45))
        base = min(2.5 * kind.seconds, _skewed(chance, kind.seconds, 0.5))
        for index in range(width):
            seconds[(step, index)] = _skewed(chance, base, 0.15)
            work += seconds[(step, index)] * cores
        chain += max(seconds[(step, index)] for index in range(width))
        error = float(chance.lognormal(0.0, kind.estimate_error))
        steps.append(
            SubmittedStep(
                count=width,
                cpu=int(cores * 1000),
                mem_mb=100,
                estimate_ms=base * 1000 * error,
                after=[step - 1] if step else [],
            )
        )
    name = f"{number:016x}"
    record = JobRecord(name, "q", POOL, "x", steps, 0, 0.0, 0.0, at)
    return Drawn(LedgerJob(record), at, seconds, chain, work)


def replay(
    kind: Kind, order: str, seed: int, learned: Learned | None = None
) -> list[Drawn]:
    """Return a turn's jobs as an order served them.

    :param learned: what an earlier turn learned of run times; updated by this one.
    """
    turn = _Turn(kind, order, draw(kind, seed))
    estimates = turn.estimates
    for queue, record in (learned or {}).items():
        estimates.restore(queue, record)
    now = 0.0
    while now < kind.turn_seconds + MOST_SECONDS_AFTER and turn.going:
        now += PLAN_SECONDS
        turn.grow(now)
        turn.arrive(now)
        turn.end(now)
        turn.plan(now)
    if learned is not None:
        learned.update(estimates.export())
    return turn.jobs


class _Turn:
    """Play callers and workers of one turn."""

    def __init__(self, kind: Kind, order: str, jobs: list[Drawn]) -> None:
        policy = QueuePolicy(POOL, stretch=STRETCH, target_seconds=TARGET_SECONDS)
        self.jobs = jobs
        self._kind = kind
        self._scheduler = Scheduler(1, lambda queue: policy, order=order)
        self._by_id = {job.job.record.id: job for job in jobs}
        self._waiting = list(reversed(jobs))
        self._ends: list[tuple[float, int, str, TaskName]] = []
        self._numbers: Counter[str] = Counter()
        self._grown = False
        _add_workers(self._scheduler, kind, 0, kind.workers_first, 0.0)

    @property
    def estimates(self) -> Estimates:
        """Return the run-time estimates."""
        return self._scheduler.state.estimates

    @property
    def going(self) -> bool:
        """Return whether something is left to be done."""
        return bool(self._waiting or self._ends or self._scheduler.state.jobs)

    def grow(self, now: float) -> None:
        """Let the pool's second part be known, and come."""
        kind = self._kind
        coming = self._scheduler.state.incoming_cpu
        if self._grown:
            return
        if now >= kind.late_pool_at:
            self._grown = True
            coming[POOL] = 0
            first = kind.workers_first
            _add_workers(self._scheduler, kind, first, kind.workers_late, now)
        elif now >= COMING_KNOWN_SECONDS:
            coming[POOL] = kind.workers_late * kind.worker_cores * 1000

    def arrive(self, now: float) -> None:
        """Hand in the jobs whose time has come."""
        while self._waiting and self._waiting[-1].at <= now:
            drawn = self._waiting.pop()
            self._scheduler.add_job(drawn.job, now, now)
            job_id = drawn.job.record.id
            self._scheduler.mark_stored([job_id])
            job = self._scheduler.state.jobs[job_id]
            drawn.expected_work = self.estimates.remaining_work(job)

    def end(self, now: float) -> None:
        """List the runs that ended."""
        while self._ends and self._ends[0][0] <= now:
            _, run, worker, name = heapq.heappop(self._ends)
            self._numbers[worker] += 1
            ended = EndedTask(self._numbers[worker], name, run, "done", "")
            state = self._scheduler.state.workers[worker]
            self._scheduler.reports.apply_end(state, ended, now)

    def plan(self, now: float) -> None:
        """Start what the scheduler orders, and note what is done."""
        for command in self._scheduler.plan(now, now):
            if isinstance(command, Start):
                self._start(command, now)
        for job_id, progress in self._scheduler.take_dirty(now, now):
            if progress.state.final:
                self._by_id[job_id].done_at = now

    def _start(self, start: Start, now: float) -> None:
        self._scheduler.reports.start_answered(start.task, start.run, "", now)
        name = start.task.name
        took = self._by_id[name.job].seconds[(name.step, name.index)]
        heapq.heappush(self._ends, (now + took, start.run, start.worker, name))


def _add_workers(
    scheduler: Scheduler, kind: Kind, first: int, count: int, now: float
) -> None:
    room = Room(cpu=kind.worker_cores * 1000, mem_mb=100_000)
    for number in range(first, first + count):
        name = f"w{number}"
        scheduler.update_worker(name, WorkerEntry(POOL, "a:1", capacity=room), now)
        scheduler.apply_worker_report(name, WorkerReport(0, [], []), now, now)


if __name__ == "__main__":
    main()
