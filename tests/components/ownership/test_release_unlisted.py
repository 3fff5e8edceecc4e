"""Test how long owners in a row wait for a worker that is not listed."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import anyio
import pytest

from mustardward.components.ledger.const import KEY_OWNER, TOPIC
from mustardward.components.ledger.ledger import Ledger, encode
from mustardward.components.ledger.models import OwnerRecord, UnansweredStart
from mustardward.components.ownership.authority import Authority
from mustardward.components.ownership.owner import Owner
from mustardward.components.scheduling.const import RESTART_SECONDS
from mustardward.helpers.timer import DrivenTimerService
from mustardward.platform.store import KeyedRecord
from mustardward.platform.workers import TaskName, encode_task
from mustardward.standin.estate.store import MemoryStore

from ..fleet.builders import an_instance
from ..fleet.live_workers import EPOCH, PagedList
from ..scheduling.builders import HOLD_SECONDS, JOB, a_job, a_step
from .builders import build_dependencies

pytestmark = pytest.mark.anyio

STEP_SECONDS = 0.05
TENURE_SECONDS = 3.0
START = UnansweredStart(
    encode_task(TaskName(JOB, 0, 0, 0)), 1 << 20, "i-02", HOLD_SECONDS
)


async def test_release_names_how_long_an_unlisted_worker_is_still_waited_for() -> None:
    """Guard against a task that waits anew for a worker under each new owner."""
    timers = DrivenTimerService()
    store = MemoryStore()
    listing = PagedList(timers)
    listing.rows = [an_instance(1)]
    record = OwnerRecord(EPOCH, "c", "node-1", 0, timers.wall())
    store.append(TOPIC, [(KEY_OWNER, encode(record))])
    fleet: Any = listing
    dependencies = replace(build_dependencies("node-1", store, timers), fleet=fleet)
    dependencies.ledger.apply(KeyedRecord(0, KEY_OWNER, encode(record)))
    dependencies.ledger.jobs[JOB] = a_job(a_step(count=1, long_running=True))
    previous = OwnerRecord(EPOCH - 1, "", "", 0, settled=True, unanswered=[START])
    authority = Authority(timers.boottime, timers.boottime())
    owner = Owner(dependencies, EPOCH, "c", previous, authority)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(dependencies.follower.async_run)
        tasks.start_soon(owner.async_run)
        await _async_advance(timers, TENURE_SECONDS)
        tasks.start_soon(owner.async_release)
        await _async_advance(timers, 1.0)
        tasks.cancel_scope.cancel()
    ledger = Ledger()
    for stored in store.records_from(TOPIC, 0):
        ledger.apply(stored)
    assert ledger.owner.unanswered is not None
    [start] = ledger.owner.unanswered
    assert start.held_seconds is not None
    assert start.held_seconds < RESTART_SECONDS - TENURE_SECONDS / 2


async def _async_advance(timers: DrivenTimerService, seconds: float) -> None:
    for _ in range(round(seconds / STEP_SECONDS)):
        await anyio.wait_all_tasks_blocked()
        await timers.async_advance(STEP_SECONDS)
    await anyio.wait_all_tasks_blocked()
