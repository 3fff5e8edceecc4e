"""Check that each accepted job reaches the owner and that its progress is stored.

Two entries follow one log in simulated time and own the shard in turn, while the store
refuses calls, does not answer, loses answers, and truncates its history. After the
faults end, the owner has each job, may start it, and has its progress in the log.
"""

from __future__ import annotations

import random
from collections.abc import Callable

import anyio
import pytest
from anyio.abc import TaskGroup

from mustardward.components.ledger.const import PREFIX_JOB, PREFIX_PROGRESS, TOPIC
from mustardward.components.ledger.ledger import encode
from mustardward.components.ownership.deposition import DeposedBy
from mustardward.components.ownership.owner import Owner
from mustardward.components.ownership.services import Ownership
from mustardward.helpers.timer import DrivenTimerService
from mustardward.standin.estate.store import MemoryStore, StoreMode

from ..scheduling.builders import a_job
from .builders import build_dependencies

pytestmark = pytest.mark.anyio

STEP_SECONDS = 0.02
RECOVERY_SECONDS = 6.0
EVENT_COUNT = 30
MAX_JOBS = 60


class LogEntry:
    """Provide one entry that may own the shard."""

    def __init__(
        self,
        node: str,
        store: MemoryStore,
        timers: DrivenTimerService,
        jitter_position: float,
    ) -> None:
        dependencies = build_dependencies(node, store, timers)
        self.follower = dependencies.follower
        self.ownership = Ownership(dependencies, jitter_position)

    def run(self, tasks: TaskGroup) -> None:
        """Follow the log and take part in the election of the owner."""
        tasks.start_soon(self.follower.async_run)
        tasks.start_soon(self.ownership.async_run)


class LogWalk:
    """Provide two entries on one store and the faults to inject."""

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
        """Append jobs to the log as an accepting entry does."""
        for _ in range(self.random.randint(1, 3)):
            if len(self.jobs) < MAX_JOBS:
                name = f"{len(self.jobs):016x}"
                self.jobs.append(name)
                wall = self.timers.wall()
                record = a_job(job=name, accepted_at=wall).record
                self.store.append(TOPIC, [(PREFIX_JOB + name, encode(record))])

    def choose_store_mood(self) -> None:
        """Choose how the store handles calls from now on."""
        self.store.mode = self.random.choice([StoreMode.SERVING, *StoreMode])

    def truncate_history(self) -> None:
        """Truncate the store's history; the newest record of each key stays."""
        end = self.store.topic_end(TOPIC)
        self.store.drop_before(TOPIC, self.random.choice([end, max(0, end - 3)]))

    def release(self) -> None:
        """Let the current owner release the shard."""
        for entry in self.entries:
            if entry.ownership.owner is not None:
                self.tasks.start_soon(entry.ownership.owner.async_release)

    def depose(self) -> None:
        """Depose the current owner."""
        for entry in self.entries:
            if entry.ownership.owner is not None:
                entry.ownership.owner.depose(DeposedBy.NEWER_OWNER_READ)

    async def async_advance_time(self, seconds: float) -> None:
        """Advance the simulated time."""
        for _ in range(round(seconds / STEP_SECONDS)):
            await anyio.wait_all_tasks_blocked()
            await self.timers.async_advance(STEP_SECONDS)
            for entry in self.entries:
                if entry.ownership.owner is not None:
                    self.owners.add(entry.ownership.owner.epoch)
        await anyio.wait_all_tasks_blocked()

    def unsettled_jobs(self) -> list[str]:
        """Return the jobs that the owner lacks, may not start or has not stored."""
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
    """Inject random faults and end them; return unsettled jobs and owner count."""
    async with anyio.create_task_group() as tasks:
        walk = LogWalk(seed, tasks)
        draw = walk.random
        events: list[Callable[[], None]] = [
            walk.accept,
            walk.accept,
            walk.choose_store_mood,
            walk.choose_store_mood,
            walk.truncate_history,
            walk.release,
            walk.depose,
        ]
        await walk.async_advance_time(1.0)
        for _ in range(EVENT_COUNT):
            draw.choice(events)()
            await walk.async_advance_time(draw.choice([0.02, 0.06, 0.2, 0.6]))
        walk.store.mode = StoreMode.SERVING
        await walk.async_advance_time(RECOVERY_SECONDS)
        walk.accept()
        await walk.async_advance_time(0.5)
        unsettled_jobs = walk.unsettled_jobs()
        tasks.cancel_scope.cancel()
    return unsettled_jobs, len(walk.owners)


@pytest.mark.parametrize("first_seed", [0, 5])
async def test_each_accepted_job_reaches_the_owner_and_is_stored(
    first_seed: int,
) -> None:
    """Guard against an accepted job that does not start until the owner changes."""
    walks = {seed: await async_walk(seed) for seed in range(first_seed, first_seed + 5)}
    assert not {
        seed: unsettled_jobs
        for seed, (unsettled_jobs, _) in walks.items()
        if unsettled_jobs
    }
    assert sum(owners for _, owners in walks.values()) > 10


async def test_walk_detects_jobs_that_do_not_reach_the_owner(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guard against a walk that can't detect a fault."""
    monkeypatch.setattr(Owner, "_add_job", lambda owner, job: None)
    unsettled_jobs, _ = await async_walk(0)
    assert unsettled_jobs
