"""Test that emptying workers never takes too many tasks of one step."""

from __future__ import annotations

from mustardward.components.scheduling.models import Task

from .builders import SchedulerBench, a_job, a_step


def long_running_on_three_workers() -> tuple[SchedulerBench, list[Task]]:
    """Return three lasting tasks of one step at work, one a worker; one may miss."""
    bench = SchedulerBench()
    for name in ("w1", "w2", "w3"):
        bench.worker(name)
    bench.add(a_job(a_step(count=3, long_running=True, may_miss=1)))
    starts = bench.plan_starts()
    tasks = [start.task for start in starts]
    assert sorted(start.worker for start in starts) == ["w1", "w2", "w3"]
    for task in tasks:
        bench.report_serving(task)
    return bench, tasks


def test_one_task_of_a_step_is_stopped_at_a_time() -> None:
    bench, tasks = long_running_on_three_workers()
    bench.scheduler.set_leaving("w1", True, bench.now)
    bench.scheduler.set_leaving("w2", True, bench.now)
    assert len(bench.plan_stops()) == 1
    assert bench.plan_stops() == []


def test_next_task_is_stopped_once_the_first_serves_again() -> None:
    bench, tasks = long_running_on_three_workers()
    bench.scheduler.set_leaving("w1", True, bench.now)
    bench.scheduler.set_leaving("w2", True, bench.now)
    (stop,) = bench.plan_stops()
    assert stop.task is not None
    bench.end(stop.task, "stopped")
    (start,) = bench.plan_starts()
    assert start.worker == "w3"
    assert bench.plan_stops() == []
    bench.report_serving(start.task)
    assert len(bench.plan_stops()) == 1


def test_tasks_of_a_silent_worker_count_as_missing() -> None:
    """No task is stopped beside those of a worker that fell silent.

    Symptom: maintenance ended a second task of a step that may miss one.
    Sequence: a worker crashed without a sign; its lease, and so its tasks, counted
    for five seconds more; meanwhile another worker of the step was emptied.
    Cause: a task's last report said that it was at work, however old the report was.
    """
    bench, tasks = long_running_on_three_workers()
    bench.scheduler.state.workers["w1"].stale = True
    bench.scheduler.set_leaving("w2", True, bench.now)
    assert bench.plan_stops() == []


def test_task_on_a_silent_leaving_worker_counts_as_serving() -> None:
    """A leaving worker's silence does not let its tasks be stopped together.

    Symptom: a second task of a step that may miss one was stopped on a worker that
    was being emptied.
    Sequence: the worker left one call unanswered while the first stop was under way.
    Cause: a task that is not known to be at work was stopped without a look at the
    others of its step.
    """
    bench = SchedulerBench()
    bench.worker("w1")
    bench.add(a_job(a_step(count=2, long_running=True, may_miss=1)))
    for start in bench.plan_starts():
        bench.report_serving(start.task)
    bench.scheduler.set_leaving("w1", True, bench.now)
    assert len(bench.plan_stops()) == 1
    bench.scheduler.state.workers["w1"].stale = True
    assert bench.plan_stops() == []


def test_old_reports_do_not_let_a_task_be_stopped() -> None:
    """An owner that reads late stops nothing on what it read long ago.

    Symptom: on an entry with half a core, tasks of one step were stopped beside others
    that had been gone for seconds.
    """
    bench, tasks = long_running_on_three_workers()
    bench.now += 3.0
    bench.scheduler.set_leaving("w2", True, bench.now)
    assert bench.plan_stops() == []
    for task in tasks:
        bench.report_serving(task)
    assert len(bench.plan_stops()) == 1


def test_two_tasks_that_may_have_started_serving_are_not_stopped_together() -> None:
    """Two tasks at work were ended at once, since neither was at its last report."""
    bench = SchedulerBench()
    bench.worker("w1")
    bench.add(a_job(a_step(count=2, long_running=True, may_miss=1)))
    assert len(bench.plan_starts()) == 2
    bench.worker("w2")
    bench.scheduler.set_leaving("w1", True, bench.now)
    assert bench.plan_stops() == []
    bench.report_serving(bench.task(0))
    bench.report_serving(bench.task(1))
    assert len(bench.plan_stops()) == 1
