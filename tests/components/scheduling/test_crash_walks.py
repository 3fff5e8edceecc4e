"""Check crash handling in random walks against a model of the actual crashes.

The model tracks the runs on each worker and the tasks under which workers crashed,
independently of the owner. Starts may get no response; workers crash because of a task
or by themselves, drain, become unreachable until their leases expire, or restart under
their ids; owners change, with or without storing their last progress. Protections are
disabled one by one, and the walks must detect each. Walks are drawn from fixed seeds;
``python -m tests.components.scheduling.test_crash_walks FIRST LAST`` runs others.
"""

from __future__ import annotations

import random
import sys
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

import pytest

from mustardward.components.ledger.ledger import LedgerJob
from mustardward.components.ledger.models import JobState, Progress
from mustardward.components.scheduling import crashes, planner, scheduler
from mustardward.components.scheduling.commands import Start, Stop
from mustardward.components.scheduling.losses import LossCause
from mustardward.components.scheduling.models import Job, QueuePolicy
from mustardward.components.scheduling.progress import progress_of
from mustardward.components.scheduling.scheduler import Scheduler
from mustardward.components.scheduling.worker_state import WorkerState
from mustardward.platform.models import WorkerEntry
from mustardward.platform.workers import EndedTask, RunningTask, TaskName, WorkerReport

from .builders import POOL, a_job, a_step, an_entry

WALKS = 120
STEPS = 140
TASK_SECONDS = 0.8
REGRESSION_SEEDS = (2246,)
"""Seeds of further walks that cover known violations."""

MIN_CRASHES_TO_GIVE_UP = 2
"""Fewest crashes under one task after which its job may fail."""

MAX_STARTS_AFTER_THREE = 2
SETTLE_SECONDS = 40.0


class RuleViolationError(AssertionError):
    """Raised when a walk violates a rule."""


@dataclass
class _Worker:
    """Model a worker.

    :param runs: run number and start time of each task that runs there.
    :param ends: number of runs that have ended.
    """

    id: str
    started_at_ms: int
    runs: dict[TaskName, tuple[int, float]] = field(default_factory=dict)
    ended: list[EndedTask] = field(default_factory=list)
    ends: int = 0
    draining: bool = False


