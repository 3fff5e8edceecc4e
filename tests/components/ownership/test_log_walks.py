"""Check that each accepted job comes to the owner and is stored as taken in.

Two entries follow one log in driven time and own the shard in turn, while the store
refuses, falls silent, loses answers, and drops its history. Then all is well: whoever
owns the shard holds each job, may start it, and has it in the log.
"""

from __future__ import annotations

import random
from collections.abc import Callable

import anyio
import pytest
from anyio.abc import TaskGroup

from mustardward.components.configuration.services import Configuration
from mustardward.components.ledger.const import PREFIX_JOB, PREFIX_PROGRESS, TOPIC
from mustardward.components.ledger.follower import TopicFollower
from mustardward.components.ledger.ledger import Ledger, encode
from mustardward.components.ledger.unlogged_completions import UnloggedCompletions
from mustardward.components.ownership.models import OwnerParts
from mustardward.components.ownership.owner import Owner
from mustardward.components.ownership.services import Ownership
from mustardward.helpers.timer import DrivenTimerService
from mustardward.platform.boot import BootBounds
from mustardward.platform.http import HttpCaller
from mustardward.standin.estate.store import MemoryStore, Mood

from ..scheduling.builders import a_job

pytestmark = pytest.mark.anyio

STEP_SECONDS = 0.02
CALM_SECONDS = 6.0
EVENTS = 30
MOST_JOBS = 60


class LogEntry:
    """Hold one entry that may own the shard."""

    def __init__(
        self, node: str, store: MemoryStore, timers: DrivenTimerService, share: float
    ) -> None:
        self.ledger = Ledger()
        self.follower = TopicFollower(
            store,  # type: ignore[arg-type]
            timers,
            TOPIC,
            self.ledger.apply,
            self.ledger.keys,
            0.1,
        )
        parts = OwnerParts(
            node,
            store,  # type: ignore[arg-type]
            HttpCaller(),
            timers,
            self.ledger,
            self.follower,
            Configuration(),
            BootBounds(),
            UnloggedCompletions(),
        )
        self.ownership = Ownership(parts, share)

    def run(self, tasks: TaskGroup) -> None:
        """Follow the log, and take part in the shard's ownership."""
        tasks.start_soon(self.follower.async_run)
        tasks.start_soon(self.ownership.async_run)


class LogWalk:
    """Drive two entries on one store."""

    def __init__(self, seed: int, tasks: TaskGroup) -> None:
        self.random = random.Random(seed)
        self.store = MemoryStore()
        self.timers = DrivenTimerService()
        self.tasks = tasks
        self.jobs: list[str] = []
        self.owners: set[int] = set()
        self.entries = [
            LogEntry(f"node-{number}", self.store, self.timers, 0.5 * number)
            for number in range(2)
        ]
        for entry in self.entries:
            entry.run(tasks)

    def accept(self) -> None:
        """Store jobs as an entry does that accepts them."""
        for _ in range(self.random.randint(1, 3)):
            if len(self.jobs) < MOST_JOBS:
                name = f"{len(self.jobs):016x}"
                self.jobs.append(name)
                wall = self.timers.wall()
                record = a_job(job=name, accepted_at=wall).record
                self.store.append(TOPIC, [(PREFIX_JOB + name, encode(record))])

    def set_mood(self) -> None:
        """Let the store treat calls in some way from now on."""
        self.store.mood = self.random.choice([Mood.SERVING, *Mood])

    def forget(self) -> None:
        """Let the store drop its history; the newest of each key stays."""
        end = self.store.topic_end(TOPIC)
        self.store.forget(TOPIC, self.random.choice([end, max(0, end - 3)]))

    def give_up(self) -> None:
        """Let whoever owns the shard give it up."""
        for entry in self.entries:
            if entry.ownership.owner is not None:
                self.tasks.start_soon(entry.ownership.owner.async_release)

    def depose(self) -> None:
        """Let an owner take itself for deposed."""
        for entry in self.entries:
            if entry.ownership.owner is not None:
                entry.ownership.owner.depose()

    async def async_pass(self, seconds: float) -> None:
        """Let time pass."""
        for _ in range(round(seconds / STEP_SECONDS)):
            await anyio.wait_all_tasks_blocked()
            await self.timers.async_advance(STEP_SECONDS)
            for entry in self.entries:
                if entry.ownership.owner is not None:
                    self.owners.add(entry.ownership.owner.epoch)
        await anyio.wait_all_tasks_blocked()

    def held(self) -> list[str]:
        """Return the jobs that the owner lacks, may not start, or has not stored."""
        owners = [e.ownership.owner for e in self.entries if e.ownership.owner]
        if len(owners) != 1:
            return [f"owners={len(owners)}"]
        state = owners[0].scheduler.state
        newest = self.store._topic(TOPIC).newest
        return [
            name
            for name in self.jobs
            if name not in state.jobs
            or not state.jobs[name].stored
            or PREFIX_PROGRESS + name not in newest
        ]


async def async_walk(seed: int) -> tuple[list[str], int]:
    """Walk into trouble and out of it; return what is held, and the owners seen."""
    async with anyio.create_task_group() as tasks:
        walk = LogWalk(seed, tasks)
        draw = walk.random
        events: list[Callable[[], None]] = [
            walk.accept,
            walk.accept,
            walk.set_mood,
            walk.set_mood,
            walk.forget,
            walk.give_up,
            walk.depose,
        ]
        await walk.async_pass(1.0)
        for _ in range(EVENTS):
            draw.choice(events)()
            await walk.async_pass(draw.choice([0.02, 0.06, 0.2, 0.6]))
        walk.store.mood = Mood.SERVING
        await walk.async_pass(CALM_SECONDS)
        walk.accept()
        await walk.async_pass(0.5)
        held = walk.held()
        tasks.cancel_scope.cancel()
    return held, len(walk.owners)


@pytest.mark.parametrize("first", [0, 5])
async def test_each_accepted_job_comes_to_the_owner_and_is_stored(first: int) -> None:
    """A job that was accepted is never begun, as long as its owner lives."""
    walks = {seed: await async_walk(seed) for seed in range(first, first + 5)}
    assert not {seed: held for seed, (held, _) in walks.items() if held}
    assert sum(owners for _, owners in walks.values()) > 10


async def test_a_job_that_is_not_handed_on_is_found(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a walk that finds nothing."""
    monkeypatch.setattr(Owner, "_add_job", lambda owner, job: None)
    held, _ = await async_walk(0)
    assert held
