"""Check that each worker is used again after any sequence of faults.

The owner's scheduler, sessions and command executor run in simulated time against
workers that become unreachable, lose answers, execute commands late, restart, and have
orphan runs. After the faults end, all jobs are cancelled, and a job that needs the full
size of each worker has to run within a time limit.
"""

from __future__ import annotations

import random
from collections.abc import Callable

import anyio
import pytest
from anyio.abc import TaskGroup

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
    StartRequest,
    StartResponse,
    TaskName,
    WorkerReport,
    decode_ended,
    decode_running,
    encode_task,
)
from mustardward.standin.estate.worker import MemoryWorker, Workload

from ..scheduling.builders import POOL, a_job, a_step, an_entry
from .builders import build_dispatcher

pytestmark = pytest.mark.anyio

ROOM = Room(8000, 8000)
NAMES = ("w1", "w2", "w3")
EPOCH = 2
STARTED_AT_MS = 1_700_000_000_000
RECOVERY_SECONDS = 12.0
"""Longer than a lease, the memory of a lost incarnation, a quarantine, and the grace
period of a missing entry."""

CALL_OUTCOMES = ("ok", "unreachable", "answer-lost", "delayed", "refused")


class _FakeWorker:
    """Simulate a worker whose calls have random outcomes while faults are injected."""

    def __init__(self, walk: RecoveryWalk, name: str) -> None:
        self.walk = walk
        self.name = name
        self.started_at_ms = STARTED_AT_MS
        self.room = ROOM
        self.outcomes = ["ok"]
        self.delayed_calls: list[Callable[[], str]] = []
        self.clock_zero = walk.timers.monotonic() - 100.0
        self.process = self._new_process()

    def clock_ms(self) -> float:
        return 1000 * (self.walk.timers.monotonic() - self.clock_zero)

    def restart(self) -> None:
        self.clock_zero = self.walk.timers.monotonic() - 0.01
        self.started_at_ms += 30_000
        self.process = self._new_process()

    def resize(self, room: Room) -> None:
        self.room = self.process.capacity = room

    def _new_process(self) -> MemoryWorker:
        workloads = self.walk.workloads
        return MemoryWorker(
            self.name, "m", POOL, self.room, workloads, started_at_ms=self.started_at_ms
        )

    def _draw_outcome(self) -> str:
        outcome = self.walk.random.choice(self.outcomes)
        if outcome == "refused":
            raise CallRefusedError("status=503")
        if outcome == "unreachable":
            raise CallUnknownError("unreachable")
        return outcome

    async def async_start(self, order: StartRequest) -> StartResponse:
        outcome = self._draw_outcome()
        body = StartBody(
            encode_task(order.task), order.run, "", order.deadline_ms, EPOCH
        )
        if outcome == "delayed":
            self.delayed_calls.append(lambda: self.process.start(body, self.clock_ms()))
            raise CallUnknownError("delayed")
        reason = self.process.start(body, self.clock_ms())
        if outcome == "answer-lost":
            raise CallUnknownError("answer-lost")
        return StartResponse(self.clock_ms(), reason)

    async def async_stop(self, task: TaskName, run: int) -> None:
        outcome = self._draw_outcome()
        name = encode_task(task)
        if outcome == "delayed":
            self.delayed_calls.append(
                lambda: self.process.stop(name, run, EPOCH, self.clock_ms()) or ""
            )
            raise CallUnknownError("delayed")
        self.process.stop(name, run, EPOCH, self.clock_ms())
        if outcome == "answer-lost":
            raise CallUnknownError("answer-lost")

    async def async_set_speed(self, task: TaskName, run: int, percent: int) -> None:
        self._draw_outcome()

    async def async_poll(
        self, seen_upto: int, deadline_ms: int | None, wait_ms: int
    ) -> WorkerReport:
        outcome = self._draw_outcome()
        until = self.walk.timers.monotonic() + wait_ms / 1000
        body = self.process.poll(EPOCH, seen_upto, deadline_ms, self.clock_ms())
        process = self.process
        while not process.has_unacknowledged_ends(seen_upto):
            if self.walk.timers.monotonic() >= until:
                break
            await self.walk.timers.async_sleep(0.02)
            process.advance(self.clock_ms())
        body = process.poll(EPOCH, seen_upto, deadline_ms, self.clock_ms())
        if (
            outcome in ("answer-lost", "delayed")
            or process is not self.process
            or body is None
        ):
            raise CallUnknownError("answer-lost")
        return WorkerReport(
            body.clock_ms,
            [decode_running(row) for row in body.running],
            [decode_ended(row) for row in body.ended],
            body.born,
        )


