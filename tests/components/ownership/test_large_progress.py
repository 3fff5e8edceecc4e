"""Test an owner with a job whose progress is larger than the store accepts."""

from __future__ import annotations

from typing import Any

import anyio
import msgspec
import pytest
from anyio.abc import TaskGroup

from mustardward.components.ledger.const import PREFIX_PROGRESS, TOPIC
from mustardward.components.ledger.ledger import Ledger
from mustardward.components.ledger.models import JobState, Progress
from mustardward.platform.exceptions import CallRefusedError
from mustardward.platform.store import Producer
from mustardward.standin.estate.store import MemoryStore

from ..fleet.live_workers import EPOCH
from ..scheduling.builders import JOB, a_job, a_step
from .test_stored_run_times import OwnerHarness

pytestmark = pytest.mark.anyio

RECORD_BYTES = 262_144
OTHER = "00000000000000bb"
TASKS = 14_000
_PROGRESS = msgspec.msgpack.Decoder(Progress)


class LimitedStore(MemoryStore):
    """Refuse appends with a record that is too large.

    :param refused: number of refused appends.
    """

    refused = 0

    async def async_append(
        self, topic: str, records: Any, producer: Producer | None = None, **_: Any
    ) -> int:
        if any(len(key) + len(value) + 1 > RECORD_BYTES for key, value in records):
            self.refused += 1
            raise CallRefusedError("status=413")
        return await super().async_append(topic, records, producer)


async def async_own_with_checkpoints(
    store: MemoryStore, tasks: TaskGroup, checkpoints: int
) -> OwnerHarness:
    """Return an owner with a job that is not stored yet.

    :param checkpoints: how many of its tasks have saved their progress.
    """
    harness = OwnerHarness(store, EPOCH, tasks)
    await harness.async_advance_time(0.2)
    scheduler = harness.owner.scheduler
    now = harness.timers.monotonic()
    scheduler.add_job(a_job(a_step(count=TASKS)), now, harness.timers.wall())
    for task in scheduler.state.jobs[JOB].steps[0, 0].tasks[:checkpoints]:
        task.record_checkpoint(f"{task.index:016x}")
    return harness


async def test_large_progress_of_one_job_does_not_stop_the_work_of_others() -> None:
    """Guard against an append that the store refuses and that is repeated for good."""
    store = LimitedStore()
    async with anyio.create_task_group() as tasks:
        harness = await async_own_with_checkpoints(store, tasks, TASKS)
        job = harness.owner.scheduler.state.jobs[JOB]
        harness.owner.request_work()
        await harness.async_advance_time(1.0)
        submitted_at = harness.timers.wall()
        await harness.async_store_progress(OTHER)
        tasks.cancel_scope.cancel()
    ledger = Ledger()
    for record in store.records_from(TOPIC, 0):
        ledger.apply(record)
    keys = {record.key for record in store.records_from(TOPIC, 0)}
    assert store.refused == 0
    assert not job.state.final
    assert {PREFIX_PROGRESS + JOB, PREFIX_PROGRESS + OTHER} <= keys
    assert ledger.owner.renewed_at >= submitted_at


async def test_a_job_whose_progress_is_rejected_ends_and_others_go_on() -> None:
    """Guards against an owner that loses the shard by one record that is rejected."""
    store = MemoryStore(record_bytes=RECORD_BYTES // 100)
    async with anyio.create_task_group() as tasks:
        harness = await async_own_with_checkpoints(store, tasks, 200)
        job = harness.owner.scheduler.state.jobs[JOB]
        harness.owner.request_work()
        await harness.async_advance_time(1.0)
        submitted_at = harness.timers.wall()
        await harness.async_store_progress(OTHER)
        tasks.cancel_scope.cancel()
    ledger = Ledger()
    newest = {record.key: record for record in store.records_from(TOPIC, 0)}
    for record in newest.values():
        ledger.apply(record)
    assert job.state is JobState.FAILED
    assert _PROGRESS.decode(newest[PREFIX_PROGRESS + JOB].value).state is job.state
    assert PREFIX_PROGRESS + OTHER in newest
    assert ledger.owner.epoch == EPOCH
    assert ledger.owner.renewed_at >= submitted_at


class _Session:
    """Note whether a job had ended in the log when its worker's ends were acknowledged.

    :param seen: the job's state in the log at each acknowledgement.
    """

    received_upto = 1

    def __init__(self, store: MemoryStore) -> None:
        self._store = store
        self.seen: list[JobState | None] = []

    def acknowledge(self, number: int) -> None:
        records = self._store.records_from(TOPIC, 0)
        stored = [r.value for r in records if r.key == PREFIX_PROGRESS + JOB]
        self.seen.append(_PROGRESS.decode(stored[-1]).state if stored else None)


async def test_ends_are_acknowledged_once_the_job_that_they_ended_is_stored() -> None:
    """Guards against a task that runs again, since its rejected end was forgotten."""
    store = MemoryStore(record_bytes=RECORD_BYTES // 100)
    session = _Session(store)
    async with anyio.create_task_group() as tasks:
        harness = await async_own_with_checkpoints(store, tasks, 200)
        dispatcher = harness.owner.dispatcher
        assert dispatcher is not None
        dispatcher.sessions["w1"] = session  # type: ignore[assignment]
        harness.owner.request_work()
        await harness.async_advance_time(1.0)
        tasks.cancel_scope.cancel()
    assert session.seen
    assert set(session.seen) == {JobState.FAILED}
