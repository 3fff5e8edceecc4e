"""Simulate the platform of a walk: machines, workers, store entries and the list.

The faults of calls and machines are those that the platform's protocol allows;
``Faults`` names the others.
"""

from __future__ import annotations

import asyncio
import contextvars
import random
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field
from typing import Any, TypeVar

import anyio
import msgspec

from mustardward.platform.bodies import HoldBody, StartBody, StopBody
from mustardward.platform.exceptions import CallRefusedError, CallUnknownError
from mustardward.platform.models import Instance, Room
from mustardward.platform.names import REASON_BUSY, REASON_FENCE
from mustardward.platform.store import TOPIC_WORKERS
from mustardward.standin.estate.store import MemoryStore, StoreMode
from mustardward.standin.estate.worker import (
    MAX_LISTED_ENDS,
    MemoryWorker,
    Run,
    Workload,
)

from .twice_process import Process

T = TypeVar("T")
Outcome = tuple[T | None, Exception | None]

PLATFORM = "platform"
FLEET = "fleet"
POOL_A = "pool-a"
POOL_B = "pool-b"
STANDBY = "standby"
ROOM = Room(8000, 8000)
HEARTBEAT_SECONDS = 0.5
LAPSE_SECONDS = 3 * HEARTBEAT_SECONDS
MOVE_SECONDS = 1.5
UPKEEP_SECONDS = 2.0
TICK_SECONDS = 0.02
LATE_SECONDS = (1.0, 12.0)
EXCESSIVE_LEASE_MS = 6000
MAX_QUEUED_SECONDS = 2.0
MAX_RETRANSMISSION_SECONDS = 0.5
CALM_FAULT_RATE = 0.02
STARTED_AT_MS = 1_700_000_000_000
ENDED_DONE = "done"

LAYOUT = (
    ("z1", POOL_A),
    ("z1", POOL_A),
    ("z2", POOL_A),
    ("z2", POOL_A),
    ("z1", POOL_B),
    ("z2", POOL_B),
    ("z1", STANDBY),
    ("z2", STANDBY),
)
"""Data centre and pool of each machine."""

ORDER_OUTCOMES = ("lost", "answer-lost", "late", "slow", "refused")


@dataclass(frozen=True)
class Faults:
    """Name the faults that the protocol does not allow; all are off by default.

    :param list_lags: whether the list shows a state up to 3 s old.
    :param list_lacks_live: whether the list lacks workers cut off from the platform.
    :param list_shows_down: whether the list shows such workers as ``down``.
    :param same_id: whether a crashed worker returns under its id with another start
        time.
    :param late_fleet_orders: whether moves and upkeeps are carried out seconds later.
    """

    list_lags: bool = False
    list_lacks_live: bool = False
    list_shows_down: bool = False
    same_id: bool = False
    late_fleet_orders: bool = False


@dataclass(eq=False)
class DoneEnd:
    """Track an end ``done`` until it is noted or the worker's lease lapses."""

    task: str
    number: int
    run: int
    noted: bool = False
    later_starts: list[str] = field(default_factory=list)


class WatchedWorker(MemoryWorker):
    """Report the ends of runs to the world."""

    world: World

    def _end(self, run: Run, outcome: str) -> None:
        super()._end(run, outcome)
        self.world.record_end(self, run, outcome, self._last_end_number)


@dataclass(eq=False)
class Machine:
    """Hold one machine, and the worker that is its current life.

    :param clock_rate: speed of its steady clock.
    :param error_rate: share of the calls to it that fail in some way.
    :param outcomes: in which ways they fail.
    :param cut_since: since when it does not reach the platform, or None.
    :param hidden_until: until when the list may omit it, if that fault is on.
    :param broken_until: until when all calls to it have ``broken_outcome``.
    """

    name: str
    zone: str
    pool: str
    address: str
    clock_rate: float
    state: str = "up"
    available_at: float = 0.0
    lives: int = 0
    worker: WatchedWorker | None = None
    clock_zero: float = 0.0
    token: int = 0
    maintained: set[int] = field(default_factory=set)
    drains_until: float = 0.0
    error_rate: float = CALM_FAULT_RATE
    outcomes: tuple[str, ...] = ORDER_OUTCOMES
    cut_since: float | None = None
    hidden_until: float = 0.0
    broken_until: float = 0.0
    broken_outcome: str = ""

    def clock_ms(self, now: float) -> float:
        """Return the worker's steady clock, which restarts with its life."""
        return 1000 * (now - self.clock_zero) * self.clock_rate + 10.0


