"""Check in random walks that a full pool is shared fairly and never held idle.

The model recounts on its own what each organisation demands of the pool, and compares
it with its share. Organisations submit in any order jobs of any size; runs end, workers
are added, weights, quotas and owners change. Mutants each remove one rule, and the
walks have to detect each of them. Walks are reproducible by their seeds; run others by
``python -m tests.components.fair_sharing.test_share_walks FIRST LAST``.
"""

from __future__ import annotations

import math
import random
import sys
from collections.abc import Callable
from dataclasses import replace

import pytest

from mustardward.components.fair_sharing import fair_shares, pool_demand
from mustardward.components.fair_sharing.fair_shares import (
    HORIZON_SECONDS,
    MIN_BURST_JOBS,
    NEWEST_SHARE,
    FairShares,
)
from mustardward.components.ledger.ledger import LedgerJob
from mustardward.components.scheduling import job_order
from mustardward.components.scheduling.commands import Start
from mustardward.components.scheduling.job_order import DeadlineClass
from mustardward.components.scheduling.models import Job, Phase, QueuePolicy, StepRun
from mustardward.components.scheduling.planner import Planner
from mustardward.components.scheduling.scheduler import Scheduler
from mustardward.components.scheduling.worker_state import WorkerState
from mustardward.platform.models import Room
from mustardward.platform.workers import (
    EndedTask,
    RunningTask,
    TaskName,
    WorkerReport,
)

from ..scheduling.builders import POOL, a_job, a_step, an_entry

ORGANISATIONS = ("dairy", "gauges", "depot", "kiosk")
MAX_WORKERS = 4
MAX_JOBS = 60
ROUNDING = 1e-9
Precedence = tuple[int, int, bool]


