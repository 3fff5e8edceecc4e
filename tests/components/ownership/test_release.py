"""Test that an owner that releases the shard sends no more commands."""

from __future__ import annotations

import anyio
import pytest
from anyio.abc import TaskGroup

from mustardward.components.ledger.const import KEY_OWNER, TOPIC
from mustardward.components.ledger.ledger import Ledger, encode
from mustardward.components.ledger.models import OwnerRecord
from mustardward.components.ownership.authority import Authority
from mustardward.components.ownership.owner import Owner
from mustardward.components.ownership.takeover import hold_previous_runs
from mustardward.components.scheduling.models import QueuePolicy
from mustardward.components.scheduling.scheduler import Scheduler
from mustardward.helpers.timer import DrivenTimerService
from mustardward.platform.exceptions import CallRefusedError, CallUnknownError
from mustardward.platform.store import KeyedRecord, Page, Producer
from mustardward.standin.estate.store import MemoryStore

from ..fleet.live_workers import EPOCH, LiveWorker
from ..scheduling.builders import JOB, POOL, a_job, a_step, an_entry
from .builders import build_dependencies

pytestmark = pytest.mark.anyio

STEP_SECONDS = 0.05
CLAIM_SECONDS = 0.1
"""Time after which another entry has read a release and claimed the shard."""

ANSWER_DELAY_SECONDS = 0.9
"""Time for which the answer of a release is outstanding; its timeout is 1 s."""


class CutStore(MemoryStore):
    """Simulate a store that performs appends, but whose answers no longer arrive."""

    cut = False

    async def async_append(
        self,
        topic: str,
        records: list[tuple[str, bytes]],
        producer: Producer | None = None,
        timeout_seconds: float = 1.0,
    ) -> int:
        end = self.append(topic, list(records), producer)
        if self.cut:
            raise CallUnknownError("answer lost")
        return end

    async def async_read(
        self, topic: str, from_offset: int, wait_ms: int, kilobytes: int = 1024
    ) -> Page:
        if self.cut:
            raise CallRefusedError("cut off")
        return await super().async_read(topic, from_offset, wait_ms, kilobytes)


class ReleaseHarness:
    """Provide an owner with one worker, which its successor can't reach."""

    def __init__(self, tasks: TaskGroup) -> None:
        self.timers = DrivenTimerService()
        self.store = CutStore()
        self.worker = LiveWorker("i-01", self.timers)
        record = OwnerRecord(EPOCH, "c", "node-1", 0, self.timers.wall())
        self.store.append(TOPIC, [(KEY_OWNER, encode(record))])
        dependencies = build_dependencies("node-1", self.store, self.timers)
        dependencies.ledger.apply(KeyedRecord(0, KEY_OWNER, encode(record)))
        previous = OwnerRecord(EPOCH - 1, "", "", 0)
        authority = Authority(self.timers.boottime, self.timers.boottime())
        self.owner = Owner(dependencies, EPOCH, "c", previous, authority)
        tasks.start_soon(dependencies.follower.async_run)
        tasks.start_soon(self.owner.async_run)

    def connect(self) -> None:
        """Give the owner the entry of the worker, on which a task runs."""
        assert self.owner.dispatcher is not None
        self.owner.dispatcher.update_worker("i-01", an_entry())
        session = self.owner.dispatcher.sessions["i-01"]
        session.client = self.worker  # type: ignore[assignment]

    def submit(self) -> None:
        """Submit a job of one long-running task."""
        job = a_job(a_step(count=1, long_running=True))
        self.owner.scheduler.add_job(job, self.timers.monotonic(), 0.0)
        self.owner.request_work()

    def newest_owner_record(self) -> OwnerRecord:
        """Return what a successor reads, in any state of the store."""
        ledger = Ledger()
        for record in self.store.records_from(TOPIC, 0):
            ledger.apply(record)
        return ledger.owner

    async def async_advance_time(self, seconds: float) -> None:
        for _ in range(round(seconds / STEP_SECONDS)):
            await anyio.wait_all_tasks_blocked()
            await self.timers.async_advance(STEP_SECONDS)
        await anyio.wait_all_tasks_blocked()


async def test_released_owner_renews_no_lease_that_outlasts_the_hold() -> None:
    """Guard against tasks that run twice after a release whose answer is lost.

    The successor reads the release at once and holds the jobs for one lease.
    """
    async with anyio.create_task_group() as tasks:
        harness = ReleaseHarness(tasks)
        await harness.async_advance_time(0.1)
        harness.connect()
        harness.submit()
        await harness.async_advance_time(1.0)
        assert harness.worker.running() == {f"{JOB}.0.0.0"}
        harness.store.cut = True
        tasks.start_soon(harness.owner.async_release)
        await harness.async_advance_time(CLAIM_SECONDS)
        release = harness.newest_owner_record()
        assert not release.node and release.settled
        successor = Scheduler(EPOCH + 1, lambda queue: QueuePolicy(service=POOL)).state
        hold_previous_runs(successor, release, harness.timers.monotonic())
        await harness.async_advance_time(ANSWER_DELAY_SECONDS - CLAIM_SECONDS)
        tasks.cancel_scope.cancel()
    released_after = successor.takeover_hold_until - harness.timers.monotonic()
    await harness.timers.async_advance(released_after)
    assert harness.worker.running() == set()
