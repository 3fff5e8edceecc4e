"""Test that a worker, or work, that was held back is given back once it may be."""

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
from mustardward.platform.workers import HoldAnswer, StartAnswer, StartOrder, TaskName
from mustardward.standin.estate.worker import STOP_MS, MemoryWorker, Work

from ...platform.test_entries import GOOD
from ..scheduling.builders import POOL, a_job, a_step
from .test_reborn import BORN, ROOM, WORKER, RebornBench, _Never

pytestmark = pytest.mark.anyio

OLD_RUN = (1 << 20) + 1
OLD_JOB = "00000000000000bb"
WHOLE = a_step(count=1, cpu=ROOM.cpu, mem_mb=ROOM.mem_mb, long_running=True)


@asynccontextmanager
async def a_takeover(*, running: str, ledger: LedgerJob) -> AsyncIterator[RebornBench]:
    """Yield an owner that takes over a worker on which an owner before left a run.

    :param running: the run's task, which takes the whole worker.
    :param ledger: what the log says of its job.
    """
    async with anyio.create_task_group() as tasks:
        bench = RebornBench(tasks)
        work_of = bench.worker.work_of
        work_of[f"{OLD_JOB}.0"] = Work(ROOM, 60.0, lasts=True)
        bench.worker.process = MemoryWorker(WORKER, "m", POOL, ROOM, work_of, born=BORN)
        order = StartBody(running, OLD_RUN, "x", 10**9, 1)
        assert bench.worker.process.start(order, 100_000.0) == ""
        bench.scheduler.add_job(ledger, bench.timers.monotonic(), 0.0)
        bench.see()
        yield bench
        tasks.cancel_scope.cancel()


async def async_check_used(bench: RebornBench) -> None:
    """Check that the worker runs what needs all of it, once the stop is over."""
    await bench.async_pass(STOP_MS / 1000 + 1.0)
    bench.worker.process.advance(bench.worker._clock())
    assert not bench.worker.process.runs
    bench.add(WHOLE)
    await bench.async_pass(12.0)
    worker = bench.scheduler.state.workers[WORKER]
    assert (worker.unknown_runs, worker.orphan_steps) == (False, [])
    assert (worker.free_cpu, bench.task().phase) == (0, Phase.RUNNING)


async def test_a_worker_with_a_run_of_a_cancelled_job_is_used_once_it_ended() -> None:
    """A worker that nothing runs on is given nothing, as long as it lives."""
    cancelled = a_job(WHOLE, job=OLD_JOB)
    cancelled.cancelled_at = 5.0
    async with a_takeover(running=f"{OLD_JOB}.0.0.0", ledger=cancelled) as bench:
        await async_check_used(bench)


async def test_a_stray_gives_its_room_back_once_it_ended() -> None:
    """Room that nothing takes is never given, where nothing else runs."""
    half_done = a_job(a_step(count=2, cpu=ROOM.cpu, mem_mb=ROOM.mem_mb), job=OLD_JOB)
    marks = [StepProgress(0, 0, pack_indices([0]))]
    half_done.progress = Progress(JobState.RUNNING, marks, [])
    async with a_takeover(running=f"{OLD_JOB}.0.0.0", ledger=half_done) as bench:
        bench.scheduler.cancel_job(OLD_JOB)
        await async_check_used(bench)


async def test_a_worker_that_falls_silent_is_lost_when_its_longest_lease_is_over() -> (
    None
):
    """What runs on a worker that is cut off never goes elsewhere."""
    async with anyio.create_task_group() as tasks:
        bench = RebornBench(tasks)
        bench.see()
        await bench.async_pass(0.3)
        bench.add(a_step(count=1, long_running=True))
        await bench.async_pass(0.3)
        assert bench.task().phase is Phase.RUNNING
        bench.worker.dark = True
        await bench.async_pass(4 * LEASE_SECONDS)
        phase = bench.task().phase
        tasks.cancel_scope.cancel()
    assert phase is Phase.WAITING


async def test_a_worker_first_read_under_another_service_is_used_under_its_own() -> (
    None
):
    """A worker is given nothing for as long as its owner lives."""
    async with anyio.create_task_group() as tasks:
        bench = RebornBench(tasks)
        bench.see(service="no-such-service")
        await bench.async_pass(0.3)
        bench.see()
        bench.add(a_step(count=1, long_running=True))
        await bench.async_pass(12.0)
        worker = bench.scheduler.state.workers[WORKER]
        tasks.cancel_scope.cancel()
    assert (worker.absent, worker.service) == (False, POOL)
    assert bench.task().phase is Phase.RUNNING


