"""Check that after any order of events, once calm, each worker is used again.

The owner's scheduler, sessions and orders run in driven time against workers that fall
silent, lose answers, carry orders out late, start again, and run what is no task's.
Then all is well: jobs of before are cancelled, and a job that needs the whole of each
worker has to run within a bound.
"""

from __future__ import annotations

import random
from collections.abc import Callable

import anyio
import pytest
from anyio.abc import TaskGroup

from mustardward.components.dispatch.dispatcher import Dispatcher
from mustardward.components.ledger.ledger import LedgerJob
from mustardward.components.scheduling.losses import LossCause
from mustardward.components.scheduling.models import Phase, QueuePolicy
from mustardward.components.scheduling.scheduler import Scheduler
from mustardward.components.scheduling.worker_state import WorkerState
from mustardward.helpers.timer import DrivenTimerService
from mustardward.platform.bodies import StartBody
from mustardward.platform.exceptions import CallRefusedError, CallUnknownError
from mustardward.platform.models import Room, WorkerEntry
from mustardward.platform.workers import (
    HoldAnswer,
    StartAnswer,
    StartOrder,
    TaskName,
    decode_ended,
    decode_running,
    encode_task,
)
from mustardward.standin.estate.worker import MemoryWorker, Work

from ..scheduling.builders import POOL, a_job, a_step, an_entry

pytestmark = pytest.mark.anyio

ROOM = Room(8000, 8000)
NAMES = ("w1", "w2", "w3")
EPOCH = 2
BORN = 1_700_000_000_000
CALM_SECONDS = 12.0
"""Longer than a lease, a closed entry, a quarantine and a missing entry's grace."""

CALLS = ("well", "dark", "lost", "late", "refused")


class _Worker:
    """Play a worker's calls; what becomes of one is drawn while there is trouble."""

    def __init__(self, walk: HoldWalk, name: str) -> None:
        self.walk = walk
        self.name = name
        self.born = BORN
        self.room = ROOM
        self.fates = ["well"]
        self.late: list[Callable[[], str]] = []
        self.zero = walk.timers.monotonic() - 100.0
        self.process = self._begin()

    def clock(self) -> float:
        return 1000 * (self.walk.timers.monotonic() - self.zero)

    def restart(self) -> None:
        self.zero = self.walk.timers.monotonic() - 0.01
        self.born += 30_000
        self.process = self._begin()

    def resize(self, room: Room) -> None:
        self.room = self.process.room = room

    def _begin(self) -> MemoryWorker:
        work_of = self.walk.work_of
        return MemoryWorker(self.name, "m", POOL, self.room, work_of, born=self.born)

    def _fate(self) -> str:
        fate = self.walk.random.choice(self.fates)
        if fate == "refused":
            raise CallRefusedError("status=503")
        if fate == "dark":
            raise CallUnknownError("dark")
        return fate

    async def async_start(self, order: StartOrder) -> StartAnswer:
        fate = self._fate()
        body = StartBody(
            encode_task(order.task), order.run, "", order.deadline_ms, EPOCH
        )
        if fate == "late":
            self.late.append(lambda: self.process.start(body, self.clock()))
            raise CallUnknownError("late")
        reason = self.process.start(body, self.clock())
        if fate == "lost":
            raise CallUnknownError("lost")
        return StartAnswer(self.clock(), reason)

    async def async_stop(self, task: TaskName, run: int) -> None:
        fate = self._fate()
        name = encode_task(task)
        if fate == "late":
            self.late.append(
                lambda: self.process.stop(name, run, EPOCH, self.clock()) or ""
            )
            raise CallUnknownError("late")
        self.process.stop(name, run, EPOCH, self.clock())
        if fate == "lost":
            raise CallUnknownError("lost")

    async def async_pace(self, task: TaskName, run: int, percent: int) -> None:
        self._fate()

    async def async_hold(
        self, seen_upto: int, deadline_ms: int | None, wait_ms: int
    ) -> HoldAnswer:
        fate = self._fate()
        until = self.walk.timers.monotonic() + wait_ms / 1000
        body = self.process.hold(EPOCH, seen_upto, deadline_ms, self.clock())
        process = self.process
        while not process.has_news(seen_upto):
            if self.walk.timers.monotonic() >= until:
                break
            await self.walk.timers.async_sleep(0.02)
            process.advance(self.clock())
        body = process.hold(EPOCH, seen_upto, deadline_ms, self.clock())
        if fate in ("lost", "late") or process is not self.process or body is None:
            raise CallUnknownError("lost")
        return HoldAnswer(
            body.clock_ms,
            [decode_running(row) for row in body.running],
            [decode_ended(row) for row in body.ended],
            body.born,
        )