class ShareWalk:
    """Drive an owner with workers that start and end all tasks as told."""

    def __init__(self, seed: int) -> None:
        """Start with two workers and weights that add up to ten."""
        self.random = random.Random(seed)
        self.now = 1000.0
        self.epoch = 1
        self.weights = {"dairy": 6.0, "gauges": 2.0, "depot": 1.0, "kiosk": 1.0}
        self.quotas = dict.fromkeys(ORGANISATIONS, 0)
        self.jobs: dict[str, LedgerJob] = {}
        self.arrivals: dict[str, list[float]] = {name: [] for name in ORGANISATIONS}
        self.changed_weights: set[str] = set()
        self.starts: list[tuple[TaskName, str]] = []
        self.workers: list[str] = []
        self._ended = 0
        self.scheduler = self._build_scheduler()
        self.add_worker()
        self.add_worker()

    def _build_scheduler(self) -> Scheduler:
        return Scheduler(
            self.epoch,
            lambda queue: QueuePolicy(
                service=POOL, priority=int(queue), target_seconds=1.0
            ),
            quota_of=lambda name: Room(cpu=1000 * self.quotas[name]),
            rate_of=lambda name: self.weights[name],
        )

    def add_worker(self) -> None:
        """Add a worker, up to four."""
        if len(self.workers) < MAX_WORKERS:
            name = f"w{len(self.workers)}"
            self.workers.append(name)
            self.scheduler.update_worker(name, an_entry(), self.now)
            self._hold(name, [])

    def _hold(self, name: str, running: list[RunningTask]) -> None:
        report = WorkerReport(0.0, running, [])
        self.scheduler.apply_worker_report(name, report, self.now, self.now)

    def submit(self, organisation: str, jobs: int) -> None:
        """Submit jobs of one size."""
        step = a_step(
            count=self.random.randint(1, 6),
            cpu=self.random.choice((200, 1000, 3000)),
            mem_mb=self.random.choice((100, 1000, 6000)),
            estimate_ms=self.random.choice((200, 1000, 3000)),
        )
        for _ in range(jobs):
            if len(self.jobs) >= MAX_JOBS:
                return
            name = f"{len(self.jobs):016x}"
            self.jobs[name] = a_job(
                step,
                job=name,
                organisation=organisation,
                accepted_at=self.now,
                queue=str(self.random.choice((0, 0, 1))),
            )
            self.arrivals[organisation].append(self.now)
            self._add(name)

    def _add(self, name: str) -> None:
        self.scheduler.add_job(self.jobs[name], self.now, self.now)
        self.scheduler.mark_stored([name])

    def plan(self) -> None:
        """Plan, start all tasks as told, and check the plan."""
        expected = self._expected_beyond()
        before = self._waiting_by_step()
        commands = self.scheduler.plan(self.now, self.now)
        starts = [command for command in commands if isinstance(command, Start)]
        self._check_judgements(expected)
        self._check_order(starts, before)
        for start in starts:
            self.starts.append((start.task.name, start.worker))
            self.scheduler.reports.start_answered(start.task, start.run, "", self.now)
        self._check_no_idle_room()
        for name, progress in self.scheduler.take_dirty(self.now, self.now):
            self.jobs[name].progress = progress

    def _waiting_by_step(self) -> dict[int, int]:
        ready = self.scheduler.state.ready.values()
        return {id(step): len(step.waiting) for step in ready}

    def _expected_beyond(self) -> dict[str, set[bool]]:
        """Return for each waiting job whether it has to be ranked behind others.

        Both values are allowed where a demand equals a share up to rounding.
        """
        state = self.scheduler.state
        waiting = {s.job.record.id: s.job for s in state.ready.values() if s.waiting}
        demands = self._count_demands(waiting.values())
        expected: dict[str, set[bool]] = {name: set() for name in waiting}
        for margin in (-ROUNDING, ROUNDING):
            shares = _shares(demands, self.weights, HORIZON_SECONDS + margin)
            for name, job in waiting.items():
                demand = demands.get(job.organisation, 0.0)
                limit = shares.get(job.organisation, math.inf) + margin
                is_beyond = demand > limit and not self._is_newest(
                    job, list(waiting.values()), limit
                )
                expected[name].add(job.exceeds_rate and is_beyond)
        return expected

    def _is_newest(self, job: Job, waiting: list[Job], share: float) -> bool:
        """Return whether a job and all newer excess fit into a part of the share."""
        if self._deadline_class(job) is not DeadlineClass.IN_TIME:
            return False
        counted = [
            other
            for other in waiting
            if not other.exceeds_rate or _by_age(other) <= _by_age(job)
        ]
        used = self._count_demands(counted)[job.organisation]
        return used <= NEWEST_SHARE * share

    def _count_demands(self, jobs: object) -> dict[str, float]:
        state = self.scheduler.state
        room = 8000 * len(self.workers)
        demands: dict[str, float] = {}

        def add(step: StepRun, count: int, seconds: float) -> None:
            share = max(step.spec.cpu, step.spec.mem_mb) / room
            name = step.job.organisation
            demands[name] = demands.get(name, 0.0) + count * share * seconds

        for worker in state.workers.values():
            for task in worker.tasks.values():
                left = state.estimates.seconds(task.step) - (self.now - task.started_at)
                add(task.step, 1, abs(left))
        for job in jobs:  # type: ignore[attr-defined]
            if self._deadline_class(job) is DeadlineClass.IN_TIME:
                for step in job.steps.values():
                    count = sum(task.phase is Phase.WAITING for task in step.tasks)
                    add(step, count, state.estimates.mean_seconds(step))
        return demands

    def _deadline_class(self, job: Job) -> DeadlineClass:
        path = self.scheduler.state.estimates.critical_path(job, only_remaining=True)
        if self.now + path <= job.objective_at:
            return DeadlineClass.IN_TIME
        if self.now + path <= job.late_at:
            return DeadlineClass.LATE
        return DeadlineClass.OVERDUE

    def _check_judgements(self, expected: dict[str, set[bool]]) -> None:
        for name, allowed in expected.items():
            job = self.scheduler.state.jobs[name]
            assert job.beyond_share in allowed, "judged by other than its share"
            if job.beyond_share:
                assert not self._is_within_rate(job.organisation), "within its rate"

    def _is_within_rate(self, organisation: str) -> bool:
        """Return whether no interval has more arrivals than rate and burst allow."""
        if organisation in self.changed_weights:
            return False
        weight = self.weights[organisation]
        times = self.arrivals[organisation]
        return not weight or all(
            last - first + 1 <= max(MIN_BURST_JOBS, weight) + weight * (end - begin)
            for first, begin in enumerate(times)
            for last, end in enumerate(times)
            if last >= first
        )

    def _check_order(self, starts: list[Start], before: dict[int, int]) -> None:
        """Check that no start took room that a task of higher precedence fits."""
        state = self.scheduler.state
        left = [s for s in state.ready.values() if s.waiting and self._allowed(s)]
        for number, start in enumerate(starts):
            step = start.task.step
            later = [other.task.step for other in starts[number + 1 :]]
            for other in (*left, *later):
                if (
                    _needs_no_more(other, step)
                    and not self.quotas[other.job.organisation]
                ):
                    assert self._precedence(step) <= self._precedence(other), (
                        "a task of lower precedence started first"
                    )

    def _precedence(self, step: StepRun) -> Precedence:
        job = step.job
        return (self._deadline_class(job), job.policy.priority, job.beyond_share)

    def _allowed(self, step: StepRun) -> bool:
        quotas = self.scheduler.state.quotas
        return quotas.allows(step.job.organisation, step.requested)

    def _check_no_idle_room(self) -> None:
        """Check that no task waits that has room on a worker and in its quota."""
        state = self.scheduler.state
        for step in state.ready.values():
            if not step.waiting or not self._allowed(step):
                continue
            for worker in state.workers.values():
                tasks = [task.step.spec for task in worker.tasks.values()]
                cpu = 8000 - sum(spec.cpu for spec in tasks)
                mem_mb = 8000 - sum(spec.mem_mb for spec in tasks)
                has_room = step.spec.cpu <= cpu and step.spec.mem_mb <= mem_mb
                assert not has_room, "a task waits while room is free"

    def finish(self, share: float) -> None:
        """End a share of all runs."""
        for name in self.workers:
            worker = self.scheduler.state.workers[name]
            for task in list(worker.tasks.values()):
                if self.random.random() < share:
                    self._ended += 1
                    ended = EndedTask(self._ended, task.name, task.run, "done", "")
                    self.scheduler.reports.apply_end(worker, ended, self.now)

    def configure(self, organisation: str, weight: float) -> None:
        """Set a weight."""
        self.changed_weights.add(organisation)
        self.weights[organisation] = weight

    def limit(self, organisation: str, cores: int) -> None:
        """Set a quota; 0 is none."""
        self.quotas[organisation] = cores

    def take_over(self) -> None:
        """Replace the owner by one that reads jobs from the log and reports."""
        old = self.scheduler
        for name, progress in old.take_dirty(self.now, self.now):
            self.jobs[name].progress = progress
        self.epoch += 1
        self.scheduler = self._build_scheduler()
        self.scheduler.state.taken_over_at = self.now
        for name in self.workers:
            self.scheduler.update_worker(name, an_entry(), self.now)
        for name in self.jobs:
            self._add(name)
        for name in self.workers:
            tasks = old.state.workers[name].tasks.values()
            self._hold(name, [RunningTask(t.name, t.run, "", 50.0, 0.0) for t in tasks])

    def drain(self) -> None:
        """Check that everything ends once nothing new arrives."""
        for _ in range(200):
            if not self.scheduler.state.jobs:
                return
            self.now += 0.5
            self.plan()
            self.finish(1.0)
        raise AssertionError("a job starved")


