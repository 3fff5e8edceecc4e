"""Test that runs without progress are stopped, and no others."""

from __future__ import annotations

from mustardward.components.scheduling.models import Phase

from .builders import SchedulerBench, a_job, a_row, a_step


def test_a_run_without_progress_is_stopped() -> None:
    bench = SchedulerBench()
    bench.worker("w1")
    bench.add(a_job(a_step(count=1, estimate_ms=500)))
    (start,) = bench.plan_starts()
    bench.now += 3.0
    bench.hold("w1", running=[a_row(start.task, 0.0)])
    (stop,) = bench.plan_stops()
    assert stop.run == start.run


def test_a_run_that_makes_progress_is_not_stopped() -> None:
    bench = SchedulerBench()
    bench.worker("w1")
    bench.add(a_job(a_step(count=1, estimate_ms=500)))
    (start,) = bench.plan_starts()
    for percent in (20.0, 40.0, 60.0):
        bench.now += 1.5
        bench.hold("w1", running=[a_row(start.task, percent)])
        assert bench.plan_stops() == []


def test_a_long_running_task_on_an_unresponsive_worker_is_not_stopped() -> None:
    """Guards against stopping serving tasks whose worker missed one call.

    The state of such tasks is unknown. Treated as not serving, they count as without
    progress since their start, so that more tasks of a step than may be missing are
    stopped at once.
    """
    bench = SchedulerBench()
    worker = bench.worker("w1")
    bench.add(a_job(a_step(count=2, long_running=True, may_miss=1)))
    starts = bench.plan_starts()
    for start in starts:
        bench.report_serving(start.task)
    bench.now += 30.0
    worker.stale = True
    assert bench.plan_stops() == []
    assert all(start.task.phase is Phase.RUNNING for start in starts)


def test_long_running_task_that_never_serves_is_stopped() -> None:
    bench = SchedulerBench()
    bench.worker("w1")
    bench.add(a_job(a_step(count=1, long_running=True, estimate_ms=500)))
    (start,) = bench.plan_starts()
    bench.now += 3.0
    bench.hold("w1", running=[a_row(start.task, 0.0)])
    (stop,) = bench.plan_stops()
    assert stop.run == start.run


def test_a_run_whose_reports_are_read_late_is_not_stopped() -> None:
    """Guards against stopping and repeating runs that make progress.

    An owner is blocked after a start for longer than a run may make no progress, and
    the worker's report of its progress is still unread. Only time that reports cover
    counts as time without progress.
    """
    bench = SchedulerBench()
    bench.worker("w1")
    bench.add(a_job(a_step(count=1, long_running=True, estimate_ms=500)))
    (start,) = bench.plan_starts()
    bench.now += 3.0
    assert bench.plan_stops() == []
    bench.hold("w1", running=[a_row(start.task, 100.0)])
    bench.now += 3.0
    assert bench.plan_stops() == []
    assert start.task.phase is Phase.RUNNING


def test_progress_is_timed_on_the_clock_of_the_reporting_worker() -> None:
    """Guards against stopping a run when an owner reads two reports late.

    The owner reads the second report seconds after the first one, but the worker made
    both within 0.2 s.
    """
    bench = SchedulerBench()
    bench.worker("w1")
    bench.add(a_job(a_step(count=1, estimate_ms=500)))
    (start,) = bench.plan_starts()
    bench.clock_ms = 5000.0
    bench.hold("w1", running=[a_row(start.task, 20.0)])
    bench.now += 3.0
    bench.clock_ms = 5200.0
    bench.hold("w1", running=[a_row(start.task, 20.0)])
    assert bench.plan_stops() == []
    bench.now += 0.2
    bench.clock_ms = 7200.0
    bench.hold("w1", running=[a_row(start.task, 20.0)])
    (stop,) = bench.plan_stops()
    assert stop.run == start.run
