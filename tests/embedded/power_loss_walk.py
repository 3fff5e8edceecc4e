"""Walk through outages of the store, crashes of workers and losses of power.

Real entries run on the simulated platform in virtual time, while callers submit jobs
and ask every entry for their states. In any order, and overlapping:

- the store is away for all entries, for some of them, or for some topics;
- workers crash for good, return under another id, or restart under the same id;
- one entry loses power, or several or all of them at one moment.

A walk is judged by what callers are told and what workers start:

- no task of a job starts after a caller was told that the job is done;
- a job that was told to have ended is not told to be in another state, by the same
  process at any time, by another once it could read the log for a second;
- no task has two runs at once on live workers;
- once everything is back, each accepted job ends.
"""

from __future__ import annotations

import asyncio
import logging
import secrets
from collections.abc import Callable
from unittest.mock import patch

import anyio
import msgspec

from mustardward.components.ledger.const import TOPIC
from mustardward.node import app as node_app
from mustardward.platform import callers
from mustardward.platform.models import SubmittedJob, SubmittedStep
from mustardward.platform.store import TOPIC_OPERATOR, TOPIC_WORKERS
from mustardward.standin.estate import app as estate_app
from mustardward.standin.estate.estate import SPEC_FAILS
from mustardward.standin.estate.store import StoreMode

from ..components.ownership.twice_process import PROCESS, ProcessLoop
from .power_loss_world import (
    HOST,
    POOL,
    PREFIX,
    TICK_SECONDS,
    World,
    async_serve_no_metrics,
    serve_peers_of,
)

EVENT_COUNT = 16
MEAN_EVENT_INTERVAL_SECONDS = 0.8
MAX_JOBS = 10
MAX_LOST_MACHINES = 2
OUTAGE_SECONDS = (1.0, 3.0, 5.0, 8.0)
POWER_LOSS_SECONDS = (0.5, 1.5, 3.0, 5.0)
QUERY_INTERVAL_SECONDS = 0.25
VISIBLE_SECONDS = 3.0
"""Time after its acceptance from which every entry knows a job."""

MAX_STATE_AGE_SECONDS = 1.0
SETTLE_SECONDS = 40.0
FINAL_STATES = (callers.STATE_DONE, callers.STATE_FAILED, callers.STATE_CANCELLED)