class RecoveryWalk:
    """Provide an owner, its workers and the faults to inject."""

    def __init__(self, seed: int, tasks: TaskGroup) -> None:
        self.random = random.Random(seed)
        self.timers = DrivenTimerService()
        self.workloads: dict[str, Workload] = {}
        self.scheduler = Scheduler(
            EPOCH, lambda queue: QueuePolicy(service=POOL, max_attempts=50)
        )
        self.workers = {name: _FakeWorker(self, name) for name in NAMES}
        self.authorised = True
        self.jobs = 0
        self.dispatcher = build_dispatcher(
            self.scheduler,
            self.timers,
            tasks,
            token=EPOCH,
            on_fenced=self._fail_on_fenced,
            on_report=self._set_clients,
            authorised=lambda: self.authorised,
        )
        self.entries: dict[str, WorkerEntry] = {}
        for name in NAMES:
            self.update_entry(name)

    def _fail_on_fenced(self, worker: str) -> None:
        raise AssertionError("fenced")

    def _set_clients(self) -> None:
        for name, session in self.dispatcher.sessions.items():
            session.client = self.workers[name]  # type: ignore[assignment]

    def update_entry(self, name: str) -> None:
        """Apply a worker's entry as the directory does."""
        worker = self.workers[name]
        entry = an_entry(born=worker.started_at_ms, capacity=worker.room)
        if self.entries.get(name) != entry:
            self.entries[name] = entry
            self.dispatcher.update_worker(name, entry)
            self._set_clients()

    def expire_entry(self, name: str) -> None:
        """Let a worker's entry expire."""
        if self.entries.pop(name, None) is not None:
            self.scheduler.mark_worker_missing(name, self.timers.monotonic())

    def write_unusable_entry(self, name: str) -> None:
        """Apply an entry that describes no usable worker."""
        self.entries.pop(name, None)
        self.scheduler.mark_worker_absent(name)

    def submit(self) -> None:
        """Submit a random job."""
        draw = self.random
        lasts = draw.random() < 0.3
        room = Room(draw.choice([500, 1000, 4000, 8000]), 100)
        self.add(draw.randint(1, 4), room, lasts, draw.choice([0.05, 0.3, 2.0]))

    def add(self, count: int, room: Room, lasts: bool, seconds: float) -> str:
        """Submit a job; return its id."""
        name = f"{self.jobs:016x}"
        self.jobs += 1
        self.workloads[f"{name}.0"] = Workload(room, seconds, long_running=lasts)
        step = a_step(count=count, cpu=room.cpu, mem_mb=room.mem_mb, long_running=lasts)
        job: LedgerJob = a_job(step, job=name)
        self.scheduler.add_job(job, self.timers.monotonic(), 0.0)
        return name

    def start_orphan_run(self) -> None:
        """Start a run on a worker that no owner requested."""
        name = f"{self.random.choice([self.random.randrange(self.jobs + 1), 99]):016x}"
        self.workloads.setdefault(
            f"{name}.0", Workload(Room(100, 1), 60.0, long_running=True)
        )
        worker = self.workers[self.random.choice(NAMES)]
        run = self.random.choice([1, (1 << 20) + 1, (EPOCH << 20) + 1])
        body = StartBody(f"{name}.0.0.0", run, "", 10**12, EPOCH)
        worker.process.start(body, worker.clock_ms())

    def cancel(self) -> None:
        """Cancel a job."""
        if self.jobs:
            self.scheduler.cancel_job(f"{self.random.randrange(self.jobs):016x}")

    def execute_delayed_call(self, name: str) -> None:
        """Execute a delayed call that was left unanswered."""
        worker = self.workers[name]
        if worker.delayed_calls:
            worker.delayed_calls.pop(self.random.randrange(len(worker.delayed_calls)))()

    def disturb_calls(self, name: str) -> None:
        """Choose the possible outcomes of calls to a worker."""
        count = self.random.randint(1, 3)
        self.workers[name].outcomes = [
            self.random.choice(CALL_OUTCOMES) for _ in range(count)
        ]

    def report_lost(self, name: str) -> None:
        """Restart a worker after the instance list shows that it is lost."""
        session = self.dispatcher.sessions.get(name)
        if session is not None and not session.closed:
            self.workers[name].restart()
            self.dispatcher.remove_worker(name, LossCause.UNLISTED)

    def resize(self, name: str) -> None:
        """Change the capacity of a worker."""
        self.workers[name].resize(Room(self.random.choice([4000, 8000, 16000]), 8000))

    def end_faults(self) -> None:
        """End all faults and cancel all jobs."""
        self.authorised = True
        for name, worker in self.workers.items():
            worker.outcomes = ["ok"]
            worker.delayed_calls.clear()
            worker.resize(ROOM)
            self.update_entry(name)
        for number in range(self.jobs):
            self.scheduler.cancel_job(f"{number:016x}")

    async def async_advance_time(self, seconds: float) -> None:
        """Advance the time; plan, store and reopen sessions in each step."""
        for _ in range(round(seconds / 0.02)):
            now = self.timers.monotonic()
            for name, entry in self.entries.items():
                session = self.dispatcher.sessions.get(name)
                if session is None or session.closed:
                    self.dispatcher.update_worker(name, entry)
            self._set_clients()
            if self.authorised:
                room = self.dispatcher.executor.available_starts()
                commands = self.scheduler.plan(now, 0.0, room)
                self.dispatcher.executor.execute(commands)
            stored = [name for name, _ in self.scheduler.take_dirty(now, 0.0)]
            self.scheduler.mark_stored(stored)
            for session in self.dispatcher.sessions.values():
                session.acknowledge(session.received_upto)
            await anyio.wait_all_tasks_blocked()
            await self.timers.async_advance(0.02)
            self._set_clients()
        await anyio.wait_all_tasks_blocked()