class World:
    """Hold the machines, the store and the faults, and judge each start.

    :param keeps_bytes: whether a request that is sent into a cut is delivered when the
        cut ends, unless a process at either end of the connection has ended.
    :param late_calls_survive: whether a call that is executed late is also executed by
        a later life of the worker that has the same id.
    """

    def __init__(
        self,
        seed: int,
        faults: Faults,
        layout: Sequence[tuple[str, str]] = LAYOUT,
    ) -> None:
        self.rng = random.Random(seed)
        self.faults = faults
        self.store = MemoryStore()
        self.workloads: dict[str, Workload] = {}
        self.context = contextvars.copy_context()
        self.violations: list[str] = []
        self.trace: list[tuple[float, str]] = []
        self.counts: dict[str, int] = {}
        self.disturbed = True
        self.writes_birth_times = self.rng.random() < 0.8
        self.cuts_reach_fleet = True
        self.cloud_outcomes: tuple[str, ...] = ("ok",)
        self.store_outcomes: dict[str, tuple[str, ...]] = {}
        self.query_outcomes: tuple[str, ...] = ("ok",)
        self.append_seconds = 0.0
        self.response_seconds = 0.0
        self.entries: dict[str, Any] = {}
        self.entries_lapse_in_outage = False
        self.max_listed_ends = MAX_LISTED_ENDS
        self.keeps_bytes = False
        self.late_calls_survive = True
        self._partition_free_at = 0.0
        self._cuts: dict[tuple[str, str], float] = {}
        self._done_ends: dict[str, list[DoneEnd]] = {}
        self._open_ends: dict[WatchedWorker, list[DoneEnd]] = {}
        self._lapses: dict[str, float] = {}
        self._entries: dict[str, bytes] = {}
        self._listings: list[tuple[float, list[Instance]]] = []
        self._background: set[asyncio.Task[None]] = set()
        self.machines: dict[str, Machine] = {}
        for number, (zone, pool) in enumerate(layout):
            rate = self.rng.choice([1.0, 1.0, 0.98, self.rng.uniform(0.98, 1.0)])
            name = f"m{number}"
            address = f"10.0.0.{number + 1}:80"
            self.machines[name] = Machine(name, zone, pool, address, rate)

    @property
    def now(self) -> float:
        """Return the virtual time."""
        return asyncio.get_running_loop().time()

    def note(self, text: str) -> None:
        """Add a line to the trace."""
        self.trace.append((self.now, text))

    def count(self, name: str) -> None:
        """Count an event."""
        self.counts[name] = self.counts.get(name, 0) + 1

    # Machines and workers.

    def live(self) -> list[Machine]:
        """Return the machines whose worker is alive."""
        return [m for m in self.machines.values() if m.worker is not None]

    def boot(self, machine: Machine, worker_id: str = "") -> None:
        """Start a new life of a machine."""
        if machine.pool == STANDBY:
            machine.worker = None
            return
        machine.lives += 1
        machine.clock_zero = self.now
        machine.drains_until = 0.0
        machine.cut_since = None
        started_at_ms = STARTED_AT_MS + int(self.now * 1000)
        worker = WatchedWorker(
            worker_id or f"{machine.name}-{machine.lives}",
            machine.name,
            machine.pool,
            ROOM,
            self.workloads,
            started_at_ms=started_at_ms if self.writes_birth_times else 0,
            max_listed_ends=self.max_listed_ends,
        )
        worker.world = self
        machine.worker = worker
        self._lapses.pop(worker.id, None)
        self.note(f"boot {worker.id} {machine.pool} {machine.zone}")

    def take_down(self, machine: Machine, state: str, seconds: float) -> None:
        """End the life of a machine's worker with all its runs."""
        worker = machine.worker
        machine.state = state
        machine.available_at = self.now + seconds
        if worker is not None:
            self._advance_worker(machine)
            self.note(f"{state} {worker.id} runs={sorted(worker.runs)}")
            self._lapses[worker.id] = self.now + self.rng.uniform(0.5, LAPSE_SECONDS)
            machine.worker = None

    def cut(self, one: str, other: str, seconds: float) -> None:
        """Cut the link between two nodes, machines or the platform."""
        self.cut_one_way(one, other, seconds)
        self.cut_one_way(other, one, seconds)

    def cut_one_way(self, sender: str, receiver: str, seconds: float) -> None:
        """Lose all that one place sends to another."""
        pair = (sender, receiver)
        self._cuts[pair] = max(self.now + seconds, self._cuts.get(pair, 0.0))

    def cut_from_platform(self, name: str, seconds: float) -> None:
        """Cut an entry off from the store, and from the fleet service as well."""
        self.cut(name, PLATFORM, seconds)
        if self.cuts_reach_fleet:
            self.cut(name, FLEET, seconds)

    def reaches(self, one: str, other: str) -> bool:
        """Return whether what one place sends arrives at another."""
        return self.now >= self._cuts.get((one, other), 0.0)

    def _can_connect(self, one: str, other: str) -> bool:
        return self.reaches(one, other) and self.reaches(other, one)

    def _life(self, place: str) -> WatchedWorker | None:
        """Return the process that has the connections to a machine."""
        machine = self.machines.get(place)
        return machine.worker if machine is not None else None

    def later(self, seconds: float, call: Callable[[], None]) -> None:
        """Call something after a time."""
        asyncio.get_running_loop().call_later(seconds, call)

    def restore_store(self) -> None:
        """Let the store serve again."""
        self.store.mode = StoreMode.SERVING

    def speed_up_store(self) -> None:
        """Let the store be as fast as usual."""
        self.append_seconds = self.response_seconds = 0.0

    async def async_execute_append(self) -> None:
        """Wait until the store's partition has executed an append.

        :raises CallRefusedError: if too much work is queued for the partition.
        """
        queued_seconds = max(0.0, self._partition_free_at - self.now)
        if queued_seconds > MAX_QUEUED_SECONDS:
            raise CallRefusedError("status=503")
        self._partition_free_at = self.now + queued_seconds + self.append_seconds
        await anyio.sleep(queued_seconds + self.append_seconds)

    def restore_queries(self) -> None:
        """Let queries between entries be answered again."""
        self.query_outcomes = ("ok",)

    def restore_store_calls(self, node: str) -> None:
        """Let an entry's calls to the store succeed again."""
        self.store_outcomes.pop(node, None)

    def restore_fleet(self) -> None:
        """Let calls to the fleet service succeed again."""
        self.cloud_outcomes = ("ok",)

    def heal(self) -> None:
        """End all faults."""
        self.disturbed = False
        self._cuts.clear()
        self.store.mode = StoreMode.SERVING
        self.store_outcomes.clear()
        self.restore_queries()
        self.speed_up_store()
        self.cloud_outcomes = ("ok",)
        for machine in self.machines.values():
            machine.error_rate = 0.0
            machine.broken_until = 0.0
            machine.hidden_until = 0.0

    async def async_tick(self) -> None:
        """Advance the workers, machines and entries for ever."""
        while True:
            for machine in self.machines.values():
                self._advance_machine(machine)
            self._write_entries()
            if self.faults.list_lags:
                self._listings.append((self.now, self._rows()))
                del self._listings[:-150]
            await anyio.sleep(TICK_SECONDS)

    def _advance_machine(self, machine: Machine) -> None:
        now = self.now
        if machine.worker is None:
            if machine.state != "up" and now >= machine.available_at:
                machine.state = "up"
                self.boot(machine)
            return
        self._advance_worker(machine)
        if machine.drains_until and now >= machine.drains_until:
            self.take_down(machine, "down", 1.0)

    def _advance_worker(self, machine: Machine) -> None:
        worker = machine.worker
        if worker is None:
            return
        clock_ms = machine.clock_ms(self.now)
        worker.advance(clock_ms)
        if clock_ms > worker._lease_end_ms:
            self._open_ends.pop(worker, None)

    # Entries in the store and the list of instances.

    def _write_entries(self) -> None:
        now = self.now
        down = self.store.mode is not StoreMode.SERVING
        if not down:
            for machine in self.live():
                self._write_entry(machine)
        for worker_id, at in list(self._lapses.items()):
            if now >= at and (not down or self.entries_lapse_in_outage):
                del self._lapses[worker_id]
                self._remove_entry(worker_id)

    def _write_entry(self, machine: Machine) -> None:
        worker = machine.worker
        assert worker is not None
        if not self.reaches(machine.name, PLATFORM):
            if machine.cut_since is None:
                machine.cut_since = self.now
            if self.now - machine.cut_since > LAPSE_SECONDS:
                self._remove_entry(worker.id)
            return
        machine.cut_since = None
        draining = machine.drains_until > 0
        body: dict[str, object] = {
            "service": machine.pool,
            "address": machine.address,
            "zone": machine.zone,
            "state": "draining" if draining else "ready",
            "capacity": ROOM,
            "labels": ["a", f"r{machine.name}"],
            "born": worker.started_at_ms,
        }
        if draining:
            body["remaining-ms"] = 1000 * max(0.0, machine.drains_until - self.now)
        value = msgspec.json.encode(body)
        known = self._entries.get(worker.id)
        if known is None or (known != value and not draining):
            self._put_entry(worker.id, value)
        elif draining and b"draining" not in known:
            self._put_entry(worker.id, value)

    def _put_entry(self, worker_id: str, value: bytes) -> None:
        self._entries[worker_id] = value
        self.store.append(TOPIC_WORKERS, [(worker_id, value)])

    def _remove_entry(self, worker_id: str) -> None:
        if self._entries.pop(worker_id, None) is not None:
            self.note(f"entry of {worker_id} lapses")
            self.store.append(TOPIC_WORKERS, [(worker_id, b"")])

    def lapse_entries(self) -> None:
        """Let all entries lapse, as at times while the store is down."""
        for worker_id in list(self._entries):
            self._remove_entry(worker_id)

    def _rows(self) -> list[Instance]:
        rows = []
        for machine in self.machines.values():
            worker_id = machine.worker.id if machine.worker is not None else None
            state = machine.state
            if worker_id is not None and self.now < machine.hidden_until:
                if self.faults.list_lacks_live:
                    continue
                if self.faults.list_shows_down:
                    state, worker_id = "down", None
            rows.append(
                Instance(
                    machine=machine.name,
                    pool=machine.pool,
                    state=state,
                    zone=machine.zone,
                    labels=["a", f"r{machine.name}"],
                    capacity=ROOM,
                    id=worker_id,
                )
            )
        return rows

    def list_rows(self) -> list[Instance]:
        """Return the rows of the list, which may lag if that fault is on."""
        if self.faults.list_lags and self.disturbed and self._listings:
            return self.rng.choice(self._listings)[1]
        return self._rows()

    def move(self, name: str, pool: str, token: int) -> str:
        """Move a machine; return the reason of a refusal or an empty string."""
        machine = self.machines[name]
        if token < machine.token:
            return REASON_FENCE
        if machine.pool == pool:
            self.note(f"move of {name} to {pool} is already done")
            self.count("already-moved")
            return ""
        if machine.state != "up":
            return REASON_BUSY
        machine.token = token
        self.take_down(machine, "moving", MOVE_SECONDS)
        machine.pool = pool
        self.count("moved")
        return ""

    def maintain(self, name: str, wave: int, token: int) -> str:
        """Maintain a machine; return the reason of a refusal or an empty string."""
        machine = self.machines[name]
        if token < machine.token:
            return REASON_FENCE
        if wave in machine.maintained:
            self.note(f"upkeep of {name} in wave {wave} is already done")
            self.count("already-maintained")
            return ""
        if machine.state != "up":
            return REASON_BUSY
        machine.token = token
        machine.maintained.add(wave)
        self.take_down(machine, "upkeep", UPKEEP_SECONDS)
        self.count("maintained")
        return ""

    # Calls.

    async def async_exchange(
        self,
        process: Process,
        other: str,
        outcome: str,
        execute: Callable[[], Awaitable[T]],
        timeout_seconds: float,
    ) -> T:
        """Send a call of a process; execute it in the world, whatever becomes of it."""
        await process.async_pass_send()
        if outcome == "refused":
            await anyio.sleep(0.004)
            raise CallRefusedError("status=503")
        if not self._can_connect(process.name, other) and self.rng.random() < 0.4:
            await anyio.sleep(min(0.6, timeout_seconds))
            raise CallRefusedError("no connection")
        loop = asyncio.get_running_loop()
        answer: asyncio.Future[Outcome[T]] = loop.create_future()
        task = loop.create_task(
            self._async_carry_out(process, other, outcome, execute, answer),
            context=self.context.copy(),
        )
        self._background.add(task)
        task.add_done_callback(self._background.discard)
        try:
            with anyio.fail_after(timeout_seconds):
                result, error = await answer
        except TimeoutError as late:
            raise CallUnknownError("no answer") from late
        if error is not None:
            raise error
        return result  # type: ignore[return-value]

    async def _async_carry_out(
        self,
        process: Process,
        other: str,
        outcome: str,
        execute: Callable[[], Awaitable[T]],
        answer: asyncio.Future[Outcome[T]],
    ) -> None:
        life = self._life(other)
        await anyio.sleep(self.rng.uniform(0.001, 0.004))
        if outcome == "late":
            await anyio.sleep(self.rng.uniform(*LATE_SECONDS))
            if self._life(other) is not life:
                if not self.late_calls_survive:
                    return
                self.note(f"late call of {process.name} meets next life of {other}")
                self.count("next-life")
        if outcome == "lost" or not await self._async_deliver(process, other, life):
            return
        result: Outcome[T]
        try:
            result = (await execute(), None)
        except Exception as error:
            result = (None, error)
        slow = outcome == "slow"
        await anyio.sleep(self.rng.uniform(0.05, 0.8) if slow else 0.003)
        silent = outcome in ("late", "answer-lost")
        if not silent and self.reaches(other, process.name) and not answer.done():
            answer.set_result(result)

    async def _async_deliver(
        self, process: Process, other: str, life: WatchedWorker | None
    ) -> bool:
        """Return whether a request arrives, after the end of a cut if bytes are kept.

        :param life: the worker's life that the connection leads to.
        """
        if self.reaches(process.name, other):
            return True
        if not self.keeps_bytes:
            return False
        cut_seconds = self._cuts[process.name, other] - self.now
        delay = self.rng.uniform(0.0, MAX_RETRANSMISSION_SECONDS)
        await anyio.sleep(cut_seconds + delay)
        if process.killed or self._life(other) is not life:
            return False
        if not self.reaches(process.name, other):
            return False
        self.note(f"what {process.name} sent to {other} arrives after the cut")
        self.count("kept")
        return True

    def order_outcome(self, machine: Machine) -> str:
        """Draw what becomes of a call to a worker."""
        if self.now < machine.broken_until:
            return machine.broken_outcome
        if not self.disturbed or self.rng.random() >= machine.error_rate:
            return "ok"
        return self.rng.choice(machine.outcomes)

    def start(self, machine: Machine, order: StartBody) -> tuple[str, float]:
        """Execute a start on a worker, and judge it."""
        worker = machine.worker
        assert worker is not None
        for other in self.live():
            self._advance_worker(other)
        before = worker.runs.get(order.task)
        clock_ms = machine.clock_ms(self.now)
        was_running = before is not None and before.number == order.run
        reason = worker.start(order, clock_ms)
        self.note(
            f"start {order.task} run={_run(order.run)} on {worker.id} "
            f"fence={order.fence} until={order.deadline_ms - clock_ms:.0f}ms "
            f"{reason or ('again' if was_running else 'ok')}"
        )
        if not reason and not was_running:
            self.count("started")
            if order.deadline_ms - clock_ms > EXCESSIVE_LEASE_MS:
                self.count("excessive-start")
            self._judge_start(worker, order, before)
        return reason, clock_ms

    def stop(self, machine: Machine, order: StopBody) -> tuple[str, float]:
        """Execute a stop on a worker."""
        worker = machine.worker
        assert worker is not None
        clock_ms = machine.clock_ms(self.now)
        reason = worker.stop(order.task, order.run, order.fence, clock_ms)
        self.note(f"stop {order.task} run={_run(order.run)} on {worker.id} {reason}")
        return reason, clock_ms

    async def async_hold(self, machine: Machine, call: HoldBody) -> Any:
        """Execute a poll on a worker, which waits for an end."""
        worker = machine.worker
        assert worker is not None
        self._advance_worker(machine)
        clock_ms = machine.clock_ms(self.now)
        if call.fence >= worker._highest_token:
            self._note_ends(worker, call.seen_upto)
        renewed = worker._lease_end_ms
        report = worker.poll(
            call.fence, call.seen_upto, call.deadline_ms, machine.clock_ms(self.now)
        )
        lease_ms = worker._lease_end_ms - clock_ms
        has_excessive_lease = lease_ms > EXCESSIVE_LEASE_MS
        if worker._lease_end_ms > renewed and (worker.runs or has_excessive_lease):
            self.note(f"renew {worker.id} fence={call.fence} for {lease_ms:.0f}ms")
            if has_excessive_lease:
                self.count("excessive-renewal")
        until = self.now + call.wait_ms / 1000
        while report is not None and self.now < until:
            if machine.worker is not worker:
                raise CallUnknownError("connection closed")
            if worker.has_unacknowledged_ends(call.seen_upto):
                break
            await anyio.sleep(TICK_SECONDS)
        if machine.worker is not worker:
            raise CallUnknownError("connection closed")
        return worker.poll(call.fence, 0, None, machine.clock_ms(self.now))

    # Judging.

    def record_end(
        self, worker: WatchedWorker, run: Run, outcome: str, number: int
    ) -> None:
        """Record the end of a run."""
        self.note(f"end {run.task} run={_run(run.number)} on {worker.id} {outcome}")
        self.count(outcome)
        if outcome == ENDED_DONE:
            end = DoneEnd(run.task, number, run.number)
            self._done_ends.setdefault(run.task, []).append(end)
            self._open_ends.setdefault(worker, []).append(end)

    def _note_ends(self, worker: WatchedWorker, seen_upto: int) -> None:
        ends = self._open_ends.get(worker, [])
        for end in [end for end in ends if end.number <= seen_upto]:
            ends.remove(end)
            end.noted = True
            self.note(f"noted {end.task} run={_run(end.run)} on {worker.id} done")
            for start in end.later_starts:
                self._report(f"{start}, and its earlier end is noted")

    def _judge_start(
        self, worker: WatchedWorker, order: StartBody, before: Run | None
    ) -> None:
        name = f"{order.task} run={_run(order.run)} on {worker.id}"
        if before is not None:
            self._report(f"{name} while run={_run(before.number)} is there")
        for machine in self.live():
            other = machine.worker
            assert other is not None
            found = other.runs.get(order.task)
            if other is not worker and found is not None:
                self._report(f"{name} while run={_run(found.number)} is on {other.id}")
        for end in self._done_ends.get(order.task, ()):
            if end.noted:
                self._report(f"{name} after run={_run(end.run)} was noted as done")
            end.later_starts.append(name)

    def _report(self, text: str) -> None:
        self.note(f"TWICE {text}")
        self.violations.append(f"{self.now:.3f} {text}")


def _run(number: int) -> str:
    return f"{number >> 20}:{number & 0xFFFFF}"
