"""Test that runs that stand still are stopped, and no others."""

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


def test_a_run_that_makes_progress_goes_on() -> None:
    bench = SchedulerBench()
    bench.worker("w1")
    bench.add(a_job(a_step(count=1, estimate_ms=500)))
    (start,) = bench.plan_starts()
    for percent in (20.0, 40.0, 60.0):
        bench.now += 1.5
        bench.hold("w1", running=[a_row(start.task, percent)])
        assert bench.plan_stops() == []


def test_a_long_running_task_on_a_silent_worker_is_not_stopped() -> None:
    """A worker's silence is no reason to stop the lasting tasks on it.

    Symptom: three tasks of one step were stopped at once, though one may miss.
    Sequence: a worker left one call unanswered; its tasks, at work for a long time,
    counted as away, and so as standing still since they had begun.
    Cause: "not known to be at work" was taken for "known not to be at work".
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
    """Symptom: tasks at work are stopped and done again beside others that go on.

    Sequence: an owner is held up after a start for longer than a run may stand still;
    the worker's report of its progress lies unread. Cause: the time until now counted
    as time without progress, of which no report had told anything.
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
    """Symptom: as above, by an owner that reads two reports late, one behind another.

    Sequence: a poll that left long ago is read after a hold-up of seconds; its report
    was made within a moment of the one before.
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
