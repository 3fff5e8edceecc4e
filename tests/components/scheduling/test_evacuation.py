"""Test that evacuating workers never stops too many tasks of one step."""

from __future__ import annotations

from mustardward.components.ledger.models import JobState, Progress
from mustardward.components.scheduling.const import RUN_BITS, STOP_GRACE_SECONDS
from mustardward.components.scheduling.models import Task
from mustardward.platform.workers import RunningTask

from .builders import SchedulerBench, a_job, a_step


def long_running_on_three_workers() -> tuple[SchedulerBench, list[Task]]:
    """Return three serving tasks of a step on three workers; one may be missing."""
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
    bench.scheduler.set_cordoned("w1", True, bench.now)
    bench.scheduler.set_cordoned("w2", True, bench.now)
    assert len(bench.plan_stops()) == 1
    assert bench.plan_stops() == []


def test_next_task_is_stopped_once_the_first_serves_again() -> None:
    bench, tasks = long_running_on_three_workers()
    bench.scheduler.set_cordoned("w1", True, bench.now)
    bench.scheduler.set_cordoned("w2", True, bench.now)
    (stop,) = bench.plan_stops()
    assert stop.task is not None
    bench.end(stop.task, "stopped")
    (start,) = bench.plan_starts()
    assert start.worker == "w3"
    assert bench.plan_stops() == []
    bench.report_serving(start.task)
    assert len(bench.plan_stops()) == 1


def test_tasks_of_an_unresponsive_worker_count_as_missing() -> None:
    """Guards against maintenance that stops a second task when one may be missing.

    A crashed worker's tasks stay assigned until its lease expires five seconds later.
    They must not count as serving by its last report while another worker of the step
    is evacuated.
    """
    bench, tasks = long_running_on_three_workers()
    bench.scheduler.state.workers["w1"].stale = True
    bench.scheduler.set_cordoned("w2", True, bench.now)
    assert bench.plan_stops() == []


def test_tasks_on_an_unresponsive_cordoned_worker_are_not_stopped_together() -> None:
    """Guards against stopping a second task of a step when one may be missing.

    The cordoned worker fails to respond to one call while the first stop is in flight.
    A task that is not known to be serving must not be stopped without checking the
    other tasks of its step.
    """
    bench = SchedulerBench()
    bench.worker("w1")
    bench.add(a_job(a_step(count=2, long_running=True, may_miss=1)))
    for start in bench.plan_starts():
        bench.report_serving(start.task)
    bench.scheduler.set_cordoned("w1", True, bench.now)
    assert len(bench.plan_stops()) == 1
    bench.scheduler.state.workers["w1"].stale = True
    assert bench.plan_stops() == []


def test_old_reports_do_not_let_a_task_be_stopped() -> None:
    """Guards against stopping tasks based on outdated reports.

    An owner on an entry node with half a core may read reports seconds late, when other
    tasks of the step are already lost.
    """
    bench, tasks = long_running_on_three_workers()
    bench.now += 3.0
    bench.scheduler.set_cordoned("w2", True, bench.now)
    assert bench.plan_stops() == []
    for task in tasks:
        bench.report_serving(task)
    assert len(bench.plan_stops()) == 1


def test_two_tasks_that_may_have_started_serving_are_not_stopped_together() -> None:
    """Guards against stopping two serving tasks that last reported not to serve."""
    bench = SchedulerBench()
    bench.worker("w1")
    bench.add(a_job(a_step(count=2, long_running=True, may_miss=1)))
    assert len(bench.plan_starts()) == 2
    bench.worker("w2")
    bench.scheduler.set_cordoned("w1", True, bench.now)
    assert bench.plan_stops() == []
    bench.report_serving(bench.task(0))
    bench.report_serving(bench.task(1))
    assert len(bench.plan_stops()) == 1


def test_task_that_the_previous_owner_may_have_stopped_is_not_serving() -> None:
    """Guards against two owners that each stop a task of a step, one of them missing.

    The previous owner's stop is on its way, or its worker takes its time, when the next
    owner reads that the task serves.
    """
    bench = SchedulerBench(epoch=2)
    job = a_job(a_step(count=2, long_running=True, may_miss=1))
    job.progress = Progress(JobState.RUNNING)
    bench.add(job)
    previous_run = 1 << RUN_BITS
    for index, name in enumerate(("w1", "w2")):
        bench.worker(name)
        row = RunningTask(bench.task(index).name, previous_run, "", 100.0, 0.0)
        bench.hold(name, running=[row])
    bench.scheduler.set_cordoned("w2", True, bench.now)
    assert bench.plan_stops() == []
    bench.now += STOP_GRACE_SECONDS
    for index in range(2):
        bench.report_serving(bench.task(index))
    assert len(bench.plan_stops()) == 1
