"""Test starts that are rejected, get no response, or are lost with their worker."""

from __future__ import annotations

from mustardward.components.scheduling.commands import Start, Stop
from mustardward.components.scheduling.losses import LossCause
from mustardward.components.scheduling.models import Phase
from mustardward.platform.workers import REFUSED_ROOM

from .builders import SchedulerBench, a_job, a_row, a_step


def one_start() -> tuple[SchedulerBench, Start]:
    """Return a task whose start was sent to the first of two workers."""
    bench = SchedulerBench()
    bench.worker("w1")
    bench.worker("w2")
    bench.add(a_job(a_step(count=1)))
    (start,) = [c for c in bench.plan() if isinstance(c, Start)]
    return bench, start


def test_an_unanswered_start_is_stopped_before_the_task_goes_elsewhere() -> None:
    """Guards against two concurrent runs of one task.

    A start without a response may still be carried out seconds later, after the task
    has been started on another worker.
    """
    bench, start = one_start()
    bench.scheduler.reports.start_unknown(start.task, start.run)
    commands = bench.plan()
    assert [type(command) for command in commands] == [Stop]
    bench.now += 0.1
    bench.scheduler.reports.stop_answered(start.task, start.run, bench.now)
    assert bench.plan() == []
    bench.now += 0.1
    bench.hold(start.worker)
    (again,) = [c for c in bench.plan() if isinstance(c, Start)]
    assert again.run > start.run


def test_a_report_from_before_the_stop_does_not_free_the_task() -> None:
    bench, start = one_start()
    bench.scheduler.reports.start_unknown(start.task, start.run)
    bench.plan()
    bench.hold(start.worker)
    assert start.task.phase is Phase.UNCERTAIN


def test_an_unanswered_start_that_ran_and_ended_done_is_done() -> None:
    bench, start = one_start()
    bench.scheduler.reports.start_unknown(start.task, start.run)
    bench.end(start.task, "done")
    assert start.task.phase is Phase.DONE


def test_a_start_without_room_waits_and_goes_elsewhere() -> None:
    bench, start = one_start()
    bench.scheduler.reports.start_answered(
        start.task, start.run, REFUSED_ROOM, bench.now
    )
    (again,) = [c for c in bench.plan() if isinstance(c, Start)]
    assert again.worker != start.worker


def test_a_second_run_that_a_worker_lists_is_stopped() -> None:
    bench, start = one_start()
    bench.accept(start)
    other = "w2" if start.worker == "w1" else "w1"
    bench.hold(other, running=[a_row(start.task, 10.0)])
    stops = [c for c in bench.plan() if isinstance(c, Stop)]
    assert [stop.worker for stop in stops] == [other]
    assert start.task.phase is Phase.RUNNING


def test_tasks_of_a_lost_worker_start_elsewhere_from_their_checkpoint() -> None:
    bench, start = one_start()
    bench.accept(start)
    bench.hold(start.worker, running=[a_row(start.task, 50.0, "half")])
    bench.scheduler.remove_worker(start.worker, LossCause.UNLISTED, bench.now)
    assert not bench.plan_starts()
    bench.store()
    (again,) = [c for c in bench.plan() if isinstance(c, Start)]
    assert again.worker != start.worker
    assert again.task.checkpoint == "half"
