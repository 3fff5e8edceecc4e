"""Run leased tasks on fake workers in memory, with injectable faults."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any

import anyio
import anyio.lowlevel

from mustardward.exceptions import (
    PlatformOutcomeUnknownError,
    PlatformRefusedError,
    PlatformUnavailableError,
    StaleGenerationError,
)
from mustardward.helpers.timer import TimerService
from mustardward.standin.protocol.models import (
    TaskOrder,
    TaskReport,
    TaskState,
    WorkerUsage,
)

ACTIVE = (TaskState.RUNNING, TaskState.THROTTLED)


@dataclass(slots=True)
class Span:
    """Record the part of a task that one run has completed.

    :param start: progress at the start of the run, from 0 to 1.
    :param end: progress at the end of the run, from 0 to 1.
    """

    task_id: str
    generation: int
    began: float
    start: float
    end: float


@dataclass(slots=True)
class Task:
    """Hold one task of a fake worker.

    :param seconds: run time of the whole task.
    :param advanced: time up to which its progress is calculated, in monotonic seconds.
    """

    order: TaskOrder
    report: TaskReport
    lease_end: float
    seconds: float
    advanced: float
    span: Span


@dataclass(slots=True, eq=False)
class FakeWorker:
    """Hold one worker's tasks and faults."""

    slots: int = 8
    tasks: dict[str, Task] = field(default_factory=dict)
    seen: dict[str, int] = field(default_factory=dict)
    starts: list[tuple[str, int]] = field(default_factory=list)
    down: bool = False
    fails: bool = False
    stuck: bool = False
    lose_answers: int = 0
    no_checkpoint: bool = False
    no_throttle: bool = False