class HoldWalk:
    """Hold an owner and its workers, and what may befall them."""

    def __init__(self, seed: int, tasks: TaskGroup) -> None:
        self.random = random.Random(seed)
        self.timers = DrivenTimerService()
        self.work_of: dict[str, Work] = {}
        self.scheduler = Scheduler(
            EPOCH, lambda queue: QueuePolicy(service=POOL, max_attempts=50)
        )
        self.workers = {name: _Worker(self, name) for name in NAMES}
        self.authorised = True
        self.jobs = 0
        self.dispatcher = Dispatcher(
            None,  # type: ignore[arg-type]
            self.scheduler,
            self.timers,
            tasks,
            EPOCH,
            self._fenced,
            self._set_clients,
            lambda: self.authorised,
        )
        self.entries: dict[str, WorkerEntry] = {}
        for name in NAMES:
            self.see(name)

    def _fenced(self) -> None:
        raise AssertionError("fenced")

    def _set_clients(self) -> None:
        for name, session in self.dispatcher.sessions.items():
            session.client = self.workers[name]  # type: ignore[assignment]

    def see(self, name: str) -> None:
        """Let a worker's entry be read, as the directory hands it on."""
        worker = self.workers[name]
        entry = an_entry(born=worker.born, capacity=worker.room)
        if self.entries.get(name) != entry:
            self.entries[name] = entry
            self.dispatcher.update_worker(name, entry)
            self._set_clients()

    def miss(self, name: str) -> None:
        """Let a worker's entry lapse."""
        if self.entries.pop(name, None) is not None:
            self.scheduler.mark_worker_missing(name, self.timers.monotonic())

    def bar(self, name: str) -> None:
        """Let an entry be read that names no worker."""
        self.entries.pop(name, None)
        self.scheduler.mark_worker_absent(name)

    def submit(self) -> None:
        """Take a job in."""
        draw = self.random
        lasts = draw.random() < 0.3
        room = Room(draw.choice([500, 1000, 4000, 8000]), 100)
        self.add(draw.randint(1, 4), room, lasts, draw.choice([0.05, 0.3, 2.0]))

    def add(self, count: int, room: Room, lasts: bool, seconds: float) -> str:
        """Take a job in; return its id."""
        name = f"{self.jobs:016x}"
        self.jobs += 1
        self.work_of[f"{name}.0"] = Work(room, seconds, lasts=lasts)
        step = a_step(count=count, cpu=room.cpu, mem_mb=room.mem_mb, long_running=lasts)
        job: LedgerJob = a_job(step, job=name)
        self.scheduler.add_job(job, self.timers.monotonic(), 0.0)
        return name

    def stray(self) -> None:
        """Let a worker run what no owner asked for."""
        name = f"{self.random.choice([self.random.randrange(self.jobs + 1), 99]):016x}"
        self.work_of.setdefault(f"{name}.0", Work(Room(100, 1), 60.0, lasts=True))
        worker = self.workers[self.random.choice(NAMES)]
        run = self.random.choice([1, (1 << 20) + 1, (EPOCH << 20) + 1])
        body = StartBody(f"{name}.0.0.0", run, "", 10**12, EPOCH)
        worker.process.start(body, worker.clock())

    def cancel(self) -> None:
        """Cancel a job."""
        if self.jobs:
            self.scheduler.cancel_job(f"{self.random.randrange(self.jobs):016x}")

    def carry_out_late(self, name: str) -> None:
        """Carry an order out that was left unanswered."""
        worker = self.workers[name]
        if worker.late:
            worker.late.pop(self.random.randrange(len(worker.late)))()

    def trouble(self, name: str) -> None:
        """Let calls to a worker fail in some ways, or none."""
        count = self.random.randint(1, 3)
        self.workers[name].fates = [self.random.choice(CALLS) for _ in range(count)]

    def lose(self, name: str) -> None:
        """Let the list of instances show that a worker's life is over."""
        session = self.dispatcher.sessions.get(name)
        if session is not None and not session.gone:
            self.workers[name].restart()
            self.dispatcher.remove_worker(name, LossCause.UNLISTED)

    def resize(self, name: str) -> None:
        """Let a worker change its size."""
        self.workers[name].resize(Room(self.random.choice([4000, 8000, 16000]), 8000))

    def end_trouble(self) -> None:
        """Let all be well from now on."""
        self.authorised = True
        for name, worker in self.workers.items():
            worker.fates = ["well"]
            worker.late.clear()
            worker.resize(ROOM)
            self.see(name)
        for number in range(self.jobs):
            self.scheduler.cancel_job(f"{number:016x}")

    async def async_pass(self, seconds: float) -> None:
        """Let time pass, planning, storing and looking all the while."""
        for _ in range(round(seconds / 0.02)):
            now = self.timers.monotonic()
            for name, entry in self.entries.items():
                session = self.dispatcher.sessions.get(name)
                if session is None or session.gone:
                    self.dispatcher.update_worker(name, entry)
            self._set_clients()
            if self.authorised:
                room = self.dispatcher.orders.start_room()
                commands = self.scheduler.plan(now, 0.0, room)
                self.dispatcher.orders.execute(commands)
            stored = [name for name, _ in self.scheduler.take_dirty(now, 0.0)]
            self.scheduler.mark_stored(stored)
            for session in self.dispatcher.sessions.values():
                session.acknowledge(session.listed_upto)
            await anyio.wait_all_tasks_blocked()
            await self.timers.async_advance(0.02)
            self._set_clients()
        await anyio.wait_all_tasks_blocked()


