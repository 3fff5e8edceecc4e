"""Test that withheld workers and tasks are used again as soon as they may be."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio
import msgspec
import pytest

from mustardward.components.dispatch.const import LEASE_SECONDS
from mustardward.components.ledger.bitset import pack_indices
from mustardward.components.ledger.ledger import LedgerJob
from mustardward.components.ledger.models import JobState, Progress, StepProgress
from mustardward.components.ownership.directory import WorkerDirectory
from mustardward.components.scheduling.models import Phase
from mustardward.platform.bodies import StartBody
from mustardward.platform.exceptions import CallUnknownError
from mustardward.platform.store import KeyedRecord
from mustardward.platform.workers import (
    StartRequest,
    StartResponse,
    TaskName,
    WorkerReport,
)
from mustardward.standin.estate.worker import STOP_DURATION_MS, MemoryWorker, Workload

from ...platform.test_entries import GOOD
from ..scheduling.builders import POOL, a_job, a_step
from .test_restarts import ROOM, STARTED_AT_MS, WORKER, RestartHarness, UnansweredClient

pytestmark = pytest.mark.anyio

PREVIOUS_RUN = (1 << 20) + 1
PREVIOUS_JOB = "00000000000000bb"
FULL_SIZE_STEP = a_step(count=1, cpu=ROOM.cpu, mem_mb=ROOM.mem_mb, long_running=True)


@asynccontextmanager
async def a_takeover(*, running: str, job: LedgerJob) -> AsyncIterator[RestartHarness]:
    """Yield an owner that takes over a worker with a run of the previous owner.

    :param running: the run's task, which occupies the whole worker.
    :param job: its job as the log has it.
    """
    async with anyio.create_task_group() as tasks:
        harness = RestartHarness(tasks)
        workloads = harness.worker.workloads
        workloads[f"{PREVIOUS_JOB}.0"] = Workload(ROOM, 60.0, long_running=True)
        harness.worker.process = MemoryWorker(
            WORKER, "m", POOL, ROOM, workloads, started_at_ms=STARTED_AT_MS
        )
        order = StartBody(running, PREVIOUS_RUN, "x", 10**9, 1)
        assert harness.worker.process.start(order, 100_000.0) == ""
        harness.scheduler.add_job(job, harness.timers.monotonic(), 0.0)
        harness.update_entry()
        yield harness
        tasks.cancel_scope.cancel()


async def async_check_worker_is_used(harness: RestartHarness) -> None:
    """Check that a task of the worker's full size runs once the stop is complete."""
    await harness.async_advance_time(STOP_DURATION_MS / 1000 + 1.0)
    harness.worker.process.advance(harness.worker.clock_ms())
    assert not harness.worker.process.runs
    harness.add(FULL_SIZE_STEP)
    await harness.async_advance_time(12.0)
    worker = harness.scheduler.state.workers[WORKER]
    assert (worker.unknown_runs, worker.orphan_steps) == (False, [])
    assert (worker.free_cpu, harness.task().phase) == (0, Phase.RUNNING)


async def test_worker_is_used_after_run_of_cancelled_job_ended() -> None:
    """Guard against an idle worker that never gets a task again."""
    cancelled = a_job(FULL_SIZE_STEP, job=PREVIOUS_JOB)
    cancelled.cancelled_at = 5.0
    async with a_takeover(running=f"{PREVIOUS_JOB}.0.0.0", job=cancelled) as harness:
        await async_check_worker_is_used(harness)


async def test_orphan_run_frees_its_capacity_when_it_ends() -> None:
    """Guard against free capacity that is never used on a worker without other runs."""
    unfinished = a_job(
        a_step(count=2, cpu=ROOM.cpu, mem_mb=ROOM.mem_mb), job=PREVIOUS_JOB
    )
    marks = [StepProgress(0, 0, pack_indices([0]))]
    unfinished.progress = Progress(JobState.RUNNING, marks, [])
    async with a_takeover(running=f"{PREVIOUS_JOB}.0.0.0", job=unfinished) as harness:
        harness.scheduler.cancel_job(PREVIOUS_JOB)
        await async_check_worker_is_used(harness)


async def test_task_of_unreachable_worker_is_released_after_its_lease() -> None:
    """Guard against tasks of an unreachable worker that never start elsewhere."""
    async with anyio.create_task_group() as tasks:
        harness = RestartHarness(tasks)
        harness.update_entry()
        await harness.async_advance_time(0.3)
        harness.add(a_step(count=1, long_running=True))
        await harness.async_advance_time(0.3)
        assert harness.task().phase is Phase.RUNNING
        harness.worker.unreachable = True
        await harness.async_advance_time(4 * LEASE_SECONDS)
        phase = harness.task().phase
        tasks.cancel_scope.cancel()
    assert phase is Phase.WAITING