class FakeWorkers:
    """Serve all workers by address; a task takes ``seconds[task_id]`` to run."""

    def __init__(self, timers: TimerService) -> None:
        self._timers = timers
        self.at: dict[str, FakeWorker] = {}
        self.seconds: dict[str, float] = {}
        self.spans: list[Span] = []
        self.calls = 0
        self.hang = ""
        self.on_start: Callable[[TaskOrder], None] = lambda order: None

    def runs(self, task_id: str) -> int:
        """Return how often a task was started on any worker."""
        return sum(
            started == task_id
            for worker in self.at.values()
            for started, _ in worker.starts
        )

    async def async_start(self, address: str, order: TaskOrder) -> TaskReport:
        worker = await self._async_reach(address)
        if order.generation < worker.seen.get(order.task_id, 0):
            raise StaleGenerationError("start")
        known = worker.tasks.get(order.task_id)
        if known is None or known.order.generation != order.generation:
            self._begin(worker, order)
        return self._answer(worker, order.task_id)

    async def async_report(self, address: str, task_id: str) -> TaskReport:
        worker = await self._async_reach(address)
        return self._report(worker, task_id)

    async def async_renew(
        self, address: str, task_id: str, generation: int, lease_seconds: float
    ) -> TaskReport:
        worker, task = await self._async_task(address, task_id, generation)
        if task.report.state in ACTIVE:
            task.lease_end = self._timers.monotonic() + lease_seconds
        return self._answer(worker, task_id)

    async def async_checkpoint(
        self, address: str, task_id: str, generation: int
    ) -> TaskReport:
        worker, task = await self._async_task(address, task_id, generation)
        if self.hang == "checkpoint":
            await anyio.Event().wait()
        if worker.no_checkpoint:
            raise PlatformRefusedError("cannot checkpoint")
        if task.report.state in ACTIVE:
            checkpoint = f"{task.report.progress:.6f}"
            self._set(task, state=TaskState.STOPPED, checkpoint=checkpoint)
        return self._answer(worker, task_id)

    async def async_throttle(
        self, address: str, task_id: str, generation: int
    ) -> TaskReport:
        worker, task = await self._async_task(address, task_id, generation)
        if worker.no_throttle:
            raise PlatformRefusedError("cannot throttle")
        if task.report.state is TaskState.RUNNING:
            self._set(task, state=TaskState.THROTTLED)
        return self._answer(worker, task_id)

    async def async_stop(
        self, address: str, task_id: str, generation: int
    ) -> TaskReport:
        worker, task = await self._async_task(address, task_id, generation)
        if task.report.state in ACTIVE:
            self._set(task, state=TaskState.STOPPED)
        return self._answer(worker, task_id)

    async def async_usage(self, address: str) -> WorkerUsage:
        worker = await self._async_reach(address)
        return WorkerUsage(address, self._busy(worker), 0, 0.0)

    def reboot(self, address: str) -> None:
        """Reboot a worker, which loses its tasks."""
        self.advance()
        self.at[address].tasks.clear()

    def advance(self) -> None:
        """Update the progress of all tasks to the current time."""
        for worker in self.at.values():
            for task in worker.tasks.values():
                self._advance(worker, task)

    async def _async_reach(self, address: str) -> FakeWorker:
        self.calls += 1
        await anyio.lowlevel.checkpoint()
        worker = self.at[address]
        if worker.down:
            raise PlatformUnavailableError("down")
        return worker

    async def _async_task(
        self, address: str, task_id: str, generation: int
    ) -> tuple[FakeWorker, Task]:
        worker = await self._async_reach(address)
        self._report(worker, task_id)
        task = worker.tasks[task_id]
        if generation != task.order.generation:
            raise StaleGenerationError("call")
        return worker, task

    def _begin(self, worker: FakeWorker, order: TaskOrder) -> None:
        self.advance()
        if self._busy(worker) >= worker.slots:
            raise PlatformRefusedError("busy")
        now = self._timers.monotonic()
        progress = float(order.checkpoint or 0.0)
        state = TaskState.FAILED if worker.fails else TaskState.RUNNING
        report = TaskReport(
            order.task_id, order.generation, state, progress, order.checkpoint
        )
        seconds = self.seconds.get(order.task_id, 30.0)
        lease_end = now + order.lease_seconds
        self.on_start(order)
        worker.seen[order.task_id] = order.generation
        worker.starts.append((order.task_id, order.generation))
        span = Span(order.task_id, order.generation, now, progress, progress)
        self.spans.append(span)
        worker.tasks[order.task_id] = Task(order, report, lease_end, seconds, now, span)

    def _busy(self, worker: FakeWorker) -> int:
        tasks = worker.tasks.values()
        return sum(item.report.state is TaskState.RUNNING for item in tasks)

    def _report(self, worker: FakeWorker, task_id: str) -> TaskReport:
        if task_id not in worker.tasks:
            raise PlatformRefusedError("task unknown")
        self._advance(worker, worker.tasks[task_id])
        return worker.tasks[task_id].report

    def _answer(self, worker: FakeWorker, task_id: str) -> TaskReport:
        if worker.lose_answers:
            worker.lose_answers -= 1
            raise PlatformOutcomeUnknownError("response lost")
        return self._report(worker, task_id)

    def _advance(self, worker: FakeWorker, task: Task) -> None:
        if task.report.state not in ACTIVE:
            return
        now = self._timers.monotonic()
        until = min(now, task.lease_end)
        speed = 1.0 if task.report.state is TaskState.RUNNING else 0.1
        gained = 0.0 if worker.stuck else speed * (until - task.advanced)
        progress = min(1.0, task.report.progress + gained / task.seconds)
        task.advanced = until
        task.span.end = progress
        self._set(task, progress=progress)
        if progress >= 1.0 - 1e-9:
            self._set(task, state=TaskState.DONE, result=b"done")
        elif now >= task.lease_end:
            self._set(task, state=TaskState.LAPSED)

    def _set(self, task: Task, **changes: Any) -> None:
        task.report = replace(task.report, **changes)