class CrashWalk:
    """Walk through random events drawn from a seed.

    :param crashes_randomly: whether workers also crash by themselves.
    """

    def __init__(self, seed: int, crashes_randomly: bool) -> None:
        self._rng = random.Random(seed)
        self._crashes_randomly = crashes_randomly
        self.now = 1000.0
        self._epoch = 0
        self._last_started_at_ms = 1
        self._policy = QueuePolicy(service=POOL, target_seconds=1.0)
        self._jobs: dict[str, LedgerJob] = {}
        self._stored: dict[str, Progress] = {}
        self._workers: dict[str, _Worker] = {}
        self._crashing: set[TaskName] = set()
        self.crashed_under: Counter[TaskName] = Counter()
        self._after_three: Counter[TaskName] = Counter()
        self._uncounted: Counter[TaskName] = Counter()
        self._submitted = 0
        self._start_owner()
        for number in range(4):
            self._start_worker(f"w{number}")
        for number in range(self._rng.randint(1, 3)):
            self._add_job(crashing=True, long_running=self._rng.random() < 0.3)
            self._add_job(crashing=False, long_running=number == 0)

    def walk(self) -> None:
        """Apply random events, then let everything settle; check after each event."""
        events: list[tuple[Callable[[], None], int]] = [
            (self._tick, 60),
            (self._drain, 3),
            (self._cut_off, 2),
            (self._restart, 3),
            (self._change_owner, 1),
            (self._add_healthy_job, 4),
        ]
        if self._crashes_randomly:
            events.append((self._crash_one, 2))
        choices = [event for event, weight in events for _ in range(weight)]
        for _ in range(STEPS):
            self._rng.choice(choices)()
        until = self.now + SETTLE_SECONDS
        while self.now < until:
            self._tick()
        self._check_settled()

    def _start_owner(self) -> None:
        """Start a new owner from the stored progress and the workers' reports."""
        self._epoch += 1
        self._scheduler = Scheduler(self._epoch, lambda queue: self._policy)
        for job_id, job in self._jobs.items():
            job.progress = self._stored.get(job_id)
            self._scheduler.add_job(job, self.now, self.now)
        for worker in self._workers.values():
            self._update_worker(worker)

    def _update_worker(self, worker: _Worker) -> None:
        entry = self._entry(worker)
        self._scheduler.update_worker(worker.id, entry, self.now)
        self._hold(worker)

    def _entry(self, worker: _Worker) -> WorkerEntry:
        state = "draining" if worker.draining else "ready"
        return an_entry(born=worker.started_at_ms, state=state)

    def _start_worker(self, name: str) -> None:
        self._last_started_at_ms += 1
        worker = _Worker(name, self._last_started_at_ms)
        self._workers[name] = worker
        self._update_worker(worker)

    def _add_healthy_job(self) -> None:
        self._add_job(crashing=False, long_running=False)

    def _add_job(self, crashing: bool, long_running: bool) -> None:
        self._submitted += 1
        name = f"{self._submitted:016x}"
        step = a_step(
            count=self._rng.randint(1, 3),
            estimate_ms=1000 * TASK_SECONDS,
            long_running=long_running,
        )
        job = a_job(step, job=name, accepted_at=self.now)
        self._jobs[name] = job
        if crashing:
            self._crashing.add(TaskName(name, 0, 0, 0))
        self._scheduler.add_job(job, self.now, self.now)

    def _tick(self) -> None:
        self.now += 0.1
        for worker in list(self._workers.values()):
            self._crash_by_tasks(worker)
        for worker in list(self._workers.values()):
            self._hold(worker)
        for command in self._scheduler.plan(self.now, self.now):
            if isinstance(command, Start):
                self._start(command)
            elif isinstance(command, Stop):
                self._stop(command)
        if self._rng.random() < 0.9:
            self._store()

    def _store(self) -> None:
        records = self._scheduler.take_dirty(self.now, self.now)
        for job_id, progress in records:
            self._stored[job_id] = progress
            if progress.state is JobState.FAILED:
                self._check_cause(job_id)
            if progress.state.final:
                self._jobs.pop(job_id, None)
        self._scheduler.mark_stored([job_id for job_id, _ in records])

    def _start(self, start: Start) -> None:
        name = start.task.name
        worker = self._workers.get(start.worker)
        reports = self._scheduler.reports
        reports.start_sent(start.task, start.run)
        if worker is None:
            reports.start_refused(start.task, start.run, self.now)
            return
        worker.runs[name] = (start.run, self.now)
        if name in self._crashing and self.crashed_under[name] >= 3:
            self._after_three[name] += 1
            if self._after_three[name] > MAX_STARTS_AFTER_THREE + self._uncounted[name]:
                raise RuleViolationError(f"{name} started once more")
        if self._rng.random() < 0.3:
            reports.start_unknown(start.task, start.run, self.now)
        else:
            reports.start_answered(start.task, start.run, "", self.now)

    def _stop(self, stop: Stop) -> None:
        worker = self._workers.get(stop.worker)
        if worker is None:
            return
        run = worker.runs.get(stop.name)
        if run is not None and run[0] == stop.run:
            del worker.runs[stop.name]
            worker.ends += 1
            ended = EndedTask(worker.ends, stop.name, stop.run, "stopped", "")
            worker.ended.append(ended)
        if stop.task is not None:
            self._scheduler.reports.stop_answered(stop.task, stop.run, self.now)

    def _hold(self, worker: _Worker) -> None:
        for name, (run, began_at) in list(worker.runs.items()):
            job = self._jobs.get(name.job)
            long_running = job is not None and job.record.steps[0].long_running
            if not long_running and self.now - began_at >= TASK_SECONDS:
                del worker.runs[name]
                worker.ends += 1
                worker.ended.append(EndedTask(worker.ends, name, run, "done", ""))
        rows = [
            RunningTask(name, run, "", min(100.0, 1000 * (self.now - began_at)), 0.0)
            for name, (run, began_at) in worker.runs.items()
        ]
        answer = WorkerReport(1000 * self.now, rows, worker.ended, worker.started_at_ms)
        worker.ended = []
        self._scheduler.apply_worker_report(worker.id, answer, self.now, self.now)

    def _crash_by_tasks(self, worker: _Worker) -> None:
        if any(name in self._crashing for name in worker.runs):
            self._crash(worker)

    def _crash_one(self) -> None:
        worker = self._rng.choice(list(self._workers.values()))
        self._crash(worker)

    def _crash(self, worker: _Worker) -> None:
        """Crash a worker, which either restarts under its id or is replaced."""
        for name in worker.runs:
            self.crashed_under[name] += 1
            if worker.draining:
                # Indistinguishable from the announced end of a draining worker.
                self._uncounted[name] += 1
        restarts = self._rng.random() < 0.5
        if restarts:
            self._last_started_at_ms += 1
            new = _Worker(worker.id, self._last_started_at_ms)
            self._workers[worker.id] = new
            entry = self._entry(new)
            self._scheduler.replace_worker(
                worker.id, new.started_at_ms, entry, self.now
            )
            self._hold(new)
            return
        self._end(worker, LossCause.UNLISTED)

    def _end(self, worker: _Worker, cause: LossCause) -> None:
        del self._workers[worker.id]
        self._scheduler.remove_worker(worker.id, cause, self.now)
        self._start_worker(f"w{self._last_started_at_ms}")

    def _drain(self) -> None:
        """Drain a worker, which ends while tasks still run there."""
        worker = self._rng.choice(list(self._workers.values()))
        worker.draining = True
        entry = self._entry(worker)
        self._scheduler.update_worker(worker.id, entry, self.now)
        self._end(worker, LossCause.UNLISTED)

    def _cut_off(self) -> None:
        """Let a worker's leases expire behind a network partition."""
        worker = self._rng.choice(list(self._workers.values()))
        self._end(worker, LossCause.LEASES_EXPIRED)

    def _restart(self) -> None:
        """End a worker for maintenance by the fleet."""
        worker = self._rng.choice(list(self._workers.values()))
        self._end(worker, LossCause.ORDERED)

    def _change_owner(self) -> None:
        """Replace the owner, losing the progress that it has not stored."""
        for job in self._scheduler.state.dirty.values():
            for step in job.steps.values():
                for task in step.tasks:
                    if task.crashes and task.crashes != self._known_crashes(task.name):
                        self._uncounted[task.name] += 1
        self._start_owner()

    def _known_crashes(self, name: TaskName) -> tuple[str, ...]:
        progress = self._stored.get(name.job)
        marks = progress.tasks if progress is not None else []
        found = [m.crashes for m in marks if m.index == name.index]
        return found[0] if found else ()

    def _check_cause(self, job_id: str) -> None:
        """Check that a failed job had a task under which workers crashed."""
        crash_count = max(
            (n for name, n in self.crashed_under.items() if name.job == job_id),
            default=0,
        )
        if crash_count < MIN_CRASHES_TO_GIVE_UP:
            raise RuleViolationError(f"{job_id} given up after {crash_count} crashes")
        crashing = any(name.job == job_id for name in self._crashing)
        if not crashing and not self._crashes_randomly:
            raise RuleViolationError(f"{job_id} given up without a crashing task")

    def _check_settled(self) -> None:
        for name in self._crashing:
            if name.job in self._jobs:
                raise RuleViolationError(f"{name} was not given up")
        for job_id, job in self._jobs.items():
            if not job.record.steps[0].long_running:
                raise RuleViolationError(f"{job_id} was not done")