def _shares(
    demands: dict[str, float], weights: dict[str, float], capacity: float
) -> dict[str, float]:
    """Return the shares of organisations with weights, by bisection."""
    free = capacity - sum(d for n, d in demands.items() if not weights[n])
    weighted = {name: d for name, d in demands.items() if weights[name]}
    if not weighted or sum(weighted.values()) <= free:
        return {}
    low, high = 0.0, max(d / weights[name] for name, d in weighted.items())
    for _ in range(100):
        level = (low + high) / 2
        total = sum(min(d, level * weights[name]) for name, d in weighted.items())
        low, high = (level, high) if total <= free else (low, level)
    return {name: low * weights[name] for name in weighted}


def _by_age(job: Job) -> tuple[float, str]:
    return (-job.accepted_at, job.record.id)


def _needs_no_more(step: StepRun, other: StepRun) -> bool:
    return step.spec.cpu <= other.spec.cpu and step.spec.mem_mb <= other.spec.mem_mb


def _walk(seed: int, steps: int = 40) -> list[tuple[TaskName, str]]:
    walk = ShareWalk(seed)
    rng = walk.random

    def wait() -> None:
        walk.now += rng.choice((0.05, 0.3, 1.0))

    events: list[Callable[[], None]] = [
        lambda: walk.submit(rng.choice(ORGANISATIONS), 1),
        lambda: walk.submit(rng.choice(ORGANISATIONS), rng.randint(6, 12)),
        walk.plan,
        walk.plan,
        lambda: walk.finish(0.3),
        wait,
        wait,
        walk.add_worker,
        lambda: walk.configure(rng.choice(ORGANISATIONS), rng.choice((0.0, 0.5, 8.0))),
        lambda: walk.limit(rng.choice(ORGANISATIONS), rng.choice((0, 0, 2))),
        walk.take_over,
    ]
    weights = [4, 3, 5, 5, 4, 4, 4, 1, 1, 1, 1]
    for _ in range(steps):
        rng.choices(events, weights)[0]()
    walk.plan()
    walk.drain()
    return walk.starts


@pytest.mark.parametrize("first", range(0, 120, 40))
def test_no_order_of_events_breaks_the_shares_of_a_pool(first: int) -> None:
    for seed in range(first, first + 40):
        _walk(seed)