class PowerLossWalk:
    """Run one walk."""

    def __init__(self, seed: int) -> None:
        self.world = World(seed)
        self._rng = self.world.rng
        self._jobs: list[str] = []
        self._accepted: dict[str, float] = {}
        self._told: dict[str, tuple[str, float]] = {}
        self._states: dict[tuple[str, str], str] = {}
        self._lost_machines = 0
        self._outages = 0
        self._tasks: list[asyncio.Task[None]] = []

    def walk(self) -> list[str]:
        """Return the violations that were found."""
        rng = self._rng
        with (
            patch.object(secrets, "token_hex", lambda size: rng.randbytes(size).hex()),
            patch.object(estate_app, "TICK_SECONDS", TICK_SECONDS),
            patch.object(node_app, "async_serve_peers", serve_peers_of(self.world)),
            patch.object(node_app, "async_serve_metrics", async_serve_no_metrics),
            asyncio.Runner(loop_factory=ProcessLoop) as runner,
        ):
            return runner.run(self._async_walk())

    async def _async_walk(self) -> list[str]:
        world = self.world
        self._tasks.append(asyncio.create_task(world.async_tick()))
        world.estate.publish_config({PREFIX: POOL}, HOST)
        for entry in world.entries.values():
            entry.power_on()
        await self._async_advance(2.0)
        for _ in range(3):
            self._submit()
        events = self._events()
        for _ in range(EVENT_COUNT):
            self._rng.choice(events)()
            interval = self._rng.uniform(0, 2 * MEAN_EVENT_INTERVAL_SECONDS)
            await self._async_advance(interval)
        await self._async_settle()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await world.async_end()
        return world.violations

    def _events(self) -> list[Callable[[], None]]:
        # Each walk prefers some kinds of events and lacks others, so that also those
        # sequences occur that a mixture of all kinds would interrupt.
        weighted: list[tuple[Callable[[], None], int]] = [
            (self._cancel, 1),
            (self._stop_store, 3),
            (self._stop_topic, 1),
            (self._cut_entries_from_store, 2),
            (self._crash_workers, 4),
            (self._power_off_some, 2),
            (self._power_off_all, 3),
            (self._power_off_all_in_an_outage, 4),
        ]
        events = [self._submit] * 5
        for event, weight in weighted:
            events += [event] * (weight * self._rng.choice((0, 1, 1, 3)))
        return events

    async def _async_advance(self, seconds: float) -> None:
        until = self.world.now + seconds
        while self.world.now < until:
            await anyio.sleep(0.05)
            for entry in self.world.entries.values():
                failure = entry.failure()
                if failure is not None:
                    raise AssertionError(f"{entry.name} ended") from failure
            for task in self._tasks:
                if task.done():
                    task.result()

    async def _async_settle(self) -> None:
        """End all faults, and check that each accepted job ends."""
        world = self.world
        world.note("all is back")
        world.estate.store.mode = StoreMode.SERVING
        world.estate.store.topic_modes.clear()
        world.unreached_by.clear()
        for entry in world.entries.values():
            if not entry.powered:
                entry.power_on()
        until = world.now + SETTLE_SECONDS
        while self._unfinished() and world.now < until:
            await self._async_advance(0.5)
        for name in self._unfinished():
            world.report(f"job {name} does not end: {self._states_of(name)}")

    def _unfinished(self) -> list[str]:
        """Return the accepted jobs that an entry does not tell to have ended."""
        return [
            name
            for name in self._accepted
            if not all(state in FINAL_STATES for state in self._states_of(name))
        ]

    def _states_of(self, name: str) -> list[str]:
        return [self._states.get((name, entry), "") for entry in self.world.entries]

    # What callers do.

    def _submit(self) -> None:
        if len(self._jobs) >= MAX_JOBS:
            return
        rng = self._rng
        name = f"{len(self._jobs) + 1:016x}"
        self._jobs.append(name)
        steps = []
        for number in range(rng.choice((1, 1, 2))):
            step = SubmittedStep(
                count=rng.randint(1, 4),
                cpu=rng.choice((1000, 2000)),
                mem_mb=100,
                estimate_ms=rng.choice((100, 500, 1500, 3000)),
                after=[number - 1] if number else [],
            )
            steps.append(step)
        spec = SPEC_FAILS if rng.random() < 0.1 else "work"
        body = msgspec.json.encode(SubmittedJob(spec, steps))
        counts = [step.count for step in steps]
        self.world.note(f"submit {name} counts={counts} {spec}")
        self._tasks.append(asyncio.create_task(self._async_submit(name, body)))

    async def _async_submit(self, name: str, body: bytes) -> None:
        """Submit a job at any entry until it is accepted; then watch its states."""
        while True:
            entry = self._rng.choice(list(self.world.entries.values()))
            reply = await entry.async_answer("POST", PREFIX + name, body)
            if reply is not None and reply.status == 200:
                break
            await anyio.sleep(QUERY_INTERVAL_SECONDS)
        self.world.note(f"accepted {name} by {entry.name}")
        self._accepted[name] = self.world.now
        async with anyio.create_task_group() as tasks:
            for node in self.world.entries:
                tasks.start_soon(self._async_watch, name, node)

    async def _async_watch(self, name: str, node: str) -> None:
        """Ask one entry for the state of a job for ever."""
        while True:
            await anyio.sleep(self._rng.uniform(0.5, 1.5) * QUERY_INTERVAL_SECONDS)
            sent_at = self.world.now
            process = self.world.entries[node].process
            reply = await self.world.entries[node].async_answer(
                "GET", PREFIX + name, b""
            )
            if process is not self.world.entries[node].process:
                self._states.pop((name, node), None)
                continue
            if reply is not None and reply.status == 200:
                state = str(msgspec.json.decode(reply.body)["state"])
                self._judge_state(name, node, state, sent_at)
            elif reply is not None and reply.status in (404, 410):
                if sent_at > self._accepted[name] + VISIBLE_SECONDS:
                    self.world.report(f"{node} does not know the accepted job {name}")

    def _judge_state(self, name: str, node: str, state: str, sent_at: float) -> None:
        world = self.world
        before = self._states.get((name, node), "")
        if before != state:
            world.note(f"{node} tells {name}: {state}")
        self._states[name, node] = state
        told, told_at = self._told.get(name, ("", 0.0))
        if state in FINAL_STATES and not told:
            self._told[name] = state, world.now
            if state == callers.STATE_DONE:
                world.told_done[name] = f"{node} told {state} at {world.now:.3f}"
        if not told or state == told:
            return
        readable_since = max(told_at, world.entries[node].unread_at)
        is_outdated = sent_at > readable_since + MAX_STATE_AGE_SECONDS
        if state == before:
            return
        if state in FINAL_STATES or before in FINAL_STATES or is_outdated:
            world.report(f"{node} tells {name}: {state}, after {told} at {told_at:.3f}")

    def _cancel(self) -> None:
        if self._accepted:
            name = self._rng.choice(list(self._accepted))
            entry = self._rng.choice(list(self.world.entries.values()))
            self.world.note(f"cancel {name} at {entry.name}")
            self._tasks.append(asyncio.create_task(self._async_cancel(name)))

    async def _async_cancel(self, name: str) -> None:
        entry = self._rng.choice(list(self.world.entries.values()))
        await entry.async_answer("DELETE", PREFIX + name, b"")

    # What fails.

    def _stop_store(self) -> None:
        """Let the store be away for all entries."""
        store = self.world.estate.store
        mode = self._rng.choice(
            (StoreMode.REFUSING, StoreMode.UNRESPONSIVE, StoreMode.LOSING_RESPONSES)
        )
        seconds = self._rng.choice(OUTAGE_SECONDS)
        self.world.note(f"store is {mode.value} for {seconds} s")
        store.mode = mode
        self._outages += 1
        outage = self._outages

        def restore() -> None:
            if outage == self._outages:
                self.world.note("store is back")
                store.mode = StoreMode.SERVING

        self._later(seconds, restore)

    def _stop_topic(self) -> None:
        """Let one topic of the store be away."""
        modes = self.world.estate.store.topic_modes
        topic = self._rng.choice((TOPIC, TOPIC, TOPIC_WORKERS, TOPIC_OPERATOR))
        mode = self._rng.choice((StoreMode.REFUSING, StoreMode.UNRESPONSIVE))
        seconds = self._rng.choice(OUTAGE_SECONDS)
        self.world.note(f"topic {topic} is {mode.value} for {seconds} s")
        modes[topic] = mode
        self._later(seconds, lambda: modes.pop(topic, None))

    def _cut_entries_from_store(self) -> None:
        world = self.world
        names = self._rng.sample(list(world.entries), self._rng.randint(1, 2))
        seconds = self._rng.choice(OUTAGE_SECONDS)
        world.note(f"{names} are cut off from the store for {seconds} s")
        world.unreached_by.update(names)
        self._later(seconds, lambda: world.unreached_by.difference_update(names))

    def _crash_workers(self) -> None:
        estate = self.world.estate
        count = min(self._rng.randint(1, 3), len(estate.workers))
        for worker_id in self._rng.sample(list(estate.workers), count):
            how = self._rng.choice(("for good", "returns", "same id"))
            if how == "for good" and self._lost_machines < MAX_LOST_MACHINES:
                self._lost_machines += 1
                estate.crash(worker_id, self.world.now, for_good=True)
            elif how == "same id":
                estate.restart(worker_id, self.world.now)
            else:
                how = "returns"
                estate.crash(worker_id, self.world.now)
            self.world.note(f"{worker_id} crashes, {how}")

    def _power_off_some(self) -> None:
        count = self._rng.randint(1, len(self.world.entries) - 1)
        self._power_off(self._rng.sample(list(self.world.entries), count))

    def _power_off_all(self) -> None:
        self._power_off(list(self.world.entries))

    def _power_off_all_in_an_outage(self) -> None:
        """Let workers crash while the store is away; then all entries lose power."""
        self._stop_store()
        seconds = self._rng.uniform(0.5, 4.0)
        self._later(seconds, self._crash_workers)
        self._later(seconds + self._rng.uniform(0.0, 2.0), self._power_off_all)

    def _power_off(self, names: list[str]) -> None:
        """Let entries lose power at one moment; they return together."""
        seconds = self._rng.choice(POWER_LOSS_SECONDS)
        entries = [self.world.entries[name] for name in names]
        lost = [entry for entry in entries if entry.powered]
        self.world.note(f"{names} lose power for {seconds} s")
        for entry in lost:
            entry.power_off()

        def power_on() -> None:
            self.world.note(f"{[entry.name for entry in lost]} have power")
            for entry in lost:
                if not entry.powered:
                    entry.power_on()

        self._later(seconds, power_on)

    def _later(self, seconds: float, call: Callable[[], object]) -> None:
        asyncio.get_running_loop().call_later(seconds, call)


