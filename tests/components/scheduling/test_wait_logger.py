"""Test how many log lines and which metrics are written of waiting steps."""

from __future__ import annotations

from collections import Counter

import pytest

from mustardward.components.scheduling.wait_logger import (
    MAX_LINES,
    MAX_WORKERS_SCANNED,
    WAIT_LOG_AFTER_SECONDS,
    WAIT_LOG_INTERVAL_SECONDS,
)
from mustardward.components.scheduling.wait_tracker import Reason
from mustardward.helpers.instruments import REGISTRY
from mustardward.platform.models import ENDED_DONE, Room

from .builders import JOB, SchedulerBench, a_job, a_step
from .test_wait_tracker import logged_waits, plan_for, plan_unanswered_starts

JOBS = 100


def a_bench_with_waiting_jobs(jobs: int = JOBS) -> SchedulerBench:
    """Return a bench whose only worker has room but is unusable."""
    bench = SchedulerBench()
    bench.worker("w1").stale = True
    for number in range(jobs):
        bench.add(a_job(job=f"{number:016x}"))
        bench.now += 0.001
    plan_for(bench)
    return bench


def oldest_seconds() -> float | None:
    return REGISTRY.get_sample_value("mustardward_oldest_task_wait_seconds")


def wait_count(reason: Reason) -> float:
    name = "mustardward_task_waits_total"
    return REGISTRY.get_sample_value(name, {"reason": reason.value}) or 0.0


def test_check_writes_a_bounded_number_of_lines_the_oldest_first(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against a log that is flooded when a whole pool waits."""
    bench = a_bench_with_waiting_jobs()
    lines = logged_waits(bench, caplog)
    assert [int(line["job"], 16) for line in lines] == list(range(MAX_LINES))
    (omitted,) = logged_waits(bench, caplog, "task_waits_omitted")
    assert omitted["count"] == str(JOBS - 2 * MAX_LINES)


def test_large_pool_gets_fewer_lines_per_check(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against an owner that is blocked while it scans thousands of workers."""
    bench = SchedulerBench()
    for number in range(MAX_WORKERS_SCANNED // 2 + 1):
        bench.worker(f"w{number}").stale = True
    for number in range(9):
        bench.add(a_job(job=f"{number:016x}"))
    plan_for(bench)
    assert len(logged_waits(bench, caplog)) == 2
    (omitted,) = logged_waits(bench, caplog, "task_waits_omitted")
    assert omitted["count"] == "5"


def test_each_step_is_logged_in_turn_and_not_again_soon(
    caplog: pytest.LogCaptureFixture,
) -> None:
    bench = a_bench_with_waiting_jobs()
    logged: Counter[str] = Counter()
    for _ in range(int(WAIT_LOG_INTERVAL_SECONDS)):
        logged.update(line["job"] for line in logged_waits(bench, caplog))
        plan_for(bench, 1.0)
    assert len(logged) == JOBS
    assert set(logged.values()) == {1}
    assert logged_waits(bench, caplog, "task_waits_omitted") == []


def test_a_step_is_logged_again_while_it_waits_on(
    caplog: pytest.LogCaptureFixture,
) -> None:
    bench = a_bench_with_waiting_jobs(jobs=1)
    logged = []
    for _ in range(10):
        logged += logged_waits(bench, caplog)
        plan_for(bench, 1.0)
    assert len(logged) == 2


def test_waits_are_counted_by_reason_in_each_check(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Waits without a log line count too, and each counts under its logged reason."""
    before = wait_count(Reason.NO_USABLE_WORKER)
    bench = a_bench_with_waiting_jobs()
    logged_waits(bench, caplog)
    assert wait_count(Reason.NO_USABLE_WORKER) - before == JOBS
    before = wait_count(Reason.RULES)
    bench = SchedulerBench()
    bench.worker("w1")
    bench.add(a_job(a_step(required_label="ssd")))
    plan_for(bench)
    logged_waits(bench, caplog)
    plan_for(bench, 1.0)
    logged_waits(bench, caplog)
    assert wait_count(Reason.RULES) - before == 2


def test_the_gauge_shows_the_oldest_wait_until_it_ends(
    caplog: pytest.LogCaptureFixture,
) -> None:
    bench = a_bench_with_waiting_jobs(jobs=2)
    logged_waits(bench, caplog)
    assert oldest_seconds() == pytest.approx(4.002)
    bench.scheduler.state.workers["w1"].stale = False
    starts = bench.plan_starts()
    logged_waits(bench, caplog)
    assert len(starts) == 4
    assert oldest_seconds() == 0.0


def test_the_gauge_shows_an_unfinished_command(
    caplog: pytest.LogCaptureFixture,
) -> None:
    bench = SchedulerBench()
    bench.worker("w1")
    bench.add(a_job())
    plan_unanswered_starts(bench)
    plan_for(bench, 2 * WAIT_LOG_AFTER_SECONDS)
    logged_waits(bench, caplog)
    assert oldest_seconds() == 2 * WAIT_LOG_AFTER_SECONDS


def test_checks_keep_nothing_of_ended_jobs(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against a memory leak."""
    bench = a_bench_with_waiting_jobs(jobs=9)
    logged_waits(bench, caplog)
    wait_logger = bench.scheduler.wait_logger
    assert wait_logger._logged and wait_logger.wait_tracker._decisions
    bench.scheduler.state.workers["w1"].stale = False
    for _ in range(4):
        for start in bench.plan_starts():
            bench.end(start.task, ENDED_DONE)
        bench.store()
    bench.plan()
    assert not bench.scheduler.state.jobs
    plan_for(bench, WAIT_LOG_INTERVAL_SECONDS)
    logged_waits(bench, caplog)
    assert not wait_logger._logged
    assert not wait_logger._record_sent_at
    assert not wait_logger._phase_since
    assert not wait_logger.wait_tracker._decisions


@pytest.mark.parametrize(
    ("free", "logged"),
    [
        ([(8000, 50, 0), (500, 8000, 0)], 0),
        ([(8000, 50, 0), (1000, 100, 0)], 1),
        ([(8000, 8000, 0)], 1),
    ],
)
def test_room_is_what_one_worker_has(
    free: list[tuple[int, int, int]], logged: int, caplog: pytest.LogCaptureFixture
) -> None:
    """Free cores of one worker and free memory of another are not room for a task."""
    bench = SchedulerBench()
    for number, (cpu, mem_mb, gpu) in enumerate(free):
        worker = bench.worker(f"w{number}", capacity=Room(cpu, mem_mb, gpu))
        worker.stale = True
    bench.add(a_job())
    plan_for(bench)
    assert [line["job"] for line in logged_waits(bench, caplog)] == [JOB] * logged