def test_a_walk_is_reproducible() -> None:
    """Guards against an order of steps that depends on more than the events."""
    assert _walk(7) == _walk(7)


def _judge_once(patch: pytest.MonkeyPatch) -> None:
    """Rank a job behind others from its arrival to its end."""

    def judge(shares: FairShares, service: str, jobs: list[Job], *rest: object) -> None:
        for job in jobs:
            job.beyond_share = job.exceeds_rate

    patch.setattr(FairShares, "judge", judge)


def _hold_back(patch: pytest.MonkeyPatch) -> None:
    """Start no job that is beyond its organisation's share."""
    place = Planner._place_shared

    def place_within(planner: Planner, step: StepRun, *rest: object) -> None:
        if not step.job.beyond_share:
            place(planner, step, *rest)  # type: ignore[arg-type]

    patch.setattr(Planner, "_place_shared", place_within)


def _ignore_weights(patch: pytest.MonkeyPatch) -> None:
    """Give all organisations the same share."""
    level = fair_shares.fair_level
    patch.setattr(
        fair_shares,
        "fair_level",
        lambda demands, weights, capacity: level(
            demands, dict.fromkeys(weights, 1.0), capacity
        ),
    )


def _ignore_memory(patch: pytest.MonkeyPatch) -> None:
    """Measure demand by processors alone."""
    patch.setattr(
        pool_demand, "dominant_share", lambda room, capacity: room.cpu / capacity.cpu
    )


def _ignore_running(patch: pytest.MonkeyPatch) -> None:
    """Measure demand by waiting jobs alone."""

    def measure(workers: list[WorkerState], *rest: object) -> object:
        idle = [replace(worker, tasks={}) for worker in workers]
        return pool_demand.measure_demand(idle, *rest)  # type: ignore[arg-type]

    patch.setattr(fair_shares, "measure_demand", measure)


def _count_late_jobs(patch: pytest.MonkeyPatch) -> None:
    """Count jobs as demand that can no longer meet their objective."""
    judge = FairShares.judge

    def judge_all(
        shares: FairShares, service: str, jobs: object, on_time: object, *rest: object
    ) -> None:
        judge(shares, service, jobs, jobs, *rest)  # type: ignore[arg-type]

    patch.setattr(FairShares, "judge", judge_all)


def _rank_without_shares(patch: pytest.MonkeyPatch) -> None:
    """Rank jobs regardless of their organisation's share."""
    rank = job_order.rank

    def rank_alike(*args: object) -> object:
        klass, priority, _, urgency = rank(*args)  # type: ignore[arg-type]
        return (klass, priority, False, urgency)

    patch.setattr(job_order, "rank", rank_alike)


def _rank_shares_first(patch: pytest.MonkeyPatch) -> None:
    """Rank shares before deadline classes and priorities."""
    rank = job_order.rank

    def rank_shares(*args: object) -> object:
        klass, priority, is_beyond, urgency = rank(*args)  # type: ignore[arg-type]
        return (is_beyond, klass, priority, urgency)

    patch.setattr(job_order, "rank", rank_shares)


def _admit_none(patch: pytest.MonkeyPatch) -> None:
    """Rank the newest jobs of an organisation behind others for its older ones."""
    patch.setattr(fair_shares, "_admit_newest", lambda exceeding, shares: None)


def _small_bursts(patch: pytest.MonkeyPatch) -> None:
    """Let the token bucket of a small organisation hold a single job."""
    patch.setattr(fair_shares, "MIN_BURST_JOBS", 1.0)


def _ignore_rates(patch: pytest.MonkeyPatch) -> None:
    """Rank all jobs of an organisation behind others, not only its excess."""
    patch.setattr(FairShares, "exceeds_rate", lambda shares, name, at: True)


@pytest.mark.parametrize(
    "mutate",
    [
        _judge_once,
        _hold_back,
        _ignore_weights,
        _ignore_memory,
        _ignore_running,
        _count_late_jobs,
        _rank_without_shares,
        _rank_shares_first,
        _admit_none,
        _small_bursts,
        _ignore_rates,
    ],
)
def test_each_removed_rule_is_detected(
    mutate: Callable[[pytest.MonkeyPatch], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    mutate(monkeypatch)
    with pytest.raises(AssertionError):
        for seed in range(200):
            _walk(seed)


if __name__ == "__main__":
    for seed in range(int(sys.argv[1]), int(sys.argv[2])):
        try:
            _walk(seed)
        except AssertionError as error:
            print(f"seed={seed} {error}")