async def async_walk(
    seed: int, event_count: int = 40, orphan_runs: bool = True
) -> list[str]:
    """Inject random faults and end them; return the tasks that do not start then."""
    async with anyio.create_task_group() as tasks:
        walk = RecoveryWalk(seed, tasks)
        walk._set_clients()
        draw = walk.random
        events: list[Callable[[], None]] = [
            walk.submit,
            walk.submit,
            walk.start_orphan_run,
            walk.cancel,
            lambda: walk.disturb_calls(draw.choice(NAMES)),
            lambda: walk.disturb_calls(draw.choice(NAMES)),
            lambda: walk.execute_delayed_call(draw.choice(NAMES)),
            lambda: walk.workers[draw.choice(NAMES)].restart(),
            lambda: walk.update_entry(draw.choice(NAMES)),
            lambda: walk.expire_entry(draw.choice(NAMES)),
            lambda: walk.write_unusable_entry(draw.choice(NAMES)),
            lambda: walk.report_lost(draw.choice(NAMES)),
            lambda: walk.resize(draw.choice(NAMES)),
            lambda: setattr(walk, "authorised", draw.random() < 0.7),
        ]
        if not orphan_runs:
            events.remove(walk.start_orphan_run)
        for _ in range(event_count):
            draw.choice(events)()
            await walk.async_advance_time(draw.choice([0.02, 0.06, 0.1, 0.4]))
        walk.end_faults()
        await walk.async_advance_time(RECOVERY_SECONDS)
        job = walk.add(len(NAMES), ROOM, True, 60.0)
        await walk.async_advance_time(2.0)
        unstarted = unstarted_tasks(walk, job)
        tasks.cancel_scope.cancel()
    return unstarted


def unstarted_tasks(walk: RecoveryWalk, job: str) -> list[str]:
    """Return a job's tasks that do not run, with the state of the workers."""
    steps = walk.scheduler.state.jobs[job].steps
    tasks = steps[(0, 0)].tasks
    unstarted = [
        f"{t.index}:{t.phase.value}" for t in tasks if t.phase is not Phase.RUNNING
    ]
    if unstarted:
        unstarted += [describe(w) for w in walk.scheduler.state.workers.values()]
    return unstarted


def describe(worker: WorkerState) -> str:
    """Describe a worker's state."""
    flags = ("confirmed", "stale", "absent", "draining", "cordoned", "unknown_runs")
    on = [flag for flag in flags if getattr(worker, flag)]
    return f"{worker.id} {on} free={worker.free_cpu} orphans={len(worker.orphan_steps)}"


@pytest.mark.parametrize("first_seed", [0, 5, 10])
async def test_each_worker_is_used_again_after_any_sequence_of_faults(
    first_seed: int,
) -> None:
    """Guard against tasks that wait for a new owner although workers are free."""
    unstarted = {}
    for seed in range(first_seed, first_seed + 5):
        unstarted[seed] = await async_walk(seed)
    assert not {seed: why for seed, why in unstarted.items() if why}
