"""Test leased tasks on a simulated worker."""

from __future__ import annotations

from dataclasses import replace

import pytest

from mustardward.exceptions import (
    PlatformOutcomeUnknownError,
    PlatformRefusedError,
    StaleGenerationError,
)
from mustardward.standin.protocol.models import TaskOrder, TaskState
from mustardward.standin.tasks import TaskTable, UnknownTaskError

from ..fakes.platform import async_platform_bench, async_worker_bench

ORDER = TaskOrder(
    task_id="task-1",
    generation=3,
    organisation="dairy",
    service="ripening",
    payload=b'{"run_seconds": 100, "result": "ripe"}',
    checkpoint="",
    lease_seconds=1000.0,
    pool_generation=1,
)


def test_a_task_runs_to_its_end_under_its_lease() -> None:
    table = TaskTable()
    table.start(ORDER, 0.0)
    half = table.report("task-1", 50.0)
    done = table.report("task-1", 100.0)
    assert (half.state, half.progress) == (TaskState.RUNNING, 0.5)
    assert (done.state, done.result) == (TaskState.DONE, b"ripe")


def test_a_task_lapses_when_its_lease_is_not_renewed() -> None:
    """Guard against a task that runs on two workers.

    The holder is paused until the lease expires and another holder starts the task on
    another worker. The first run must end with its lease.
    """
    table = TaskTable()
    table.start(replace(ORDER, lease_seconds=10.0), 0.0)
    table.renew("task-1", 3, 10.0, 5.0)
    assert table.report("task-1", 14.0).state is TaskState.RUNNING
    lapsed = table.report("task-1", 60.0)
    renewed = table.renew("task-1", 3, 10.0, 61.0)
    assert lapsed.state is TaskState.LAPSED
    assert lapsed.progress == pytest.approx(0.15)
    assert renewed.state is TaskState.LAPSED


def test_the_next_attempt_resumes_from_the_checkpoint() -> None:
    table = TaskTable()
    table.start(ORDER, 0.0)
    stopped = table.checkpoint("task-1", 3, 40.0)
    resumed = replace(ORDER, generation=4, checkpoint=stopped.checkpoint)
    table.start(resumed, 50.0)
    assert stopped.state is TaskState.STOPPED
    assert table.report("task-1", 50.0).progress == pytest.approx(0.4)
    assert table.report("task-1", 110.0).state is TaskState.DONE


def test_a_throttled_task_frees_its_slot_and_continues_slowly() -> None:
    table = TaskTable()
    table.start(ORDER, 0.0)
    table.throttle("task-1", 3, 10.0)
    assert (table.running(10.0), table.active(10.0)) == (0, 1)
    assert table.report("task-1", 110.0).progress == pytest.approx(0.2)


def test_a_holder_with_an_older_generation_changes_nothing() -> None:
    """Guard against a task that a former holder stops.

    A holder is paused, the task is leased again, then the first holder resumes and
    stops it. The fencing generation must reject the call.
    """
    table = TaskTable()
    table.start(ORDER, 0.0)
    table.start(replace(ORDER, generation=4), 1.0)
    for call in (table.stop, table.checkpoint, table.throttle):
        with pytest.raises(StaleGenerationError):
            call("task-1", 3, 2.0)
    with pytest.raises(StaleGenerationError):
        table.start(ORDER, 2.0)
    report = table.report("task-1", 2.0)
    assert (report.generation, report.state) == (4, TaskState.RUNNING)


def test_a_repeated_start_of_one_attempt_runs_it_once() -> None:
    table = TaskTable()
    table.start(ORDER, 0.0)
    repeated = table.start(ORDER, 50.0)
    assert repeated.progress == 0.5
    assert len(table.runs(50.0)) == 1


def test_a_reboot_drops_the_task_and_keeps_the_fencing_generation() -> None:
    table = TaskTable()
    table.start(ORDER, 0.0)
    table.reboot(10.0)
    with pytest.raises(UnknownTaskError):
        table.report("task-1", 10.0)
    with pytest.raises(StaleGenerationError):
        table.start(replace(ORDER, generation=2), 11.0)
    assert [run.outcome for run in table.runs(11.0)] == ["cut"]


@pytest.mark.anyio
async def test_the_client_distinguishes_refusals_from_lost_responses() -> None:
    async with (
        async_platform_bench() as bench,
        async_worker_bench(bench.timers) as worker_bench,
    ):
        started = await bench.workers.async_start(worker_bench.address, ORDER)
        await bench.timers.async_advance(50.0)
        report = await bench.workers.async_report(worker_bench.address, "task-1")
        usage = await bench.workers.async_usage(worker_bench.address)
        worker_bench.worker.faults.change(busy=True)
        with pytest.raises(PlatformRefusedError):
            other = replace(ORDER, task_id="task-2")
            await bench.workers.async_start(worker_bench.address, other)
        stopped = await bench.workers.async_stop(worker_bench.address, "task-1", 3)
        worker_bench.worker.faults.change(down=True)
        with pytest.raises(PlatformOutcomeUnknownError):
            await bench.workers.async_renew(worker_bench.address, "task-1", 3, 5.0)
    assert started.state is TaskState.RUNNING
    assert report.progress == 0.5
    assert usage.slots_busy == 1
    assert stopped.state is TaskState.STOPPED
