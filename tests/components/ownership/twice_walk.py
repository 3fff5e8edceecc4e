"""Walk through faults of successive owners and of workers; find tasks that run twice.

Real entries compete for the shard in virtual time: each owner is a real scheduler,
dispatcher, takeover, progress writer and fleet under its own token. After each start
that a worker executes, no other live worker may run the same task, nor may an end
``done`` of it have been acknowledged, unless the worker's lease ended in between.

The faults, all of which the platform's protocol allows:

- calls to workers are lost, refused, answered late, executed without an answer, or
  executed 1 to 12 s later, after newer ones;
- workers' clocks are up to 2 % slow, and leases end by themselves;
- workers crash and start again at the same address under a new id, also in another
  pool, or drain and leave;
- entries expire while their workers are alive, and workers and entries are cut off from
  the platform or from each other;
- the store refuses calls, is cut off, loses answers, appends late or is slow, while
  appends queue in its partition;
- entries are cut off from each other, and queries to an owner are lost or late;
- fleet calls are refused, slow or unanswered, and repeated orders are accepted without
  being carried out; pages of a list are read at different moments;
- owners are killed, stopped, frozen and suspended.

`Faults` holds what the protocol does not allow.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Sequence
from itertools import combinations
from typing import ClassVar
from unittest.mock import patch

import anyio
import msgspec
import pytest

from mustardward.components.ledger.const import (
    PREFIX_CANCEL,
    PREFIX_JOB,
    PREFIX_NODE,
    TOPIC,
)
from mustardward.components.ledger.ledger import encode
from mustardward.components.ledger.models import CancelRecord, NodeRecord
from mustardward.platform import workers
from mustardward.platform.models import Room
from mustardward.platform.store import KEY_CONFIG, KEY_WAVE_PREFIX, TOPIC_OPERATOR
from mustardward.standin.estate.store import StoreMode
from mustardward.standin.estate.worker import MAX_LISTED_ENDS, Workload

from ..scheduling.builders import a_job, a_step
from .twice_entries import Entry
from .twice_process import PROCESS, ProcessLoop
from .twice_world import (
    CALM_FAULT_RATE,
    HEARTBEAT_SECONDS,
    LAYOUT,
    ORDER_OUTCOMES,
    PLATFORM,
    POOL_A,
    POOL_B,
    STANDBY,
    Faults,
    Machine,
    World,
)

NODES = (("node-1", "z1"), ("node-2", "z2"), ("node-3", "z1"))
EVENT_COUNT = 34
MEAN_EVENT_INTERVAL_SECONDS = 0.7
SETTLE_SECONDS = 10.0
SUBMIT_WEIGHT = 14
MAX_JOBS = 26
STORE_FAULT_SECONDS = (0.5, 2.0, 4.0, 8.0)
MAX_LONG_RUNNING = 4
ALLOWED = Faults()
"""Only faults that the protocol allows."""


class TwiceWalk:
    """Run one walk.

    :param counts: how often each event and outcome occurred.
    """

    nodes: ClassVar[tuple[tuple[str, str], ...]] = NODES
    settle_seconds: ClassVar[float] = SETTLE_SECONDS

    def __init__(
        self,
        seed: int,
        faults: Faults = ALLOWED,
        layout: Sequence[tuple[str, str]] = LAYOUT,
    ) -> None:
        self.world = World(seed, faults, layout)
        self._rng = self.world.rng
        self._entries: dict[str, Entry] = {}
        self._past: list[Entry] = []
        self._jobs: list[str] = []
        self._long_running = 0
        self._waves = 0
        self.epochs: set[int] = set()

    def walk(self) -> list[str]:
        """Return the violations that were found, at most those of one moment."""
        with asyncio.Runner(loop_factory=ProcessLoop) as runner:
            return runner.run(self._async_walk())

    async def _async_walk(self) -> list[str]:
        world = self.world
        ticker = asyncio.create_task(world.async_tick())
        self._configure()
        for machine in world.machines.values():
            world.boot(machine)
        for number in range(len(self.nodes)):
            self._start_entry(number)
        await self._async_disturb()
        if not world.violations:
            world.heal()
            await self._async_advance(self.settle_seconds)
        ticker.cancel()
        for entry in (*self._past, *self._entries.values()):
            await entry.async_end()
        return world.violations

    def _begin_calm(self) -> asyncio.Task[None]:
        """Start machines and entries without any fault; return the world's ticker."""
        world = self.world
        world.disturbed = False
        ticker = asyncio.create_task(world.async_tick())
        self._configure()
        for machine in world.machines.values():
            machine.error_rate = 0.0
            world.boot(machine)
        for number in range(len(self.nodes)):
            self._start_entry(number)
        return ticker

    async def _async_disturb(self) -> None:
        """Let the events of the walk happen, until a violation is found."""
        await self._async_advance(1.5)
        for _ in range(3):
            self._submit()
        events = self._events()
        for _ in range(EVENT_COUNT):
            if self.world.violations:
                break
            self._rng.choice(events)()
            interval = self._rng.uniform(0, 2 * MEAN_EVENT_INTERVAL_SECONDS)
            await self._async_advance(interval)

    def _events(self) -> list[Callable[[], None]]:
        weighted: list[tuple[Callable[[], None], int]] = [
            (self._cancel, 2),
            (self._cut_owner_from_store, 5),
            (self._freeze_owner, 4),
            (self._freeze_owner_at_send, 5),
            (self._kill_owner, 3),
            (self._resign_owner, 2),
            (self._release_owner, 2),
            (self._restart_entry, 3),
            (self._cut_zone, 3),
            (self._cut_worker_from_platform, 4),
            (self._cut_worker_from_entries, 6),
            (self._cut_worker_from_all, 3),
            (self._isolate_owner_with_workers, 4),
            (self._disturb_worker, 6),
            (self._break_all_calls, 6),
            (self._crash_worker, 5),
            (self._drain_worker, 2),
            (self._publish_wave, 3),
            (self._disturb_fleet, 3),
            (self._disturb_store, 3),
            (self._stop_store, 2),
            (self._slow_store, 3),
            (self._disturb_queries, 3),
            (self._cut_entries, 2),
        ]
        # Each walk prefers some kinds of events and lacks others, so that also those
        # sequences occur that a mixture of all kinds would interrupt.
        events = [self._submit] * SUBMIT_WEIGHT
        for event, weight in weighted:
            events += [event] * (weight * self._rng.choice((0, 1, 1, 4)))
        return events

    async def _async_advance(self, seconds: float) -> None:
        until = self.world.now + seconds
        while self.world.now < until and not self.world.violations:
            await anyio.sleep(0.05)
            for entry in self._entries.values():
                failure = entry.failure()
                if failure is not None:
                    raise AssertionError(f"{entry.node} ended") from failure
                if entry.ownership.owner is not None:
                    epoch = entry.ownership.owner.epoch
                    if epoch not in self.epochs:
                        self.world.note(f"{entry.node} owns epoch {epoch}")
                    self.epochs.add(epoch)

    # What callers and the operator do.

    def _configure(self) -> None:
        pools = sorted({machine.pool for machine in self.world.machines.values()})
        body = {
            "version": 1,
            "routes": [
                {
                    "name": prefix,
                    "host": "host",
                    "path-prefix": f"/{prefix}/",
                    "service": pool,
                    "max-attempts": 50,
                    "target-duration-ms": 600,
                    "stretch": 1.6,
                }
                for prefix, pool in (("a", POOL_A), ("b", POOL_B))
                if pool in pools
            ],
            "services": [{"name": pool, "standby": pool == STANDBY} for pool in pools],
            "limits": {},
        }
        nodes = [
            (PREFIX_NODE + node, encode(NodeRecord("", zone)))
            for node, zone in self.nodes
        ]
        self.world.store.append(TOPIC, nodes)
        record = (KEY_CONFIG, msgspec.json.encode(body))
        self.world.store.append(TOPIC_OPERATOR, [record])

    def _submit(self) -> None:
        if len(self._jobs) >= MAX_JOBS:
            return
        rng = self._rng
        name = f"{len(self._jobs) + 1:016x}"
        self._jobs.append(name)
        lasts = rng.random() < 0.4 and self._long_running < MAX_LONG_RUNNING
        self._long_running += lasts
        seconds = rng.choice([0.05, 0.3, 1.0, 3.0, 6.0])
        room = Room(rng.choice([500, 1000, 2000, 4000]), 100)
        step = a_step(
            count=rng.randint(1, 6),
            cpu=room.cpu,
            mem_mb=room.mem_mb,
            estimate_ms=1000 * seconds,
            long_running=lasts,
        )
        prefix, pool = rng.choice([("a", POOL_A), ("a", POOL_A), ("b", POOL_B)])
        self.world.workloads[f"{name}.0"] = Workload(room, seconds, lasts)
        record = a_job(
            step,
            job=name,
            queue=f"host /{prefix}/",
            service=pool,
            accepted_at=self.world.now,
        ).record
        self.world.store.append(TOPIC, [(PREFIX_JOB + name, encode(record))])
        self.world.note(f"submit {name} count={step.count} lasts={lasts} {pool}")

    def _cancel(self) -> None:
        if self._jobs:
            name = self._rng.choice(self._jobs)
            stamp = encode(CancelRecord(self.world.now))
            self.world.store.append(TOPIC, [(PREFIX_CANCEL + name, stamp)])
            self.world.note(f"cancel {name}")

    def _publish_wave(self) -> None:
        self._waves += 1
        machines = self._rng.sample(sorted(self.world.machines), 3)
        body = {
            "wave": self._waves,
            "machines": machines,
            "duration-s": self._rng.choice([3, 10, 20]),
            "max-count": 2,
        }
        key = f"{KEY_WAVE_PREFIX}{self._waves}"
        self.world.store.append(TOPIC_OPERATOR, [(key, msgspec.json.encode(body))])
        self.world.note(f"wave {self._waves} {machines}")

    # What becomes of entries.

    def _start_entry(self, number: int) -> None:
        node, zone = self.nodes[number]
        entry = Entry(self.world, node, zone, number / len(self.nodes))
        self._entries[node] = self.world.entries[node] = entry
        entry.run()

    def _owner(self) -> Entry:
        """Return an owner, or any entry if there is none."""
        owners = [entry for entry in self._entries.values() if entry.is_owner]
        return self._rng.choice(owners or list(self._entries.values()))

    def _cut_owner_from_store(self) -> None:
        entry = self._owner()
        seconds = self._rng.choice([1.0, 3.0, 6.0, 12.0])
        self.world.note(f"{entry.node} is cut off from the store for {seconds} s")
        self.world.cut_from_platform(entry.node, seconds)

    def _freeze_owner(self) -> None:
        entry = self._owner()
        seconds = self._rng.choice([0.5, 1.5, 3.0, 5.0, 9.0])
        suspended = self._rng.random() < 0.4
        self.world.note(f"{entry.node} freezes for {seconds} s suspended={suspended}")
        entry.process.freeze(seconds, suspended)

    def _freeze_owner_at_send(self) -> None:
        entry = self._owner()
        seconds = self._rng.choice([0.5, 1.5, 3.0, 5.0, 9.0])
        suspended = self._rng.random() < 0.4
        self.world.note(
            f"{entry.node} freezes at its next call for {seconds} s "
            f"suspended={suspended}"
        )
        entry.process.freeze_at_send = (seconds, suspended)

    def _kill_owner(self) -> None:
        entry = self._owner()
        self.world.note(f"{entry.node} is killed")
        entry.process.kill()

    def _resign_owner(self) -> None:
        entry = self._owner()
        self.world.note(f"{entry.node} resigns")
        entry.spawn(entry.ownership.async_resign())

    def _release_owner(self) -> None:
        entry = self._owner()
        if entry.ownership.owner is not None:
            self.world.note(f"{entry.node} releases")
            entry.spawn(entry.ownership.owner.async_release())

    def _restart_entry(self) -> None:
        """Restart entries that were killed or have resigned."""
        for number, (node, _) in enumerate(self.nodes):
            entry = self._entries[node]
            if entry.process.killed or entry.ownership._resigning:
                self.world.note(f"{node} restarts")
                entry.process.kill()
                self._past.append(entry)
                self._start_entry(number)

    # What becomes of workers and links.

    def _machine(self) -> Machine:
        return self._rng.choice(self.world.live() or list(self.world.machines.values()))

    def _cut_zone(self) -> None:
        """Cut a zone off from the platform, and most times from the other zone."""
        world = self.world
        zone = self._rng.choice(["z1", "z2"])
        seconds = self._rng.choice([2.0, 5.0, 9.0, 15.0])
        apart = self._rng.random() < 0.7
        world.note(f"{zone} is cut off for {seconds} s apart={apart}")
        for node, node_zone in self.nodes:
            if node_zone == zone:
                world.cut_from_platform(node, seconds)
        for machine in world.machines.values():
            if machine.zone == zone:
                world.cut(machine.name, PLATFORM, seconds)
                machine.hidden_until = world.now + seconds + HEARTBEAT_SECONDS
            for node, node_zone in self.nodes:
                if apart and (machine.zone == zone) != (node_zone == zone):
                    world.cut(node, machine.name, seconds)
        if apart:
            for (node, one), (other, another) in combinations(self.nodes, 2):
                if one != another:
                    world.cut(node, other, seconds)

    def _cut_worker_from_platform(self) -> None:
        count = min(self._rng.randint(1, 2), len(self.world.live()))
        for machine in self._rng.sample(self.world.live(), k=count):
            seconds = self._rng.choice([1.0, 3.0, 6.0, 14.0])
            self.world.note(f"{machine.name} is cut off from the store, {seconds} s")
            self.world.cut(machine.name, PLATFORM, seconds)
            machine.hidden_until = self.world.now + seconds + HEARTBEAT_SECONDS

    def _cut_worker_from_entries(self) -> None:
        """Cut a worker off from one entry, or from all."""
        machine = self._machine()
        seconds = self._rng.choice([0.5, 2.0, 5.0, 10.0])
        nodes = [node for node, _ in self.nodes]
        if self._rng.random() < 0.5:
            nodes = [self._owner().node]
        self.world.note(f"{machine.name} is cut off from {nodes} for {seconds} s")
        for node in nodes:
            self.world.cut(node, machine.name, seconds)

    def _cut_worker_from_all(self) -> None:
        machine = self._machine()
        seconds = self._rng.choice([2.0, 5.0, 10.0])
        self.world.note(f"{machine.name} is cut off from all for {seconds} s")
        for place in (PLATFORM, *(node for node, _ in self.nodes)):
            self.world.cut(place, machine.name, seconds)
        machine.hidden_until = self.world.now + seconds + HEARTBEAT_SECONDS

    def _disturb_worker(self) -> None:
        machine = self._machine()
        machine.error_rate = self._rng.choice([CALM_FAULT_RATE, 0.2, 0.5, 0.9])
        count = self._rng.randint(1, len(ORDER_OUTCOMES))
        machine.outcomes = tuple(self._rng.sample(ORDER_OUTCOMES, count))
        self.world.note(
            f"calls to {machine.name}: {machine.error_rate} {machine.outcomes}"
        )

    def _break_all_calls(self) -> None:
        """Let all calls to a worker fail in one way for a while."""
        machine = self._machine()
        seconds = self._rng.choice([1.0, 3.0, 6.0, 9.0])
        outcome = self._rng.choice(("answer-lost", "answer-lost", "late", "slow"))
        machine.broken_until = self.world.now + seconds
        machine.broken_outcome = outcome
        self.world.note(f"all calls to {machine.name} for {seconds} s: {outcome}")

    def _isolate_owner_with_workers(self) -> None:
        """Cut the owner and some workers off from the platform and all others."""
        world = self.world
        owner = self._owner().node
        seconds = self._rng.choice([4.0, 9.0, 15.0])
        machines = self._rng.sample(world.live(), k=min(2, len(world.live())))
        names = [machine.name for machine in machines]
        world.note(f"{owner} and {names} are cut off from all others, {seconds} s")
        world.cut_from_platform(owner, seconds)
        for node, _ in self.nodes:
            world.cut(owner, node, seconds)
        for machine in machines:
            world.cut(machine.name, PLATFORM, seconds)
            machine.hidden_until = world.now + seconds + HEARTBEAT_SECONDS
            for node, _ in self.nodes:
                if node != owner:
                    world.cut(node, machine.name, seconds)

    def _crash_worker(self) -> None:
        """Crash a worker; its next life may serve another pool."""
        world = self.world
        machine = self._machine()
        if machine.worker is None:
            return
        worker_id = machine.worker.id
        world.take_down(machine, "down", self._rng.choice([0.1, 0.5, 2.0]))
        if world.faults.same_id and self._rng.random() < 0.5:
            machine.state = "up"
            world.boot(machine, worker_id)
        elif self._rng.random() < 0.2:
            machine.pool = POOL_B if machine.pool == POOL_A else POOL_A

    def _drain_worker(self) -> None:
        machine = self._machine()
        machine.drains_until = self.world.now + self._rng.uniform(2.0, 6.0)
        self.world.note(f"{machine.name} drains")

    def _disturb_fleet(self) -> None:
        outcomes = ("ok", "ok", "refused", "lost", "answer-lost", "slow", "late")
        count = self._rng.randint(1, 3)
        self.world.cloud_outcomes = tuple(self._rng.sample(outcomes, count))
        self.world.later(
            self._rng.choice(STORE_FAULT_SECONDS), self.world.restore_fleet
        )
        self.world.note(f"fleet calls: {self.world.cloud_outcomes}")

    def _disturb_store(self) -> None:
        """Choose the outcomes of an entry's calls to the store."""
        entry = self._owner()
        outcomes = ("ok", "ok", "refused", "lost", "answer-lost", "slow", "late")
        count = self._rng.randint(1, 3)
        chosen = tuple(self._rng.sample(outcomes, count))
        self.world.store_outcomes[entry.node] = chosen
        self.world.later(
            self._rng.choice(STORE_FAULT_SECONDS),
            lambda: self.world.restore_store_calls(entry.node),
        )
        self.world.note(f"store calls of {entry.node}: {chosen}")

    def _stop_store(self) -> None:
        """Disturb the store for all for a while."""
        world = self.world
        world.store.mode = self._rng.choice(list(StoreMode))
        world.entries_lapse_in_outage = self._rng.random() < 0.5
        if world.entries_lapse_in_outage:
            world.lapse_entries()
        world.note(f"store is {world.store.mode.value}")
        world.later(self._rng.choice(STORE_FAULT_SECONDS), world.restore_store)

    def _slow_store(self) -> None:
        """Let the store answer late, and execute one append after the other."""
        world = self.world
        world.append_seconds = self._rng.choice([0.02, 0.1, 0.3])
        world.response_seconds = self._rng.choice([0.05, 0.4, 0.6])
        seconds = self._rng.choice(STORE_FAULT_SECONDS)
        world.note(f"slow store for {seconds} s: {world.append_seconds}")
        world.later(seconds, world.speed_up_store)

    def _disturb_queries(self) -> None:
        """Choose the outcomes of the queries between entries."""
        outcomes = ("ok", "refused", "lost", "answer-lost", "slow", "late")
        count = self._rng.randint(1, 3)
        self.world.query_outcomes = tuple(self._rng.sample(outcomes, count))
        self.world.note(f"queries: {self.world.query_outcomes}")
        self.world.later(
            self._rng.choice(STORE_FAULT_SECONDS), self.world.restore_queries
        )

    def _cut_entries(self) -> None:
        """Cut the owner off from one other entry, or from all."""
        owner = self._owner().node
        others = [node for node, _ in self.nodes if node != owner]
        if self._rng.random() < 0.5:
            others = others[:1]
        seconds = self._rng.choice([2.0, 5.0, 9.0])
        self.world.note(f"{owner} is cut off from {others} for {seconds} s")
        for node in others:
            self.world.cut(owner, node, seconds)


