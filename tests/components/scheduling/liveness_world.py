"""Model workers that follow the worker protocol.

The model holds the actual runs, independently of any owner's state.
"""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

import anyio

from mustardward.components.ledger.ledger import LedgerJob
from mustardward.components.ledger.models import WaveRecord
from mustardward.platform.exceptions import (
    FencedError,
)
from mustardward.platform.models import (
    INSTANCE_UP,
    Instance,
    MaintenanceWave,
    Room,
    SubmittedStep,
    WorkerEntry,
)
from mustardward.platform.workers import (
    EndedTask,
    RunningTask,
    StartRequest,
    TaskName,
    WorkerReport,
)

STOP_SECONDS = 0.5
STARTUP_SECONDS = 0.6
GANG_TIMEOUT_SECONDS = 1.5


StepKey = tuple[str, int, int]


@dataclass(slots=True)
class Run:
    """Model one run on a worker.

    :param how: how it ends by itself, or ``still`` if it makes no progress.
    :param assembled_at: when all members of its gang had started; for other runs, when
        it started itself; None while members are missing.
    """

    name: TaskName
    run: int
    step: SubmittedStep
    seconds: float
    how: str
    started_at: float
    assembled_at: float | None
    stopped_at: float = math.inf

    @property
    def room(self) -> Room:
        """Return the room that it uses."""
        return room_of(self.step)

    def percent(self, now: float) -> float:
        """Return its progress in per cent."""
        if self.assembled_at is None:
            return 0.0
        share = (now - self.assembled_at) / max(self.seconds, 0.01)
        if self.how == "still":
            share = min(share, 0.3)
        return min(100.0 if self.step.long_running else 99.0, 100 * share)


@dataclass(slots=True, eq=False)
class ModelWorker:
    """Model one incarnation of a worker.

    :param started_at_ms: its start time as it reports it, or 0 if it reports none.
    :param checks_room: whether it rejects starts for which it has no room.
    :param unreachable: whether calls to it get no response.
    :param ignores_starts: whether starts get no response, and are executed late if at
        all.
    """

    id: str
    started_at_ms: int
    service: str
    zone: str
    labels: tuple[str, ...]
    capacity: Room
    checks_room: bool
    started_at: float
    token: int = 0
    runs: dict[TaskName, Run] = field(default_factory=dict)
    ended: list[EndedTask] = field(default_factory=list)
    ends: int = 0
    closed: dict[TaskName, int] = field(default_factory=dict)
    lease_until: float = 0.0
    unreachable: bool = False
    ignores_starts: bool = False
    draining: bool = False
    cordoned: bool = False
    dies_at: float = math.inf
    _changed: anyio.Event = field(default_factory=anyio.Event)

    def entry(self, now: float) -> WorkerEntry:
        """Return the entry that it writes to the store."""
        return WorkerEntry(
            self.service,
            "127.0.0.1:1",
            self.zone,
            "draining" if self.draining else "ready",
            self.capacity,
            list(self.labels),
            1000 * max(0.0, self.dies_at - now) if self.draining else None,
            self.started_at_ms,
        )

    def clock_ms(self, now: float) -> float:
        """Return its monotonic clock."""
        return 1000 * (now - self.started_at) + 1

    def free(self) -> Room:
        """Return the room that no run uses."""
        rooms = [run.room for run in self.runs.values()]
        return Room(
            self.capacity.cpu - sum(room.cpu for room in rooms),
            self.capacity.mem_mb - sum(room.mem_mb for room in rooms),
            self.capacity.gpu - sum(room.gpu for room in rooms),
        )

    def check_token(self, token: int) -> None:
        """Reject a call with an older fencing token than the newest one."""
        if token < self.token:
            raise FencedError(self.id)
        self.token = token

    def end(self, name: TaskName, how: str) -> None:
        """End a run, and list its end in the next responses."""
        run = self.runs.pop(name)
        self.close(name, run.run)
        self.ends += 1
        saved = "c" if run.step.saves_progress else ""
        self.ended.append(EndedTask(self.ends, name, run.run, how, saved))
        self._changed.set()
        self._changed = anyio.Event()

    def close(self, name: TaskName, run: int) -> None:
        """Reject this and earlier runs of a task from now on."""
        self.closed[name] = max(run, self.closed.get(name, 0))

    def renew(self, deadline_ms: float, now: float) -> None:
        """Extend the lease to a deadline on the worker's own clock."""
        until = now + (deadline_ms - self.clock_ms(now)) / 1000
        self.lease_until = max(self.lease_until, until)

    def stop(self, name: TaskName, run: int, now: float) -> None:
        """Start to stop a run, and reject it from now on."""
        self.close(name, run)
        found = self.runs.get(name)
        if found is not None and found.run == run:
            found.stopped_at = min(found.stopped_at, now + STOP_SECONDS)

    async def async_wait(self, seconds: float) -> None:
        """Wait until a run ends, or a time has passed."""
        if not self.ended and seconds > 0:
            with anyio.move_on_after(seconds):
                await self._changed.wait()

    def answer(self, seen_upto: int, now: float) -> WorkerReport:
        """Return the response to a poll, and drop the ends that the owner has seen."""
        self.ended = [ended for ended in self.ended if ended.number > seen_upto]
        rows = [
            RunningTask(run.name, run.run, "", run.percent(now), 0.0)
            for run in self.runs.values()
        ]
        return WorkerReport(
            self.clock_ms(now), rows, list(self.ended), self.started_at_ms
        )


