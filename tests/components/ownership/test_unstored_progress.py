"""Test that callers and workers are told nothing that the log does not have."""

from __future__ import annotations

from typing import Any

import anyio
import msgspec
import pytest
from anyio.abc import TaskGroup

from mustardward.components.ledger.appender import AppendLimits
from mustardward.components.ledger.const import (
    PREFIX_JOB,
    PREFIX_PROGRESS,
    PREFIX_REPORTED,
    TOPIC,
)
from mustardward.components.ledger.ledger import encode
from mustardward.components.ledger.models import JobState, Progress, ReportedRecord
from mustardward.platform.store import Producer
from mustardward.standin.estate.store import MemoryStore

from ..fleet.live_workers import EPOCH
from ..scheduling.builders import JOB, a_job, a_step
from .test_stored_run_times import OwnerHarness

pytestmark = pytest.mark.anyio

TASKS = 14_000
_PROGRESS = msgspec.msgpack.Decoder(Progress)


class SilentStore(MemoryStore):
    """Leave appends unanswered and undone while silent."""

    silent = False

    async def async_append(
        self,
        topic: str,
        records: list[tuple[str, bytes]],
        producer: Producer | None = None,
        timeout_seconds: float = 0.0,
    ) -> int:
        if self.silent:
            await anyio.sleep_forever()
        return await super().async_append(topic, records, producer)


class _Session:
    """Note the state of a job's newest record at each acknowledgement of ends.

    :param acknowledged: the numbers acknowledged, with that record.
    """

    received_upto = 0

    def __init__(self, store: MemoryStore) -> None:
        self._store = store
        self.acknowledged: list[tuple[int, Progress]] = []

    def acknowledge(self, number: int) -> None:
        self.acknowledged.append((number, newest_progress(self._store)))


def newest_progress(store: MemoryStore) -> Progress:
    """Return the job's newest record of progress in the log."""
    records = store.records_from(TOPIC, 0)
    values = [r.value for r in records if r.key == PREFIX_PROGRESS + JOB and r.value]
    return _PROGRESS.decode(values[-1])


async def async_own(
    store: MemoryStore, tasks: TaskGroup, count: int, **changes: Any
) -> OwnerHarness:
    """Return an owner with a job in the log whose first record is stored."""
    job = a_job(a_step(count=count))
    store.append(TOPIC, [(PREFIX_JOB + JOB, encode(job.record))])
    harness = OwnerHarness(store, EPOCH, tasks, **changes)
    await harness.async_advance_time(1.0)
    assert newest_progress(store).state is JobState.QUEUED
    return harness


def add_session(harness: OwnerHarness, store: MemoryStore) -> _Session:
    """Return a session whose acknowledgements are noted."""
    session = _Session(store)
    dispatcher = harness.owner.dispatcher
    assert dispatcher is not None
    dispatcher.sessions["w1"] = session  # type: ignore[assignment]
    return session


def end_tasks(harness: OwnerHarness, count: int) -> None:
    """Let the last tasks of the job end as done."""
    scheduler = harness.owner.scheduler
    step = scheduler.state.jobs[JOB].steps[0, 0]
    for task in step.tasks[-count:]:
        scheduler.intake.handle_task_done(task, harness.timers.monotonic())
    harness.owner.request_work()


async def test_completion_whose_append_is_under_way_is_not_shown() -> None:
    """Guard against an owner whose own entry reports a completion before it is stored.

    Guard also against a worker that forgets its ends meanwhile. The append of the
    completion is sent when the store goes away, and all entries lose power before it is
    back.
    """
    store = SilentStore()
    async with anyio.create_task_group() as tasks:
        harness = await async_own(store, tasks, 2)
        ledger = harness.dependencies.ledger
        session = add_session(harness, store)
        store.silent = True
        end_tasks(harness, 2)
        session.received_upto = 2
        await harness.async_advance_time(1.0)
        assert ledger.jobs[JOB].state is JobState.QUEUED
        assert all(number == 0 for number, _ in session.acknowledged)
        store.silent = False
        await harness.async_advance_time(1.0)
        assert ledger.jobs[JOB].state is JobState.DONE
        assert newest_progress(store).state is JobState.DONE
        assert session.acknowledged[-1][0] == 2
        tasks.cancel_scope.cancel()


async def test_job_that_an_older_build_reported_as_done_ends_at_the_owner() -> None:
    """Guard against a job that runs again, since only an entry knew its completion.

    An entry node of an older build reports it during a store outage, in which the
    worker and the owner are lost, and stores that after a new owner has begun.
    """
    store = MemoryStore()
    async with anyio.create_task_group() as tasks:
        harness = await async_own(store, tasks, 2)
        scheduler = harness.owner.scheduler
        assert JOB in scheduler.state.jobs
        store.append(TOPIC, [(PREFIX_REPORTED + JOB, encode(ReportedRecord(7.0)))])
        await harness.async_advance_time(1.0)
        assert JOB not in scheduler.state.jobs
        assert newest_progress(store).state is JobState.DONE
        tasks.cancel_scope.cancel()


async def test_ends_are_not_acknowledged_while_no_record_of_their_job_fits() -> None:
    """Guard against a task that runs again, since nobody but its owner knew its end.

    The bits of the job's done tasks alone are larger than the store accepts, so that
    nothing of its progress is stored.
    """
    store = MemoryStore()
    limits = AppendLimits(record_bytes=1_000)
    async with anyio.create_task_group() as tasks:
        harness = await async_own(store, tasks, TASKS, append_limits=limits)
        session = add_session(harness, store)
        end_tasks(harness, 1)
        session.received_upto = 1
        await harness.async_advance_time(1.0)
        tasks.cancel_scope.cancel()
    unstored = [
        progress
        for number, progress in session.acknowledged
        if number and not (progress.state.final or progress.steps)
    ]
    assert not unstored