def find_violations(seed: int) -> list[str]:
    """Return the violations of one walk."""
    return PowerLossWalk(seed).walk()


class _TraceHandler(logging.Handler):
    """Add the log lines of the entries to the trace."""

    def __init__(self, world: World) -> None:
        super().__init__(logging.INFO)
        self._world = world

    def emit(self, record: logging.LogRecord) -> None:
        process = PROCESS.get()
        if process is not None and not process.ended:
            self._world.note(f"{process.name}: {record.getMessage()}")


def main() -> None:
    """Run walks by hand: FIRST COUNT [--trace]."""
    import sys
    import time

    from absl import logging as absl_logging

    first, count = int(sys.argv[1]), int(sys.argv[2])
    traced = "--trace" in sys.argv
    absl_logging.set_verbosity(absl_logging.INFO)
    absl_logging.get_absl_handler().setLevel(logging.CRITICAL)
    started_at = time.monotonic()
    for seed in range(first, first + count):
        walk = PowerLossWalk(seed)
        handler = _TraceHandler(walk.world)
        absl_logging.get_absl_logger().addHandler(handler)
        found = walk.walk()
        absl_logging.get_absl_logger().removeHandler(handler)
        if found:
            print(seed, *found, sep="\n  ", flush=True)
        if traced:
            for at, line in walk.world.trace:
                print(f"{at - 1_000_000:8.3f} {line}")
    print(f"walks={count} seconds={time.monotonic() - started_at:.1f}")


if __name__ == "__main__":
    main()