def room_of(step: SubmittedStep) -> Room:
    """Return the room that one task of a step uses."""
    return Room(0 if step.fills else step.cpu, step.mem_mb, step.gpu)


def fits(free: Room, room: Room, times: int = 1) -> bool:
    """Return whether a multiple of a room is free."""
    return (
        free.cpu >= times * room.cpu
        and free.mem_mb >= times * room.mem_mb
        and free.gpu >= times * room.gpu
    )


class World:
    """Hold all workers, the accepted jobs, and the calls in flight.

    ``faults_enabled`` tells whether calls are lost, and runs fail or make no progress.
    """

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.seed = seed
        self.faults_enabled = True
        self.workers: dict[str, ModelWorker] = {}
        self.jobs: dict[str, LedgerJob] = {}
        self.crashing_tasks: set[TaskName] = set()
        self.crashes: dict[TaskName, int] = {}
        self.tickets: dict[tuple[StepKey, str, float], float] = {}
        self.delayed_calls: list[tuple[float, Callable[[], None]]] = []
        self.failing: set[str] = set()
        self.quotas: dict[str, Room] = {}
        self.waves: dict[int, MaintenanceWave] = {}
        self.wave_records: dict[str, WaveRecord] = {}
        self.begin_upkeep: Callable[[str], None] = lambda machine: None
        self.list_instances: Callable[[], list[Instance]] = self._list_workers

    @property
    def now(self) -> float:
        """Return the virtual time."""
        return asyncio.get_running_loop().time()

    def _list_workers(self) -> list[Instance]:
        """Return one machine for each worker."""
        return [
            Instance(
                f"m-{worker.id}",
                worker.service,
                INSTANCE_UP,
                worker.zone,
                list(worker.labels),
                worker.capacity,
                worker.id,
            )
            for worker in self.workers.values()
        ]

    def all_runs(self) -> Iterator[tuple[ModelWorker, Run]]:
        """Yield every run with its worker."""
        for worker in self.workers.values():
            for run in worker.runs.values():
                yield worker, run

    def advance(self) -> None:
        """Execute the due delayed calls, and end the runs that are due."""
        now = self.now
        due = [call for at, call in self.delayed_calls if at <= now]
        self.delayed_calls = [(at, call) for at, call in self.delayed_calls if at > now]
        for call in due:
            call()
        self._assemble_gangs(now)
        for worker in list(self.workers.values()):
            self._advance_worker(worker, now)

    def crash_victims(self) -> list[ModelWorker]:
        """Return the workers that a crashing task brings down now."""
        if not self.faults_enabled:
            return []
        return [
            worker
            for worker in self.workers.values()
            if any(
                run.name in self.crashing_tasks and self.now - run.started_at > 0.2
                for run in worker.runs.values()
            )
        ]

    def _assemble_gangs(self, now: float) -> None:
        gangs: dict[tuple[StepKey, int], list[Run]] = {}
        for _, run in self.all_runs():
            if run.assembled_at is None:
                gangs.setdefault((step_key(run.name), run.run), []).append(run)
        for members in gangs.values():
            if len(members) == members[0].step.count:
                for member in members:
                    member.assembled_at = now

    def _advance_worker(self, worker: ModelWorker, now: float) -> None:
        for name, run in list(worker.runs.items()):
            if name not in worker.runs:
                continue
            how = self._find_end(worker, run, now)
            if not how:
                continue
            worker.end(name, how)
            if run.step.gang:
                self._end_gang(run, how)

    def _find_end(self, worker: ModelWorker, run: Run, now: float) -> str:
        if now > worker.lease_until:
            return "lapsed"
        if now >= run.stopped_at:
            return "stopped"
        if run.assembled_at is None:
            timed_out = now - run.started_at > GANG_TIMEOUT_SECONDS
            return "alone" if timed_out else ""
        if run.how == "still" or now - run.assembled_at < run.seconds:
            return ""
        if run.step.long_running:
            return "failed" if self.faults_enabled and run.how == "failed" else ""
        return run.how

    def _end_gang(self, run: Run, how: str) -> None:
        other = "done" if how == "done" else "broken"
        for worker, member in list(self.all_runs()):
            same = step_key(member.name) == step_key(run.name)
            if same and member.run == run.run and member.assembled_at is not None:
                worker.end(member.name, other)

    def begin(
        self, worker: ModelWorker, order: StartRequest, token: int, now: float
    ) -> str:
        """Execute a start; return the reason of a rejection, or an empty string."""
        worker.check_token(token)
        name = order.task
        found = worker.runs.get(name)
        if found is not None and found.run == order.run:
            return ""
        if order.run <= worker.closed.get(name, 0):
            worker.renew(order.deadline_ms, now)
            return "old"
        step = self.jobs[name.job].record.steps[name.step]
        if worker.clock_ms(now) > order.deadline_ms:
            return "late"
        if worker.checks_room and not fits(worker.free(), room_of(step)):
            worker.renew(order.deadline_ms, now)
            return "room"
        if self.needs_ticket(name.job) and not self._ticket_valid(worker, name, now):
            return "ticket"
        worker.renew(order.deadline_ms, now)
        worker.runs[name] = self._make_run(name, order.run, step, now)
        return ""

    def _make_run(
        self, name: TaskName, run: int, step: SubmittedStep, now: float
    ) -> Run:
        how = "done"
        if self.faults_enabled:
            draw = self.rng.random()
            failing = name.job in self.failing
            how = "failed" if draw < (0.8 if failing else 0.06) else how
            how = "still" if draw > 0.97 else how
        seconds = step.estimate_ms / 1000 * self.rng.uniform(0.5, 1.6)
        if step.long_running:
            seconds = STARTUP_SECONDS
        assembled_at = None if step.gang else now
        return Run(name, run, step, seconds, how, now, assembled_at)

    def needs_ticket(self, job: str) -> bool:
        """Return whether a job's queue uses advice."""
        return "advice" in self.jobs[job].record.queue

    def _ticket_valid(self, worker: ModelWorker, name: TaskName, now: float) -> bool:
        key = (step_key(name), worker.id, worker.started_at)
        return now <= self.tickets.get(key, 0.0)

    def allows(self, key: StepKey, worker: ModelWorker) -> bool:
        """Return whether the advice service allows a step on a worker."""
        draw = random.Random(f"{self.seed} {key} {worker.id} {worker.started_at}")
        return draw.random() < 0.6

    def delay_call(self, call: Callable[[], None]) -> None:
        """Execute a call some seconds later, unless its token is outdated by then."""

        def execute() -> None:
            try:
                call()
            except FencedError:
                return

        self.delayed_calls.append((self.now + self.rng.uniform(0.4, 3.0), execute))


def step_key(name: TaskName) -> StepKey:
    """Return the key of a task's step."""
    return name.job, name.occurrence, name.step