def find_violations(
    seed: int, faults: Faults = ALLOWED, listed_ends: int = MAX_LISTED_ENDS
) -> list[str]:
    """Return the violations of one walk.

    :param listed_ends: most ended runs in one answer of a worker.
    """
    walk = TwiceWalk(seed, faults)
    walk.world.max_listed_ends = listed_ends
    with patch.object(workers, "MAX_LISTED_ENDS", listed_ends):
        return walk.walk()


class _TraceHandler(logging.Handler):
    """Add the log lines of the owners to the trace, and count lost workers."""

    def __init__(self, world: World) -> None:
        super().__init__(logging.INFO)
        self._world = world

    def emit(self, record: logging.LogRecord) -> None:
        text = record.getMessage()
        process = PROCESS.get()
        if process is None or process.ended:
            return
        self._world.note(f"{process.name}: {text}")
        if "event=worker_lost" in text:
            cause = text.partition(" cause=")[2].partition(" ")[0]
            self._world.count(f"lost:{cause}")


def main(walk_type: type[TwiceWalk] = TwiceWalk) -> None:
    """Run walks by hand: FIRST COUNT [--trace] [--mutant=NAME] [FAULT ...]."""
    import sys
    import time

    from absl import logging as absl_logging

    from .twice_mutants import MUTANTS

    arguments = [a for a in sys.argv[1:] if not a.startswith("--")]
    first, count = int(arguments[0]), int(arguments[1])
    faults = Faults(**dict.fromkeys(arguments[2:], True))
    traced = "--trace" in sys.argv
    for name in (a.removeprefix("--mutant=") for a in sys.argv if "--mutant=" in a):
        MUTANTS[name](pytest.MonkeyPatch())
    absl_logging.set_verbosity(absl_logging.INFO)
    absl_logging.get_absl_handler().setLevel(logging.CRITICAL)
    started_at = time.monotonic()
    totals: dict[str, int] = {}
    epochs = 0
    for seed in range(first, first + count):
        walk = walk_type(seed, faults)
        handler = _TraceHandler(walk.world)
        absl_logging.get_absl_logger().addHandler(handler)
        try:
            found = walk.walk()
        except Exception as error:
            found = [f"{type(error).__name__}: {error} {error.__cause__!r}"]
        absl_logging.get_absl_logger().removeHandler(handler)
        epochs += len(walk.epochs)
        for name, number in walk.world.counts.items():
            totals[name] = totals.get(name, 0) + number
        if found:
            print(seed, found[0], flush=True)
        if traced:
            for at, line in walk.world.trace:
                print(f"{at - 1_000_000:8.3f} {line}")
    seconds = time.monotonic() - started_at
    print(f"walks={count} seconds={seconds:.1f} epochs={epochs} {totals}")


if __name__ == "__main__":
    main()
