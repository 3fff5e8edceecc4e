"""Test takeovers with random lost ends: no task runs again under a later run."""

from __future__ import annotations

import random

import pytest

from mustardward.components.ledger.ledger import LedgerJob
from mustardward.components.ledger.models import JobState, Progress
from mustardward.components.scheduling.commands import Start, Stop
from mustardward.components.scheduling.models import QueuePolicy, Task
from mustardward.platform.models import SubmittedStep
from mustardward.platform.workers import EndedTask, RunningTask, TaskName

from .builders import JOB, POOL, SchedulerBench, a_job, a_step, an_entry

WORKERS = ("w1", "w2", "w3")
MAX_ROUNDS = 200
MAX_ATTEMPTS = 1000
END_SHARE = 0.5
DONE_SHARE = 0.8
OWNERS = 4


class Worker:
    """Hold the runs and the ends of one worker, which survive their owner."""

    def __init__(self) -> None:
        self.running: dict[TaskName, int] = {}
        self.ended: list[EndedTask] = []

    def end(self, name: TaskName, how: str) -> None:
        """End a run."""
        run = self.running.pop(name)
        self.ended.append(EndedTask(len(self.ended) + 1, name, run, how, ""))


class Walk:
    """Run one job under several owners, each of which loses all that is not stored."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.steps = self._make_steps()
        self.times = self.rng.choice([0, 3])
        self.workers = {name: Worker() for name in WORKERS}
        self.progress: Progress | None = None
        self.bench = SchedulerBench()
        self.repeated: list[TaskName] = []

    def own(self, epoch: int) -> None:
        """Let a new owner take over, and let all workers report to it."""
        policy = QueuePolicy(POOL, max_attempts=MAX_ATTEMPTS)
        self.bench = SchedulerBench(policy, 1000.0 + 10 * epoch, epoch)
        job = a_job(*self.steps, times=self.times, interval_ms=1.0)
        self.bench.add(LedgerJob(job.record, self.progress))
        for name in self.workers:
            self.bench.scheduler.update_worker(name, an_entry(), self.bench.now)
        self.report()

    def report(self) -> None:
        """Let all workers report, in any order."""
        for name in self.rng.sample(WORKERS, len(WORKERS)):
            worker = self.workers[name]
            rows = [
                RunningTask(t, run, "", 1.0, 0.0) for t, run in worker.running.items()
            ]
            self.bench.hold(name, running=rows, ended=worker.ended)

    def advance(self) -> None:
        """Start and stop what is due, end some runs, and report."""
        self.bench.now += 0.1
        for command in self.bench.plan():
            if isinstance(command, Start):
                self._check(command.task)
                self.workers[command.worker].running[command.task.name] = command.run
                self.bench.accept(command)
            elif isinstance(command, Stop):
                worker = self.workers[command.worker]
                if worker.running.get(command.name) == command.run:
                    worker.end(command.name, "stopped")
        for worker in self.workers.values():
            for name in list(worker.running):
                if self.rng.random() < END_SHARE:
                    done = self.rng.random() < DONE_SHARE
                    worker.end(name, "done" if done else "failed")
        self.report()

    def lose(self) -> None:
        """Lose the owner, and perhaps a worker with its ends."""
        if self.rng.random() < 0.5:
            self.bench.store()
            self.progress = self.bench.stored.get(JOB, self.progress)
        self.progress = self.progress or Progress(JobState.RUNNING)
        for name in self.rng.sample(WORKERS, self.rng.randint(0, 2)):
            self.workers[name] = Worker()

    def is_done(self) -> bool:
        """Return whether the job is done, or was stored as done."""
        stored = self.progress is not None and self.progress.state is JobState.DONE
        job = self.bench.scheduler.state.jobs.get(JOB)
        return stored or (job is not None and job.state is JobState.DONE)

    def _make_steps(self) -> list[SubmittedStep]:
        steps: list[SubmittedStep] = []
        for number in range(self.rng.randint(2, 5)):
            earlier = range(number)
            after = self.rng.sample(earlier, min(number, self.rng.randint(0, 2)))
            count = self.rng.randint(1, 3)
            steps.append(a_step(count=count, cpu=100, mem_mb=1, after=after))
        return steps

    def _check(self, task: Task) -> None:
        """Note a task that starts though a worker lists a run that depends on it."""
        name = task.name
        for worker in self.workers.values():
            listed = [*worker.running, *(ended.task for ended in worker.ended)]
            for other in listed:
                same = other.occurrence == name.occurrence
                if same and name.step in self._earlier(other.step):
                    self.repeated.append(name)

    def _earlier(self, step: int) -> set[int]:
        """Return the steps on which a step depends, directly and over others."""
        found = set(self.steps[step].after)
        for number in list(found):
            found |= self._earlier(number)
        return found


@pytest.mark.parametrize("seed", range(150))
def test_no_task_starts_again_under_a_later_run(seed: int) -> None:
    """Guards against two runs of a task, and against a job that never ends."""
    walk = Walk(seed)
    walk.own(1)
    for epoch in range(2, OWNERS + 2):
        for _ in range(walk.rng.randint(1, 5)):
            walk.advance()
        walk.lose()
        if walk.is_done():
            return
        walk.own(epoch)
    for _ in range(MAX_ROUNDS):
        if walk.is_done():
            break
        walk.advance()
    assert walk.is_done()
    assert walk.repeated == []
