"""Test an owner whose event loop is blocked while hundreds of starts are due."""

from __future__ import annotations

import time
from collections import Counter
from typing import Any

import anyio
import anyio.lowlevel
import pytest

from mustardward.components.dispatch.call_queue import (
    MAX_CALLS,
    MAX_CALLS_PER_WORKER,
    CallQueue,
)
from mustardward.components.dispatch.command_executor import CommandExecutor
from mustardward.components.dispatch.dispatcher import Dispatcher
from mustardward.components.dispatch.start_window import INITIAL_STARTS
from mustardward.components.scheduling.commands import Command, Start, Stop
from mustardward.components.scheduling.models import Phase, QueuePolicy
from mustardward.components.scheduling.scheduler import Scheduler
from mustardward.embedded.estate import async_until
from mustardward.embedded.thread_context import async_run_in_thread
from mustardward.helpers.timer import LoopTimerService
from mustardward.platform.http import HttpCaller
from mustardward.platform.models import Room, WorkerEntry
from mustardward.standin.estate.app import async_run_estate
from mustardward.standin.estate.estate import Estate, EstatePlan
from mustardward.standin.estate.worker import Workload

from ..scheduling.builders import JOB, POOL, a_job, a_step

pytestmark = pytest.mark.anyio

TASKS = 300
BLOCKED_SECONDS = 0.8
"""More than twice the timeout of a start."""


class _FakeSession:
    """Simulate a session with a responsive or unresponsive worker."""

    closed = False

    def __init__(self, answers: bool) -> None:
        self.is_unresponsive = not answers


class BlockedOwner:
    """Provide an owner's scheduler and dispatcher, with workers in another thread."""

    def __init__(self, estate: Estate, tasks: anyio.abc.TaskGroup) -> None:
        self.estate = estate
        self.timers = LoopTimerService(tasks)
        self.scheduler = Scheduler(1, lambda queue: QueuePolicy(service=POOL))
        self.commands: list[Command] = []
        self.http = HttpCaller()
        self.dispatcher = Dispatcher(
            self.http,
            self.scheduler,
            self.timers,
            tasks,
            1,
            lambda: None,
            lambda: None,
            lambda: True,
        )

    async def async_open_sessions(self) -> None:
        for name, worker in self.estate.workers.items():
            address = self.estate.address_of(name)
            entry = WorkerEntry(POOL, address, capacity=worker.capacity)
            self.dispatcher.update_worker(name, entry)
        workers = self.scheduler.state.workers.values()
        await async_until(lambda: all(worker.confirmed for worker in workers))

    def plan(self) -> None:
        now = self.timers.monotonic()
        commands = self.scheduler.plan(now, now)
        self.commands.extend(commands)
        self.dispatcher.executor.execute(commands)

    async def async_keep_planning(self, seconds: float) -> None:
        until = self.timers.monotonic() + seconds
        while self.timers.monotonic() < until:
            self.plan()
            await anyio.sleep(0.01)


async def test_delayed_owner_neither_stops_nor_repeats_started_tasks() -> None:
    """Guard against excess starts and stops, such as 6,954 and 7,963 for 1,200 tasks.

    An owner sends 300 starts at once and its loop is blocked for longer than their
    timeout. The workers have begun all of them, but their answers are unread. If the
    owner treats its own delay as missing answers, it stops the runs and starts them
    elsewhere, which delays it further.
    """
    plan = EstatePlan(pools=(POOL,), instances=16, standby=0, cores=64)
    async with (
        async_run_in_thread(async_run_estate(plan, "127.0.0.1")) as estate,
        anyio.create_task_group() as tasks,
    ):
        estate.workloads[f"{JOB}.0"] = Workload(Room(100, 1), 60.0, long_running=True)
        owner = BlockedOwner(estate, tasks)
        await owner.async_open_sessions()
        step = a_step(count=TASKS, cpu=100, mem_mb=1, long_running=True)
        owner.scheduler.add_job(a_job(step), owner.timers.monotonic(), 0.0)
        owner.scheduler.mark_stored([JOB])
        owner.plan()
        for _ in range(4):
            await anyio.lowlevel.checkpoint()
        time.sleep(BLOCKED_SECONDS)  # noqa: ASYNC251 - blocks the event loop
        await owner.async_keep_planning(2.0)
        assert not [c for c in owner.commands if isinstance(c, Stop)]
        job = owner.scheduler.state.jobs[JOB]
        assert {task.phase for task in job.steps[(0, 0)].tasks} == {Phase.RUNNING}
        starts = Counter(
            task for worker in estate.workers.values() for task, _ in worker.starts
        )
        assert (len(starts), max(starts.values())) == (TASKS, 1)
        tasks.cancel_scope.cancel()


