"""Test starts that are rejected, get no response, or are lost with their worker."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from mustardward.components.scheduling.commands import Command, Start, Stop
from mustardward.components.scheduling.const import (
    SAME_WORKER_SECONDS,
    START_REPEAT_SECONDS,
)
from mustardward.components.scheduling.losses import LossCause
from mustardward.components.scheduling.models import Phase, QueuePolicy
from mustardward.platform.workers import REFUSED_OLD, REFUSED_ROOM, RunningTask

from .builders import SchedulerBench, a_job, a_row, a_step, an_entry


def one_start() -> tuple[SchedulerBench, Start]:
    """Return a task whose start was sent to the first of two workers."""
    bench = SchedulerBench()
    bench.worker("w1")
    bench.worker("w2")
    bench.add(a_job(a_step(count=1)))
    (start,) = [c for c in bench.plan() if isinstance(c, Start)]
    return bench, start


def test_an_unanswered_start_is_repeated_on_its_worker() -> None:
    """Guards against two concurrent runs of one task.

    A start without a response may still be carried out seconds later, after the task
    has been started on another worker.
    """
    bench, start = one_start()
    bench.scheduler.reports.start_unknown(start.task, start.run, bench.now)
    assert bench.plan() == []
    bench.now += 0.1
    bench.hold(start.worker)
    assert bench.plan() == [start]


def give_up(bench: SchedulerBench, start: Start) -> None:
    """Leave a start unanswered until its worker is told to reject it."""
    until = bench.now + START_REPEAT_SECONDS + 0.5
    commands: list[Command] = [start]
    while not any(isinstance(command, Stop) for command in commands):
        if commands:
            bench.scheduler.reports.start_unknown(start.task, start.run, bench.now)
        bench.now += 0.1
        bench.hold(start.worker)
        commands = bench.plan()
        assert bench.now < until
    assert [type(command) for command in commands] == [Stop]


def test_an_unanswered_start_is_stopped_before_the_task_starts_again() -> None:
    """Guards against two concurrent runs on a worker that leaves starts unanswered."""
    bench, start = one_start()
    give_up(bench, start)
    bench.now += 0.1
    bench.scheduler.reports.stop_answered(start.task, start.run, bench.now)
    assert bench.plan() == []
    bench.now += 0.1
    bench.hold(start.worker)
    (again,) = [c for c in bench.plan() if isinstance(c, Start)]
    assert again.run > start.run
    assert again.worker == start.worker


def test_a_task_goes_elsewhere_if_its_worker_has_no_room_for_it() -> None:
    """Guards against work that waits for a full worker while others are free."""
    bench, start = one_start()
    give_up(bench, start)
    bench.scheduler.reports.stop_answered(start.task, start.run, bench.now)
    bench.scheduler.set_cordoned(start.worker, True, bench.now)
    bench.hold(start.worker)
    bench.now += SAME_WORKER_SECONDS - 0.1
    assert not bench.plan_starts()
    bench.now += 0.2
    (again,) = bench.plan_starts()
    assert again.worker != start.worker


@pytest.mark.parametrize("reason", [REFUSED_ROOM, REFUSED_OLD])
def test_a_repeated_start_that_is_rejected_may_still_be_executed(reason: str) -> None:
    """Guards against a second run beside that of the start before."""
    bench, start = one_start()
    bench.scheduler.reports.start_unknown(start.task, start.run, bench.now)
    bench.hold(start.worker)
    assert bench.plan() == [start]
    reports = bench.scheduler.reports
    reports.start_answered(start.task, start.run, reason, bench.now)
    assert [type(command) for command in bench.plan()] == [Stop]


def drain(bench: SchedulerBench, worker: str) -> None:
    """Let a worker report that it drains."""
    entry = an_entry(state="draining", remaining_ms=5000)
    bench.scheduler.update_worker(worker, entry, bench.now)


def cordon(bench: SchedulerBench, worker: str) -> None:
    """Cordon a worker."""
    bench.scheduler.set_cordoned(worker, True, bench.now)


def reroute(bench: SchedulerBench, worker: str) -> None:
    """Send the queue to another pool."""
    bench.policy = QueuePolicy(service="pool-b")
    bench.scheduler.update_policies()


@pytest.mark.parametrize("change", [drain, cordon, reroute])
def test_a_start_is_not_repeated_where_the_task_may_not_start_any_more(
    change: Callable[[SchedulerBench, str], None],
) -> None:
    """Guards against starts on workers that are leaving or of another pool."""
    bench, start = one_start()
    bench.scheduler.reports.start_unknown(start.task, start.run, bench.now)
    change(bench, start.worker)
    bench.hold(start.worker)
    assert [type(command) for command in bench.plan()] == [Stop]


def restart(bench: SchedulerBench, worker: str, born: int) -> None:
    """Restart a worker under its id."""
    entry = an_entry(born=born)
    bench.scheduler.replace_worker(worker, born, entry, bench.now)
    bench.store()


def test_a_delayed_start_in_the_next_incarnation_is_the_only_run() -> None:
    """Guards against two concurrent runs after a restart of a worker.

    A start is left unanswered, and the worker does not list the run. Seconds later the
    worker restarts under its id and executes the start at once: it knows neither a stop
    nor a fencing token.
    """
    bench, start = one_start()
    bench.scheduler.reports.start_unknown(start.task, start.run, bench.now)
    bench.hold(start.worker)
    assert bench.plan() == [start]
    bench.accept(start)
    bench.hold(start.worker, running=[a_row(start.task, 10.0)])
    bench.now += 5.0
    restart(bench, start.worker, 2)
    bench.now += 1.0
    assert not bench.plan_starts()
    bench.hold(
        start.worker, running=[RunningTask(start.task.name, start.run, "", 1.0, 0.0)]
    )
    assert not bench.plan_starts()
    assert start.task.phase is Phase.RUNNING
    assert start.task.worker is bench.scheduler.state.workers[start.worker]


def test_a_task_whose_worker_restarted_starts_there_once_it_reports() -> None:
    """Guards against tasks that wait for a start that the worker has not executed."""
    bench, start = one_start()
    bench.scheduler.reports.start_unknown(start.task, start.run, bench.now)
    bench.hold(start.worker)
    bench.plan()
    bench.accept(start)
    bench.hold(start.worker, running=[a_row(start.task, 10.0)])
    restart(bench, start.worker, 2)
    assert not bench.plan_starts()
    bench.hold(start.worker)
    (again,) = bench.plan_starts()
    assert again.worker == start.worker


def test_a_task_whose_only_start_was_executed_is_free_to_start_elsewhere() -> None:
    """Guards against tasks that wait for a start which can't be executed again."""
    bench, start = one_start()
    bench.scheduler.reports.start_unknown(start.task, start.run, bench.now)
    bench.hold(start.worker, running=[a_row(start.task, 10.0)])
    assert start.task.phase is Phase.RUNNING
    restart(bench, start.worker, 2)
    (again,) = bench.plan_starts()
    assert again.worker != start.worker


def test_a_report_from_before_the_stop_does_not_free_the_task() -> None:
    bench, start = one_start()
    bench.scheduler.reports.start_unknown(start.task, start.run, bench.now)
    bench.plan()
    bench.hold(start.worker)
    assert start.task.phase is Phase.UNCERTAIN


def test_an_unanswered_start_that_ran_and_ended_done_is_done() -> None:
    bench, start = one_start()
    bench.scheduler.reports.start_unknown(start.task, start.run, bench.now)
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
