"""Provide builders of jobs, workers and reports for the scheduler's tests."""

from __future__ import annotations

import sys
from collections.abc import Callable
from dataclasses import dataclass, field
from types import FrameType

from mustardward.components.dispatch.const import latest_lease_end
from mustardward.components.ledger.ledger import LedgerJob
from mustardward.components.ledger.models import JobRecord, Progress
from mustardward.components.scheduling.commands import (
    Command,
    RequestAdvice,
    Start,
    Stop,
)
from mustardward.components.scheduling.const import MAX_LEASE_SECONDS
from mustardward.components.scheduling.lost_starts import MAX_DELAY_SECONDS
from mustardward.components.scheduling.models import QueuePolicy, Task
from mustardward.components.scheduling.scheduler import Scheduler
from mustardward.components.scheduling.worker_state import WorkerState
from mustardward.platform.models import (
    QueueAdvice,
    Room,
    SubmittedStep,
    WorkerEntry,
)
from mustardward.platform.workers import EndedTask, RunningTask, TaskName, WorkerReport

POOL = "pool-a"
JOB = "00000000000000aa"
HOLD_SECONDS = latest_lease_end(MAX_DELAY_SECONDS, MAX_LEASE_SECONDS)
"""Time after which a run that a delayed start began is over."""
ADVICE = QueueAdvice(decide_ms=200, period_ms=20, valid_ms=3000)


def a_step(**changes: object) -> SubmittedStep:
    """Return a step of two short tasks of one core."""
    values: dict[str, object] = {
        "count": 2,
        "cpu": 1000,
        "mem_mb": 100,
        "estimate_ms": 1000,
    }
    values.update(changes)
    return SubmittedStep(**values)  # type: ignore[arg-type]


def a_job(*steps: SubmittedStep, job: str = JOB, **changes: object) -> LedgerJob:
    """Return an accepted job."""
    values: dict[str, object] = {
        "id": job,
        "queue": "host /a/",
        "service": POOL,
        "spec": "do it",
        "steps": list(steps) or [a_step()],
        "times": 0,
        "start_at_ms": 0.0,
        "interval_ms": 0.0,
        "accepted_at": 0.0,
    }
    values.update(changes)
    return LedgerJob(JobRecord(**values))  # type: ignore[arg-type]


def an_entry(**changes: object) -> WorkerEntry:
    """Return the entry of a ready worker with eight cores."""
    values: dict[str, object] = {
        "service": POOL,
        "address": "127.0.0.1:1",
        "capacity": Room(cpu=8000, mem_mb=8000),
        "labels": ["a", "r1"],
    }
    values.update(changes)
    return WorkerEntry(**values)  # type: ignore[arg-type]


@dataclass(slots=True)
class SchedulerBench:
    """Drive a scheduler with simulated workers that carry out all commands.

    :param now: the monotonic and the wall clock, in seconds.
    :param clock_ms: the clock of the workers, in milliseconds.
    :param quotas: the quota of each organisation.
    :param stored: the newest progress of each job that ``store`` saved.
    """

    policy: QueuePolicy = QueuePolicy(service=POOL, target_seconds=1.0)
    now: float = 1000.0
    epoch: int = 1
    scheduler: Scheduler = field(init=False)
    clock_ms: float = 0.0
    quotas: dict[str, Room] = field(default_factory=dict)
    stored: dict[str, Progress] = field(default_factory=dict)
    _numbers: dict[str, int] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Create the scheduler."""
        self.scheduler = Scheduler(
            self.epoch,
            lambda queue: self.policy,
            quota_of=lambda organisation: self.quotas.get(organisation, Room()),
        )

    def worker(self, name: str, **changes: object) -> WorkerState:
        """Add a worker that has sent its first report."""
        self.scheduler.update_worker(name, an_entry(**changes), self.now)
        self.hold(name)
        return self.scheduler.state.workers[name]

    def add(self, job: LedgerJob, stored: bool = True) -> None:
        """Submit a job, and by default mark it as stored."""
        self.scheduler.add_job(job, self.now, self.now)
        if stored:
            self.scheduler.mark_stored([job.record.id])

    def store(self) -> None:
        """Save the progress that is due, and mark it as stored."""
        records = dict(self.scheduler.take_dirty(self.now, self.now))
        self.stored.update(records)
        self.scheduler.mark_stored(records)

    def plan(self) -> list[Command]:
        """Return the commands of a new plan."""
        return self.scheduler.plan(self.now, self.now)

    def plan_starts(self) -> list[Start]:
        """Plan, respond to every start with success, and return the starts."""
        starts = [c for c in self.plan() if isinstance(c, Start)]
        for start in starts:
            self.accept(start)
        return starts

    def plan_stops(self) -> list[Stop]:
        """Plan, and return the stops."""
        return [c for c in self.plan() if isinstance(c, Stop)]

    def accept(self, start: Start) -> None:
        """Respond to a start with success."""
        self.scheduler.reports.start_answered(start.task, start.run, "", self.now)

    def hold(
        self,
        name: str,
        running: list[RunningTask] | None = None,
        ended: list[EndedTask] | None = None,
    ) -> None:
        """Apply a worker's report of its running and ended tasks."""
        answer = WorkerReport(self.clock_ms, running or [], ended or [])
        self.scheduler.apply_worker_report(name, answer, self.now, self.now)

    def report_serving(self, task: Task) -> None:
        """Apply a report of a worker on which a long-running task serves."""
        assert task.worker is not None
        rows = [
            a_row(other, 100.0 if other is task or other.is_serving else other.percent)
            for other in task.worker.tasks.values()
        ]
        self.hold(task.worker.id, running=rows)

    def plan_request(self) -> RequestAdvice | None:
        """Plan, and return the request for advice, if there is one."""
        requests = [c for c in self.plan() if isinstance(c, RequestAdvice)]
        assert len(requests) <= 1
        return requests[0] if requests else None

    def advise(
        self, request: RequestAdvice | None, *allowed: str, seconds: float = 60.0
    ) -> None:
        """Answer a request for advice with tickets for some workers."""
        assert request is not None
        tickets = dict.fromkeys(allowed, "t")
        self.scheduler.advice.answered(request, tickets, seconds, self.now)

    def end(self, task: Task, how: str, checkpoint: str = "") -> None:
        """Apply a report in which a task has ended, with its worker's other runs."""
        worker = task.worker
        assert worker is not None
        number = self._numbers.get(worker.id, 0) + 1
        self._numbers[worker.id] = number
        rows = [a_row(o, o.percent) for o in worker.tasks.values() if o is not task]
        ended = EndedTask(number, task.name, task.run, how, checkpoint)
        self.hold(worker.id, running=rows, ended=[ended])

    def task(
        self, index: int, step: int = 0, job: str = JOB, occurrence: int = 0
    ) -> Task:
        """Return a task."""
        found = self.scheduler.state.find_task(TaskName(job, occurrence, step, index))
        assert found is not None
        return found


def a_row(task: Task, percent: float, checkpoint: str = "") -> RunningTask:
    """Return a report's row of a running task."""
    return RunningTask(task.name, task.run, checkpoint, percent, task.figure)


def count_calls(call: Callable[[], object]) -> int:
    """Return how many calls of Python functions and generators something makes."""
    calls = 0

    def profile(frame: FrameType, event: str, argument: object) -> None:
        nonlocal calls
        calls += event == "call"

    sys.setprofile(profile)
    try:
        call()
    finally:
        sys.setprofile(None)
    return calls
