"""Simulate workers whose ended runs do not fit into one answer, and their owner."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import anyio
from anyio.abc import TaskGroup

from mustardward.components.ledger.ledger import LedgerJob
from mustardward.components.ledger.models import JobState, OwnerRecord, Progress
from mustardward.components.ownership.takeover import Takeover, hold_previous_runs
from mustardward.components.scheduling.models import Phase, QueuePolicy
from mustardward.components.scheduling.scheduler import Scheduler
from mustardward.helpers.timer import DrivenTimerService
from mustardward.platform.bodies import StartBody
from mustardward.platform.exceptions import CallUnknownError
from mustardward.platform.models import Room
from mustardward.platform.workers import (
    StartRequest,
    StartResponse,
    WorkerReport,
    decode_ended,
    decode_running,
    encode_task,
)
from mustardward.standin.estate.worker import MemoryWorker, Workload

from ..scheduling.builders import JOB, POOL, a_job, a_step, an_entry
from .builders import build_dispatcher

ROOM = Room(cpu=64_000, mem_mb=262_144)
TASK_ROOM = Room(cpu=1, mem_mb=1)
RUN_SECONDS = 1.0
STEP_SECONDS = 0.05
PREVIOUS_RUN = 1 << 20


class ListingClient:
    """Call a simulated worker without a network.

    :param starts: the tasks that it was told to start, in order.
    """

    def __init__(self, worker: MemoryWorker, timers: DrivenTimerService) -> None:
        self.worker = worker
        self.silent = False
        self.starts: list[str] = []
        self.acknowledged: list[int] = []
        self._timers = timers

    @property
    def clock_ms(self) -> float:
        """Return the worker's clock."""
        return 1000 * self._timers.monotonic() + 10_000

    async def async_poll(
        self, seen_upto: int, deadline_ms: int | None, wait_ms: int
    ) -> WorkerReport:
        if self.silent:
            raise CallUnknownError("no answer")
        self.acknowledged.append(seen_upto)
        body = self.worker.poll(2, seen_upto, deadline_ms, self.clock_ms)
        assert body is not None
        running = [decode_running(row) for row in body.running]
        ended = [decode_ended(row) for row in body.ended]
        return WorkerReport(self.clock_ms, running, ended, body.born)

    async def async_start(self, request: StartRequest) -> StartResponse:
        name = encode_task(request.task)
        self.starts.append(name)
        order = StartBody(name, request.run, request.spec, request.deadline_ms, 2)
        return StartResponse(self.clock_ms, self.worker.start(order, self.clock_ms))

    async def async_stop(self, task: Any, run: int) -> None:
        self.worker.stop(encode_task(task), run, 2, self.clock_ms)


class TakeoverOfListings:
    """Run a new owner's dispatcher and takeover for workers with many ended runs.

    :param append_seconds: time until ends that were received are stored.
    """

    def __init__(
        self, tasks: TaskGroup, ends: dict[str, int], append_seconds: float
    ) -> None:
        self.timers = DrivenTimerService()
        self.append_seconds = append_seconds
        self.scheduler = Scheduler(2, lambda queue: QueuePolicy(service=POOL))
        self.state = self.scheduler.state
        self.dispatcher = build_dispatcher(self.scheduler, self.timers, tasks)
        self.clients: dict[str, ListingClient] = {}
        self.count = sum(ends.values())
        now = self.timers.monotonic()
        hold_previous_runs(self.state, OwnerRecord(1, "c", "node-1", 5), now)
        self.scheduler.add_job(self._a_started_job(), now, now)
        self.scheduler.mark_stored([JOB])
        self._add_workers(ends)
        self.takeover = Takeover(
            2, self.state, self.dispatcher, self.timers, lambda: None
        )
        directory: Any = _LoadedDirectory()
        tasks.start_soon(self.takeover.async_run, directory)
        tasks.start_soon(self._async_store)

    @property
    def starts(self) -> list[str]:
        """Return the tasks that were started."""
        return [name for client in self.clients.values() for name in client.starts]

    @property
    def done(self) -> int:
        """Return how many tasks are known to be done."""
        job = self.state.jobs.get(JOB)
        if job is None:
            return self.count
        tasks = [task for step in job.steps.values() for task in step.tasks]
        return sum(task.phase is Phase.DONE for task in tasks)

    async def async_advance(self, seconds: float) -> None:
        """Advance the time; plan and send commands meanwhile."""
        for _ in range(round(seconds / STEP_SECONDS)):
            await anyio.wait_all_tasks_blocked()
            now = self.timers.monotonic()
            self.dispatcher.executor.execute(self.scheduler.plan(now, now))
            await anyio.wait_all_tasks_blocked()
            await self.timers.async_advance(STEP_SECONDS)
        await anyio.wait_all_tasks_blocked()

    def _a_started_job(self) -> LedgerJob:
        step = a_step(count=self.count, cpu=TASK_ROOM.cpu, mem_mb=TASK_ROOM.mem_mb)
        return LedgerJob(a_job(step).record, progress=Progress(JobState.RUNNING))

    def _add_workers(self, ends: dict[str, int]) -> None:
        index = 0
        workloads = {f"{JOB}.0": Workload(TASK_ROOM, RUN_SECONDS)}
        for name, count in ends.items():
            worker = MemoryWorker(name, f"m-{name}", POOL, ROOM, workloads)
            client = self.clients[name] = ListingClient(worker, self.timers)
            for _ in range(count):
                task = f"{JOB}.0.0.{index}"
                lease_end_ms = int(client.clock_ms) + 4000
                order = StartBody(task, PREVIOUS_RUN, "do it", lease_end_ms, 1)
                worker.start(order, client.clock_ms)
                index += 1
            worker.advance(client.clock_ms + 1000 * RUN_SECONDS)
            self.dispatcher.update_worker(name, an_entry(capacity=ROOM))
            session = self.dispatcher.sessions[name]
            session.client = client  # type: ignore[assignment]

    async def _async_store(self) -> None:
        """Store ends one append after the other, and acknowledge them."""
        while True:
            received = [
                (session, session.received_upto)
                for session in self.dispatcher.sessions.values()
            ]
            await self.timers.async_sleep(self.append_seconds)
            for session, number in received:
                session.acknowledge(number)


class _LoadedDirectory:
    async def async_wait_loaded(self) -> None:
        """Return at once."""


@asynccontextmanager
async def a_takeover_of_listings(
    ends: dict[str, int], append_seconds: float = 0.05
) -> AsyncIterator[TakeoverOfListings]:
    """Run a takeover for as long as the context lasts."""
    async with anyio.create_task_group() as tasks:
        yield TakeoverOfListings(tasks, ends, append_seconds)
        tasks.cancel_scope.cancel()
