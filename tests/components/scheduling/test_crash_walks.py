"""Check crashes over any order of events, against what really crashed.

The model holds what runs on each worker and which crashed under which task, whatever
the owner knows: starts are answered or not, workers crash by a task, by themselves,
drain, fall silent until their leases are over, or start again under their ids; owners
change, with or without the last of what they had to store. Protections are taken out
one by one, and each must be missed. Walks are drawn from seeds, so that they are the
same each time; ``python -m tests.components.scheduling.test_crash_walks FIRST LAST``
walks others.
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
from mustardward.platform.workers import EndedTask, HoldAnswer, RunningTask, TaskName

from .builders import POOL, a_job, a_step, an_entry

WALKS = 120
STEPS = 140
TASK_SECONDS = 0.8
REGRESSION_SEEDS = (2246,)
"""Walks beyond the first ones that broke a rule."""

MOST_CRASHES_FOR_CAUSE = 2
"""Crashes under one task after which its job may be shown as failed."""

MOST_STARTS_AFTER_THREE = 2
SETTLE_SECONDS = 40.0


class BrokenRuleError(AssertionError):
    """Report a rule that a walk has broken."""


@dataclass
class _Worker:
    """Hold what really runs on a worker, by task: the run and when it began."""

    id: str
    born: int
    runs: dict[TaskName, tuple[int, float]] = field(default_factory=dict)
    ended: list[EndedTask] = field(default_factory=list)
    ends: int = 0
    draining: bool = False


class CrashWalk:
    """Walk through events drawn from a seed.

    :param unlucky: whether workers crash by themselves.
    """

    def __init__(self, seed: int, unlucky: bool) -> None:
        self._rng = random.Random(seed)
        self._unlucky = unlucky
        self.now = 1000.0
        self._epoch = 0
        self._born = 1
        self._policy = QueuePolicy(service=POOL, target_seconds=1.0)
        self._jobs: dict[str, LedgerJob] = {}
        self._stored: dict[str, Progress] = {}
        self._workers: dict[str, _Worker] = {}
        self._crashing: set[TaskName] = set()
        self.crashed_under: Counter[TaskName] = Counter()
        self._after_three: Counter[TaskName] = Counter()
        self._hidden: Counter[TaskName] = Counter()
        self._submitted = 0
        self._start_owner()
        for number in range(4):
            self._start_worker(f"w{number}")
        for number in range(self._rng.randint(1, 3)):
            self._add_job(crashing=True, long_running=self._rng.random() < 0.3)
            self._add_job(crashing=False, long_running=number == 0)

    def walk(self) -> None:
        """Take steps, then let everything settle, checking all the while."""
        events: list[tuple[Callable[[], None], int]] = [
            (self._tick, 60),
            (self._drain, 3),
            (self._cut_off, 2),
            (self._restart, 3),
            (self._change_owner, 1),
            (self._add_healthy_job, 4),
        ]
        if self._unlucky:
            events.append((self._crash_one, 2))
        choices = [event for event, weight in events for _ in range(weight)]
        for _ in range(STEPS):
            self._rng.choice(choices)()
        until = self.now + SETTLE_SECONDS
        while self.now < until:
            self._tick()
        self._check_settled()

    def _start_owner(self) -> None:
        """Let a new owner begin, by what is stored and what workers tell."""
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
        return an_entry(born=worker.born, state=state)

    def _start_worker(self, name: str) -> None:
        self._born += 1
        worker = _Worker(name, self._born)
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
            if self._after_three[name] > MOST_STARTS_AFTER_THREE + self._hidden[name]:
                raise BrokenRuleError(f"{name} started once more")
        if self._rng.random() < 0.3:
            reports.start_unknown(start.task, start.run)
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
        answer = HoldAnswer(1000 * self.now, rows, worker.ended, worker.born)
        worker.ended = []
        self._scheduler.apply_worker_report(worker.id, answer, self.now, self.now)

    def _crash_by_tasks(self, worker: _Worker) -> None:
        if any(name in self._crashing for name in worker.runs):
            self._crash(worker)

    def _crash_one(self) -> None:
        worker = self._rng.choice(list(self._workers.values()))
        self._crash(worker)

    def _crash(self, worker: _Worker) -> None:
        """Let a worker end without a sign, and its owner learn of it."""
        for name in worker.runs:
            self.crashed_under[name] += 1
            if worker.draining:
                # Not told from the end that was announced.
                self._hidden[name] += 1
        again = self._rng.random() < 0.5
        if again:
            self._born += 1
            new = _Worker(worker.id, self._born)
            self._workers[worker.id] = new
            entry = self._entry(new)
            self._scheduler.replace_worker(worker.id, new.born, entry, self.now)
            self._hold(new)
            return
        self._end(worker, LossCause.UNLISTED)

    def _end(self, worker: _Worker, cause: LossCause) -> None:
        del self._workers[worker.id]
        self._scheduler.remove_worker(worker.id, cause, self.now)
        self._start_worker(f"w{self._born}")

    def _drain(self) -> None:
        """Let a worker announce its end, and end while something runs there."""
        worker = self._rng.choice(list(self._workers.values()))
        worker.draining = True
        entry = self._entry(worker)
        self._scheduler.update_worker(worker.id, entry, self.now)
        self._end(worker, LossCause.UNLISTED)

    def _cut_off(self) -> None:
        """Let a worker's leases run out behind a cut."""
        worker = self._rng.choice(list(self._workers.values()))
        self._end(worker, LossCause.LEASES_EXPIRED)

    def _restart(self) -> None:
        """Let the fleet maintain a worker."""
        worker = self._rng.choice(list(self._workers.values()))
        self._end(worker, LossCause.ORDERED)

    def _change_owner(self) -> None:
        """Let an owner end with what it has not stored yet."""
        for job in self._scheduler.state.dirty.values():
            for step in job.steps.values():
                for task in step.tasks:
                    if task.crashes and task.crashes != self._known_crashes(task.name):
                        self._hidden[task.name] += 1
        self._start_owner()

    def _known_crashes(self, name: TaskName) -> tuple[str, ...]:
        progress = self._stored.get(name.job)
        marks = progress.tasks if progress is not None else []
        found = [m.crashes for m in marks if m.index == name.index]
        return found[0] if found else ()

    def _check_cause(self, job_id: str) -> None:
        """Check that a job shown as failed had a task under which workers crashed."""
        most = max(
            (n for name, n in self.crashed_under.items() if name.job == job_id),
            default=0,
        )
        if most < MOST_CRASHES_FOR_CAUSE:
            raise BrokenRuleError(f"{job_id} given up after {most} crashes")
        crashing = any(name.job == job_id for name in self._crashing)
        if not crashing and not self._unlucky:
            raise BrokenRuleError(f"{job_id} given up, and it is sound")

    def _check_settled(self) -> None:
        for name in self._crashing:
            if name.job in self._jobs:
                raise BrokenRuleError(f"{name} was not given up")
        for job_id, job in self._jobs.items():
            if not job.record.steps[0].long_running:
                raise BrokenRuleError(f"{job_id} was not done")