async def test_start_that_waited_too_long_is_withdrawn() -> None:
    """Guard against a start on a worker that is unresponsive or full since the plan."""
    async with anyio.create_task_group() as tasks:
        scheduler = Scheduler(1, lambda queue: QueuePolicy(service=POOL))
        timers = LoopTimerService(tasks)
        dispatcher = Dispatcher(
            HttpCaller(),
            scheduler,
            timers,
            tasks,
            1,
            lambda: None,
            lambda: None,
            lambda: True,
        )
        now = timers.monotonic()
        scheduler.add_job(a_job(a_step(count=1)), now, 0.0)
        scheduler.mark_stored([JOB])
        entry = WorkerEntry(POOL, "127.0.0.1:9", capacity=Room(8000, 8000))
        scheduler.update_worker("w", entry, now)
        worker = scheduler.state.workers["w"]
        worker.confirmed = True
        (start,) = [c for c in scheduler.plan(now - 2.0, 0.0) if isinstance(c, Start)]
        dispatcher.executor.execute([start])
        await anyio.wait_all_tasks_blocked()
        assert start.task.phase is Phase.WAITING
        assert worker.refusing_until == 0.0
        assert worker.free_cpu == 8000
        tasks.cancel_scope.cancel()


async def test_unresponsive_worker_does_not_delay_starts_on_others() -> None:
    """Guard against a pool with free capacity in which hardly any task is started.

    A worker becomes unresponsive while a dozen starts wait for it, each until the calls
    before it have timed out. They must not count as starts that the owner is too slow
    to send.
    """
    async with anyio.create_task_group() as tasks:
        scheduler = Scheduler(1, lambda queue: QueuePolicy(service=POOL))
        timers = LoopTimerService(tasks)
        sessions: dict[str, Any] = {
            "unresponsive": _FakeSession(False),
            "responsive": _FakeSession(True),
        }
        executor = CommandExecutor(
            scheduler,
            timers,
            tasks,
            sessions,
            lambda: None,
            lambda: None,
            lambda: True,
            lambda worker: None,
        )

        async def async_hang() -> None:
            await anyio.sleep_forever()

        for _ in range(MAX_CALLS_PER_WORKER + 400):
            executor.calls.enqueue("unresponsive", async_hang)
        await anyio.wait_all_tasks_blocked()
        assert executor.calls.waiting == 400
        assert executor.available_starts() >= INITIAL_STARTS
        for _ in range(MAX_CALLS_PER_WORKER + 50):
            executor.calls.enqueue("responsive", async_hang)
        await anyio.wait_all_tasks_blocked()
        assert executor.available_starts() == executor.window.size - 50
        tasks.cancel_scope.cancel()


async def test_calls_are_limited_per_worker_and_in_total_and_all_complete() -> None:
    max_concurrent: Counter[str] = Counter()
    concurrent: Counter[str] = Counter()
    completed: list[int] = []
    peak = 0

    async def async_call(worker: str, number: int) -> None:
        nonlocal peak
        concurrent[worker] += 1
        max_concurrent[worker] = max(max_concurrent[worker], concurrent[worker])
        peak = max(peak, concurrent.total())
        for _ in range(3):
            await anyio.lowlevel.checkpoint()
        concurrent[worker] -= 1
        completed.append(number)

    async with anyio.create_task_group() as tasks:
        call_queue = CallQueue(tasks)
        workers = [f"w{number}" for number in range(80)]
        for number in range(3000):
            worker = workers[number % 80 if number % 3 else 0]
            call_queue.enqueue(worker, lambda w=worker, n=number: async_call(w, n))
            if number % 500 == 0:
                await anyio.lowlevel.checkpoint()
    assert sorted(completed) == list(range(3000))
    assert max(max_concurrent.values()) == MAX_CALLS_PER_WORKER
    assert peak == MAX_CALLS
    assert (call_queue.in_progress, call_queue.waiting) == (0, 0)