async def test_worker_first_seen_in_another_service_is_used_in_its_own() -> None:
    """Guard against a worker that gets no task until the owner changes."""
    async with anyio.create_task_group() as tasks:
        harness = RestartHarness(tasks)
        harness.update_entry(service="no-such-service")
        await harness.async_advance_time(0.3)
        harness.update_entry()
        harness.add(a_step(count=1, long_running=True))
        await harness.async_advance_time(12.0)
        worker = harness.scheduler.state.workers[WORKER]
        tasks.cancel_scope.cancel()
    assert (worker.absent, worker.service) == (False, POOL)
    assert harness.task().phase is Phase.RUNNING


async def test_worker_is_used_again_after_an_unreadable_entry() -> None:
    """Check that the entry from before the unreadable one makes the worker usable."""
    async with anyio.create_task_group() as tasks:
        harness = RestartHarness(tasks)
        harness.update_entry()
        await harness.async_advance_time(0.3)
        directory = WorkerDirectory(
            harness.dispatcher.update_worker,
            lambda name: harness.scheduler.mark_worker_missing(
                name, harness.timers.monotonic()
            ),
            harness.scheduler.mark_worker_absent,
        )
        good = {**GOOD, "service": POOL, "born": STARTED_AT_MS}
        for entry in (good, {**good, "state": "?"}, good):
            directory.apply(KeyedRecord(1, WORKER, msgspec.json.encode(entry)))
            worker = harness.scheduler.state.workers[WORKER]
            assert worker.absent == (entry["state"] == "?")
        directory.apply(KeyedRecord(1, WORKER, b""))
        await harness.async_advance_time(4.0)
        assert worker.absent
        directory.apply(KeyedRecord(1, WORKER, msgspec.json.encode(good)))
        assert not worker.absent
        tasks.cancel_scope.cancel()


async def test_stop_must_be_acknowledged_by_the_current_incarnation() -> None:
    """Guard against a task that runs twice."""
    release = anyio.Event()

    class _PreviousIncarnation:
        async def async_start(self, order: StartRequest) -> StartResponse:
            raise CallUnknownError("no answer")

        async def async_stop(self, task: TaskName, run: int) -> None:
            await release.wait()

        async def async_poll(self, *_: object) -> WorkerReport:
            await anyio.sleep_forever()
            raise AssertionError

    async with anyio.create_task_group() as tasks:
        harness = RestartHarness(tasks)
        harness.update_entry()
        await harness.async_advance_time(0.3)
        harness.add(a_step(count=1, long_running=True))
        previous = harness.session
        for _ in range(2):
            previous.client = _PreviousIncarnation()  # type: ignore[assignment]
            now = harness.timers.monotonic()
            harness.dispatcher.executor.execute(harness.scheduler.plan(now, 0.0))
            await anyio.wait_all_tasks_blocked()
        assert harness.task().phase is Phase.UNCERTAIN
        harness.worker.restart()
        harness.update_entry()
        harness.session.client = UnansweredClient()  # type: ignore[assignment]
        assert harness.session is not previous
        release.set()
        await anyio.wait_all_tasks_blocked()
        acknowledged_at = harness.task().stop_acknowledged_at
        tasks.cancel_scope.cancel()
    assert acknowledged_at is None


async def test_foreign_entry_followed_by_the_workers_own_has_no_effect() -> None:
    """Guard against a worker that is used according to a foreign entry."""
    async with anyio.create_task_group() as tasks:
        harness = RestartHarness(tasks)
        harness.update_entry()
        await harness.async_advance_time(0.3)
        for _ in range(8):
            harness.update_entry(service="no-such-service")
            await harness.async_advance_time(0.5)
            harness.update_entry()
            await harness.async_advance_time(0.5)
        worker = harness.scheduler.state.workers[WORKER]
        assert (worker.absent, worker.service) == (False, POOL)
        harness.update_entry(service="no-such-service")
        harness.scheduler.mark_worker_absent(WORKER)
        await harness.async_advance_time(4.0)
        assert (worker.absent, worker.service) == (True, POOL)
        tasks.cancel_scope.cancel()


async def test_worker_changes_service_only_while_it_has_no_runs() -> None:
    """Guard against a task that runs on a worker of another service."""
    async with anyio.create_task_group() as tasks:
        harness = RestartHarness(tasks)
        harness.update_entry()
        await harness.async_advance_time(0.3)
        harness.add(a_step(count=1, long_running=True))
        await harness.async_advance_time(0.3)
        assert harness.task().phase is Phase.RUNNING
        harness.update_entry(service="no-such-service")
        worker = harness.scheduler.state.workers[WORKER]
        for _ in range(120):
            await harness.async_advance_time(0.1)
            harness.worker.process.advance(harness.worker.clock_ms())
            runs = worker.has_runs or harness.worker.process.runs
            assert worker.service == POOL or not runs
        assert (worker.absent, worker.service) == (False, "no-such-service")
        assert harness.task().phase is Phase.WAITING
        tasks.cancel_scope.cancel()