async def test_a_worker_whose_entry_could_not_be_read_is_used_once_it_can() -> None:
    """The same entry as before the unreadable one ends what the latter began."""
    async with anyio.create_task_group() as tasks:
        bench = RebornBench(tasks)
        bench.see()
        await bench.async_pass(0.3)
        directory = WorkerDirectory(
            bench.dispatcher.update_worker,
            lambda name: bench.scheduler.mark_worker_missing(
                name, bench.timers.monotonic()
            ),
            bench.scheduler.mark_worker_absent,
        )
        good = {**GOOD, "service": POOL, "born": BORN}
        for entry in (good, {**good, "state": "?"}, good):
            directory.apply(KeyedRecord(1, WORKER, msgspec.json.encode(entry)))
            worker = bench.scheduler.state.workers[WORKER]
            assert worker.absent == (entry["state"] == "?")
        directory.apply(KeyedRecord(1, WORKER, b""))
        await bench.async_pass(4.0)
        assert worker.absent
        directory.apply(KeyedRecord(1, WORKER, msgspec.json.encode(good)))
        assert not worker.absent
        tasks.cancel_scope.cancel()


async def test_a_stop_is_acknowledged_by_the_incarnation_that_may_run_it() -> None:
    """A task runs twice."""
    release = anyio.Event()

    class _Before:
        async def async_start(self, order: StartOrder) -> StartAnswer:
            raise CallUnknownError("no answer")

        async def async_stop(self, task: TaskName, run: int) -> None:
            await release.wait()

        async def async_hold(self, *_: object) -> HoldAnswer:
            await anyio.sleep_forever()
            raise AssertionError

    async with anyio.create_task_group() as tasks:
        bench = RebornBench(tasks)
        bench.see()
        await bench.async_pass(0.3)
        bench.add(a_step(count=1, long_running=True))
        before = bench.session
        for _ in range(2):
            before.client = _Before()  # type: ignore[assignment]
            now = bench.timers.monotonic()
            bench.dispatcher.orders.execute(bench.scheduler.plan(now, 0.0))
            await anyio.wait_all_tasks_blocked()
        assert bench.task().phase is Phase.UNCERTAIN
        bench.worker.restart()
        bench.see()
        bench.session.client = _Never()  # type: ignore[assignment]
        assert bench.session is not before
        release.set()
        await anyio.wait_all_tasks_blocked()
        acknowledged_at = bench.task().stop_acknowledged_at
        tasks.cancel_scope.cancel()
    assert acknowledged_at is None


async def test_another_writers_entry_that_the_workers_own_follows_changes_nothing() -> (
    None
):
    """Guards against a worker that is used as another writer has it."""
    async with anyio.create_task_group() as tasks:
        bench = RebornBench(tasks)
        bench.see()
        await bench.async_pass(0.3)
        for _ in range(8):
            bench.see(service="no-such-service")
            await bench.async_pass(0.5)
            bench.see()
            await bench.async_pass(0.5)
        worker = bench.scheduler.state.workers[WORKER]
        assert (worker.absent, worker.service) == (False, POOL)
        bench.see(service="no-such-service")
        bench.scheduler.mark_worker_absent(WORKER)
        await bench.async_pass(4.0)
        assert (worker.absent, worker.service) == (True, POOL)
        tasks.cancel_scope.cancel()


async def test_a_worker_changes_its_service_only_while_nothing_runs_there() -> None:
    """Guards against a task that runs on a worker of another service than its own."""
    async with anyio.create_task_group() as tasks:
        bench = RebornBench(tasks)
        bench.see()
        await bench.async_pass(0.3)
        bench.add(a_step(count=1, long_running=True))
        await bench.async_pass(0.3)
        assert bench.task().phase is Phase.RUNNING
        bench.see(service="no-such-service")
        worker = bench.scheduler.state.workers[WORKER]
        for _ in range(120):
            await bench.async_pass(0.1)
            bench.worker.process.advance(bench.worker._clock())
            runs = worker.has_runs or bench.worker.process.runs
            assert worker.service == POOL or not runs
        assert (worker.absent, worker.service) == (False, "no-such-service")
        assert bench.task().phase is Phase.WAITING
        tasks.cancel_scope.cancel()