def walks(first: int, last: int) -> None:
    """Run a walk from each seed, half of them with crashes that no task causes.

    :raises RuleViolationError: with the seed, if a walk violates a rule.
    """
    for seed in range(first, last):
        try:
            CrashWalk(seed, crashes_randomly=bool(seed % 2)).walk()
        except RuleViolationError as error:
            raise RuleViolationError(f"seed={seed} {error}") from error


def test_no_order_of_events_violates_a_rule() -> None:
    walks(0, WALKS)


@pytest.mark.parametrize("seed", REGRESSION_SEEDS)
def test_regression_seeds_pass(seed: int) -> None:
    walks(seed, seed + 1)


def _without_task_progress(job: Job, wall: float) -> Progress:
    progress = progress_of(job, wall)
    return Progress(progress.state, progress.steps, [], progress.ended_at)


def _everything_is_a_crash(worker: WorkerState, cause: LossCause) -> bool:
    return True


def _drains_are_crashes(worker: WorkerState, cause: LossCause) -> bool:
    return cause is LossCause.UNLISTED


def _nothing_is_a_crash(worker: WorkerState, cause: LossCause) -> bool:
    return False


def _no_restart_is_a_crash(worker: WorkerState, cause: LossCause) -> bool:
    return cause is LossCause.UNLISTED and not worker.draining


MUTANTS: dict[str, tuple[object, str, object]] = {
    "crashes-lost-at-a-takeover": (scheduler, "progress_of", _without_task_progress),
    "everything-is-a-crash": (crashes, "is_crash", _everything_is_a_crash),
    "a-drain-is-a-crash": (crashes, "is_crash", _drains_are_crashes),
    "nothing-is-a-crash": (crashes, "is_crash", _nothing_is_a_crash),
    "a-restart-is-no-crash": (crashes, "is_crash", _no_restart_is_a_crash),
    "counted-by-id": (
        WorkerState,
        "incarnation",
        property(lambda worker: worker.id),
    ),
    "an-unanswered-start-does-not-count": (
        crashes,
        "may_have_started",
        lambda task: task.seen_running,
    ),
    "suspects-are-not-isolated": (crashes, "needs_isolation", lambda task: False),
    "a-suspect-waits-forever": (planner, "can_isolate", lambda *_: False),
    "never-given-up": (crashes, "should_give_up", lambda *_: False),
    "given-up-at-the-first-crash": (crashes, "should_give_up", lambda *_: True),
}


@pytest.mark.parametrize("mutant", MUTANTS)
def test_each_removed_protection_is_detected(
    mutant: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    owner, name, other = MUTANTS[mutant]
    monkeypatch.setattr(owner, name, other)
    with pytest.raises(RuleViolationError):
        walks(0, WALKS)


if __name__ == "__main__":
    walks(int(sys.argv[1]), int(sys.argv[2]))