def walks(first: int, last: int) -> None:
    """Walk from each seed, half of them among crashes that nothing has caused.

    :raises BrokenRuleError: with the seed, if a walk breaks a rule.
    """
    for seed in range(first, last):
        try:
            CrashWalk(seed, unlucky=bool(seed % 2)).walk()
        except BrokenRuleError as error:
            raise BrokenRuleError(f"seed={seed} {error}") from error


def test_no_order_of_events_breaks_a_rule() -> None:
    walks(0, WALKS)


@pytest.mark.parametrize("seed", REGRESSION_SEEDS)
def test_seeds_that_once_broke_a_rule_pass(seed: int) -> None:
    walks(seed, seed + 1)


def _without_marks(job: Job, wall: float) -> Progress:
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
    "crashes-forgotten-at-a-takeover": (scheduler, "progress_of", _without_marks),
    "everything-is-a-crash": (crashes, "is_crash", _everything_is_a_crash),
    "a-drain-is-a-crash": (crashes, "is_crash", _drains_are_crashes),
    "nothing-is-a-crash": (crashes, "is_crash", _nothing_is_a_crash),
    "a-rebirth-is-no-crash": (crashes, "is_crash", _no_restart_is_a_crash),
    "counted-by-id": (
        WorkerState,
        "incarnation",
        property(lambda worker: worker.id),
    ),
    "an-order-without-answer-does-not-count": (
        crashes,
        "may_have_started",
        lambda task: task.seen_running,
    ),
    "neighbours-are-convicted": (crashes, "needs_isolation", lambda task: False),
    "a-suspect-waits-for-ever": (planner, "can_isolate", lambda *_: False),
    "never-given-up": (crashes, "should_give_up", lambda *_: False),
    "given-up-at-the-first": (crashes, "should_give_up", lambda *_: True),
}


@pytest.mark.parametrize("mutant", MUTANTS)
def test_each_removed_protection_is_detected(
    mutant: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    owner, name, other = MUTANTS[mutant]
    monkeypatch.setattr(owner, name, other)
    with pytest.raises(BrokenRuleError):
        walks(0, WALKS)


if __name__ == "__main__":
    walks(int(sys.argv[1]), int(sys.argv[2]))
