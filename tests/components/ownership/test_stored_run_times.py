"""Test that what an owner learned of run times reaches its successor."""

from __future__ import annotations

from typing import Any

import anyio
import pytest
from anyio.abc import TaskGroup

from mustardward.components.ledger.const import (
    KEY_OWNER,
    PREFIX_RUN_TIMES,
    TOPIC,
)
from mustardward.components.ledger.ledger import Ledger, encode
from mustardward.components.ledger.models import OwnerRecord
from mustardward.components.ownership.authority import Authority
from mustardward.components.ownership.owner import Owner
from mustardward.helpers.timer import DrivenTimerService
from mustardward.standin.estate.store import MemoryStore

from ..fleet.live_workers import EPOCH
from ..run_times.test_estimates import QUEUE, Queue
from ..scheduling.builders import a_job
from .builders import build_dependencies

pytestmark = pytest.mark.anyio

STEP_SECONDS = 0.05


class OwnerHarness:
    """Provide an owner of an epoch on a given store.

    :param changes: dependencies that differ from those of an entry without a fleet.
    """

    def __init__(
        self, store: MemoryStore, epoch: int, tasks: TaskGroup, **changes: Any
    ) -> None:
        self.timers = DrivenTimerService()
        record = OwnerRecord(epoch, "c", "node-1", 0, self.timers.wall())
        store.append(TOPIC, [(KEY_OWNER, encode(record))])
        dependencies = build_dependencies("node-1", store, self.timers, **changes)
        self.dependencies = dependencies
        for stored in store.records_from(TOPIC, 0):
            dependencies.ledger.apply(stored)
        previous = OwnerRecord(epoch - 1, "", "", 0)
        authority = Authority(self.timers.boottime, self.timers.boottime())
        self.owner = Owner(dependencies, epoch, "c", previous, authority)
        tasks.start_soon(dependencies.follower.async_run)
        tasks.start_soon(self.owner.async_run)

    async def async_advance_time(self, seconds: float) -> None:
        for _ in range(round(seconds / STEP_SECONDS)):
            await anyio.wait_all_tasks_blocked()
            await self.timers.async_advance(STEP_SECONDS)
        await anyio.wait_all_tasks_blocked()

    async def async_store_progress(self, job: str) -> None:
        """Submit a job, whose admission is stored."""
        now = self.timers.monotonic()
        self.owner.scheduler.add_job(a_job(job=job), now, self.timers.wall())
        self.owner.request_work()
        await self.async_advance_time(0.5)


def count_run_times(store: MemoryStore) -> int:
    """Return how often figures of run times were stored."""
    records = store.records_from(TOPIC, 0)
    return sum(record.key.startswith(PREFIX_RUN_TIMES) for record in records)


async def test_a_successor_continues_with_the_learned_run_times() -> None:
    """Guards against a new owner that trusts declarations known to be wrong.

    Also guards against an append for each change: figures are stored with progress,
    and again only seconds later.
    """
    store = MemoryStore()
    async with anyio.create_task_group() as tasks:
        first = OwnerHarness(store, EPOCH, tasks)
        await first.async_advance_time(0.2)
        learned = Queue(error=1.0, estimates=first.owner.scheduler.state.estimates)
        learned.complete(60)
        assert count_run_times(store) == 0
        await first.async_store_progress("00000000000000a1")
        assert count_run_times(store) == 1
        learned.median = 7.0
        learned.complete(20)
        await first.async_store_progress("00000000000000a2")
        assert count_run_times(store) == 1
        await first.async_advance_time(6.0)
        await first.async_store_progress("00000000000000a3")
        assert count_run_times(store) == 2
        tasks.cancel_scope.cancel()
    async with anyio.create_task_group() as tasks:
        second = OwnerHarness(store, EPOCH + 1, tasks)
        await second.async_advance_time(0.2)
        estimates = second.owner.scheduler.state.estimates
        assert estimates.is_known(QUEUE)
        assert estimates.export() == learned.estimates.export()
        tasks.cancel_scope.cancel()


async def test_unreadable_run_times_do_not_stop_a_takeover() -> None:
    store = MemoryStore()
    store.append(TOPIC, [(PREFIX_RUN_TIMES + QUEUE, b"\xc1")])
    async with anyio.create_task_group() as tasks:
        harness = OwnerHarness(store, EPOCH, tasks)
        await harness.async_advance_time(0.2)
        assert not harness.owner.scheduler.state.estimates.is_known(QUEUE)
        await harness.async_store_progress("00000000000000a1")
        tasks.cancel_scope.cancel()
    ledger = Ledger()
    for record in store.records_from(TOPIC, 0):
        ledger.apply(record)
    assert ledger.owner.epoch == EPOCH