async def async_walk(
    seed: int, events_made: int = 40, orphan_steps: bool = True
) -> list[str]:
    """Walk into trouble and out of it; return what is still held."""
    async with anyio.create_task_group() as tasks:
        walk = HoldWalk(seed, tasks)
        walk._set_clients()
        draw = walk.random
        events: list[Callable[[], None]] = [
            walk.submit,
            walk.submit,
            walk.stray,
            walk.cancel,
            lambda: walk.trouble(draw.choice(NAMES)),
            lambda: walk.trouble(draw.choice(NAMES)),
            lambda: walk.carry_out_late(draw.choice(NAMES)),
            lambda: walk.workers[draw.choice(NAMES)].restart(),
            lambda: walk.see(draw.choice(NAMES)),
            lambda: walk.miss(draw.choice(NAMES)),
            lambda: walk.bar(draw.choice(NAMES)),
            lambda: walk.lose(draw.choice(NAMES)),
            lambda: walk.resize(draw.choice(NAMES)),
            lambda: setattr(walk, "authorised", draw.random() < 0.7),
        ]
        if not orphan_steps:
            events.remove(walk.stray)
        for _ in range(events_made):
            draw.choice(events)()
            await walk.async_pass(draw.choice([0.02, 0.06, 0.1, 0.4]))
        walk.end_trouble()
        await walk.async_pass(CALM_SECONDS)
        job = walk.add(len(NAMES), ROOM, True, 60.0)
        await walk.async_pass(2.0)
        held = held_of(walk, job)
        tasks.cancel_scope.cancel()
    return held


def held_of(walk: HoldWalk, job: str) -> list[str]:
    """Return what does not run of a job, and why its workers are not used."""
    steps = walk.scheduler.state.jobs[job].steps
    tasks = steps[(0, 0)].tasks
    held = [f"{t.index}:{t.phase.value}" for t in tasks if t.phase is not Phase.RUNNING]
    if held:
        held += [describe(w) for w in walk.scheduler.state.workers.values()]
    return held


def describe(worker: WorkerState) -> str:
    """Return what a worker's books say."""
    flags = ("confirmed", "stale", "absent", "draining", "leaving", "unknown_runs")
    on = [flag for flag in flags if getattr(worker, flag)]
    return f"{worker.id} {on} free={worker.free_cpu} orphans={len(worker.orphan_steps)}"


@pytest.mark.parametrize("first", [0, 5, 10])
async def test_after_any_order_of_events_each_worker_is_used_again(first: int) -> None:
    """Work waits for as long as its owner lives, though workers are free."""
    held = {}
    for seed in range(first, first + 5):
        held[seed] = await async_walk(seed)
    assert not {seed: why for seed, why in held.items() if why}
