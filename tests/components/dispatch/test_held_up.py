"""Test an owner whose loop is held up while hundreds of starts are due."""

from __future__ import annotations

import time
from collections import Counter
from typing import Any

import anyio
import anyio.lowlevel
import pytest

from mustardward.components.dispatch.dispatcher import Dispatcher
from mustardward.components.dispatch.lanes import MOST, MOST_A_WORKER, Lanes
from mustardward.components.dispatch.orders import Orders
from mustardward.components.dispatch.window import FIRST_STARTS
from mustardward.components.scheduling.commands import Command, Start, Stop
from mustardward.components.scheduling.models import Phase, QueuePolicy
from mustardward.components.scheduling.scheduler import Scheduler
from mustardward.embedded.elsewhere import async_elsewhere
from mustardward.embedded.estate import async_until
from mustardward.helpers.timer import LoopTimerService
from mustardward.platform.http import HttpCaller
from mustardward.platform.models import Room, WorkerEntry
from mustardward.standin.estate.app import async_run_estate
from mustardward.standin.estate.estate import Estate, EstatePlan
from mustardward.standin.estate.worker import Work

from ..scheduling.builders import JOB, POOL, a_job, a_step

pytestmark = pytest.mark.anyio

TASKS = 300
HELD_UP_SECONDS = 0.8
"""More than twice the time that a start has for its answer."""


class _Answering:
    """Stand in for a session whose worker answers, or does not."""

    gone = False

    def __init__(self, answers: bool) -> None:
        self.doubted = not answers


class HeldUpOwner:
    """Hold an owner's scheduler and dispatcher, and workers in another thread."""

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

    async def async_see_workers(self) -> None:
        for name, worker in self.estate.workers.items():
            address = self.estate.address_of(name)
            entry = WorkerEntry(POOL, address, capacity=worker.room)
            self.dispatcher.update_worker(name, entry)
        workers = self.scheduler.state.workers.values()
        await async_until(lambda: all(worker.confirmed for worker in workers))

    def plan(self) -> None:
        now = self.timers.monotonic()
        commands = self.scheduler.plan(now, now)
        self.commands.extend(commands)
        self.dispatcher.orders.execute(commands)

    async def async_go_on(self, seconds: float) -> None:
        until = self.timers.monotonic() + seconds
        while self.timers.monotonic() < until:
            self.plan()
            await anyio.sleep(0.01)


async def test_a_late_owner_neither_stops_nor_repeats_what_began() -> None:
    """Symptom: 6,954 starts and 7,963 stops for 1,200 tasks.

    Sequence: an owner gave 300 starts at once and was held up for longer than a start
    has for its answer; the workers had begun all of them, and their answers lay unread.
    Cause: the owner took its own lateness for their silence, stopped the runs and began
    them elsewhere, which held it up still longer.
    """
    plan = EstatePlan(pools=(POOL,), instances=16, standby=0, cores=64)
    async with (
        async_elsewhere(async_run_estate(plan, "127.0.0.1")) as estate,
        anyio.create_task_group() as tasks,
    ):
        estate.work_of[f"{JOB}.0"] = Work(Room(100, 1), 60.0, lasts=True)
        owner = HeldUpOwner(estate, tasks)
        await owner.async_see_workers()
        step = a_step(count=TASKS, cpu=100, mem_mb=1, long_running=True)
        owner.scheduler.add_job(a_job(step), owner.timers.monotonic(), 0.0)
        owner.scheduler.mark_stored([JOB])
        owner.plan()
        for _ in range(4):
            await anyio.lowlevel.checkpoint()
        time.sleep(HELD_UP_SECONDS)  # noqa: ASYNC251 - it holds the loop up
        await owner.async_go_on(2.0)
        assert not [c for c in owner.commands if isinstance(c, Stop)]
        job = owner.scheduler.state.jobs[JOB]
        assert {task.phase for task in job.steps[(0, 0)].tasks} == {Phase.RUNNING}
        begun = Counter(
            task for worker in estate.workers.values() for task, _ in worker.starts
        )
        assert (len(begun), max(begun.values())) == (TASKS, 1)
        tasks.cancel_scope.cancel()


async def test_a_start_that_waited_too_long_to_leave_is_decided_anew() -> None:
    """Symptom: a task starts on a worker that fell silent or full since the plan."""
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
        dispatcher.orders.execute([start])
        await anyio.wait_all_tasks_blocked()
        assert start.task.phase is Phase.WAITING
        assert worker.refusing_until == 0.0
        assert worker.free_cpu == 8000
        tasks.cancel_scope.cancel()


async def test_a_dark_worker_does_not_hold_up_the_starts_on_others() -> None:
    """Symptom: a pool has room and work, and hardly anything is started.

    Sequence: a worker goes dark with a dozen starts waiting to leave for it, each
    for as long as the calls before have for their answers. Cause: these counted as
    what this owner is too slow to carry out.
    """
    async with anyio.create_task_group() as tasks:
        scheduler = Scheduler(1, lambda queue: QueuePolicy(service=POOL))
        timers = LoopTimerService(tasks)
        sessions: dict[str, Any] = {"dark": _Answering(False), "well": _Answering(True)}
        orders = Orders(
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

        for _ in range(MOST_A_WORKER + 400):
            orders.lanes.put("dark", async_hang)
        await anyio.wait_all_tasks_blocked()
        assert orders.lanes.waiting == 400
        assert orders.start_room() >= FIRST_STARTS
        for _ in range(MOST_A_WORKER + 50):
            orders.lanes.put("well", async_hang)
        await anyio.wait_all_tasks_blocked()
        assert orders.start_room() == orders.window.most - 50
        tasks.cancel_scope.cancel()


async def test_calls_are_bounded_by_worker_and_in_all_and_none_is_forgotten() -> None:
    most: Counter[str] = Counter()
    now: Counter[str] = Counter()
    made: list[int] = []
    peak = 0

    async def async_call(worker: str, number: int) -> None:
        nonlocal peak
        now[worker] += 1
        most[worker] = max(most[worker], now[worker])
        peak = max(peak, now.total())
        for _ in range(3):
            await anyio.lowlevel.checkpoint()
        now[worker] -= 1
        made.append(number)

    async with anyio.create_task_group() as tasks:
        lanes = Lanes(tasks)
        workers = [f"w{number}" for number in range(80)]
        for number in range(3000):
            worker = workers[number % 80 if number % 3 else 0]
            lanes.put(worker, lambda w=worker, n=number: async_call(w, n))
            if number % 500 == 0:
                await anyio.lowlevel.checkpoint()
    assert sorted(made) == list(range(3000))
    assert max(most.values()) == MOST_A_WORKER
    assert peak == MOST
    assert (lanes.under_way, lanes.waiting) == (0, 0)
