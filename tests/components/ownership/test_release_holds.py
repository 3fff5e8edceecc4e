"""Test how long starts are held that releases name."""

from __future__ import annotations

from mustardward.components.ledger.models import OwnerRecord, UnansweredStart
from mustardward.components.ownership.takeover import (
    hold_previous_runs,
    list_unanswered_starts,
)
from mustardward.components.scheduling.const import RESTART_SECONDS, SAME_WORKER_SECONDS
from mustardward.components.scheduling.losses import LossCause
from mustardward.platform.workers import TaskName, encode_task

from ..scheduling.builders import (
    HOLD_SECONDS,
    JOB,
    SchedulerBench,
    a_job,
    a_row,
    a_step,
    an_entry,
)
from ..scheduling.test_held_starts import (
    a_held_task,
    a_second_start,
    a_task_that_runs_on_its_worker,
)

TENURE_SECONDS = 20.0
START = UnansweredStart(
    encode_task(TaskName(JOB, 0, 0, 0)), 1 << 20, "lost", HOLD_SECONDS
)


def a_successor(bench: SchedulerBench, starts: list[UnansweredStart]) -> None:
    """Take over from an owner whose release names some starts."""
    state = bench.scheduler.state
    release = OwnerRecord(1, "c", "", 5, settled=True, unanswered=starts)
    hold_previous_runs(state, release, bench.now)
    state.takeover_hold_until = 0.0


def hand_over(bench: SchedulerBench) -> SchedulerBench:
    """Return the next owner, which knows a worker that the last one did not."""
    released = list_unanswered_starts(bench.scheduler.state, bench.now)
    successor = SchedulerBench(epoch=2, now=bench.now)
    successor.worker("w3")
    successor.add(a_job(a_step(count=1)))
    a_successor(successor, released or [])
    return successor


def test_hold_of_a_start_does_not_begin_again_with_each_owner() -> None:
    """Guard against a task that waits for a lost worker under each new owner."""
    now = started_at = SchedulerBench().now
    starts = [START]
    planned = 0
    while now < started_at + HOLD_SECONDS + TENURE_SECONDS:
        bench = SchedulerBench(epoch=2)
        bench.now = now
        bench.worker("w1")
        bench.add(a_job(a_step(count=1)))
        a_successor(bench, starts)
        bench.now = now = now + TENURE_SECONDS
        planned += len(bench.plan_starts())
        starts = list_unanswered_starts(bench.scheduler.state, now) or []
    assert planned


def test_expired_hold_of_a_job_that_is_over_is_not_named_again() -> None:
    """Guard against releases that name more and more starts."""
    bench = SchedulerBench(epoch=2)
    a_successor(bench, [START])
    bench.now += HOLD_SECONDS + 1.0
    bench.plan()
    assert not list_unanswered_starts(bench.scheduler.state, bench.now)


def test_hold_ends_once_a_worker_without_session_is_known_to_be_gone() -> None:
    """Guard against a task that waits for a worker that is not listed any more."""
    bench, start = a_held_task()
    for _ in range(2):
        bench.scheduler.remove_worker(start.worker, LossCause.UNLISTED, bench.now)
        assert not bench.plan_starts()
        bench.now += RESTART_SECONDS / 2
    assert len(bench.plan_starts()) == 1


def test_hold_that_its_owner_has_ended_does_not_begin_again_with_the_next_one() -> None:
    """Guard against a task that waits for the worker of a start that was let go."""
    bench, start = a_held_task()
    bench.scheduler.remove_worker(start.worker, LossCause.UNLISTED, bench.now)
    bench.now += RESTART_SECONDS + 0.1
    successor = hand_over(bench)
    assert len(successor.plan_starts()) == 1


def test_hold_of_a_task_that_runs_on_its_worker_goes_on_with_the_next_owner() -> None:
    """Guard against a late start in a restarted worker beside a run elsewhere."""
    bench, _ = a_task_that_runs_on_its_worker()
    successor = hand_over(bench)
    assert not successor.plan_starts()


def test_hold_of_a_task_that_runs_elsewhere_ends_with_its_workers_report() -> None:
    """Guard against a task that waits for an idle worker, which is not polled again."""
    bench = SchedulerBench(epoch=2)
    bench.add(a_job(a_step(count=1, long_running=True)))
    a_successor(bench, [START])
    bench.worker("running")
    bench.hold("running", running=[a_row(bench.task(0), 100.0)])
    bench.worker(START.worker)
    bench.now += SAME_WORKER_SECONDS + 0.1
    bench.scheduler.set_cordoned(START.worker, True, bench.now)
    bench.worker("free")
    bench.scheduler.remove_worker("running", LossCause.REPLACED, bench.now)
    bench.store()
    assert [again.worker for again in bench.plan_starts()] == ["free"]


def test_release_names_a_start_in_flight_after_an_earlier_one_was_let_go() -> None:
    """Guard against a second run beside that of a start which the owner sent last."""
    bench, _ = a_second_start()
    successor = hand_over(bench)
    assert not successor.plan_starts()


def test_end_that_the_owner_before_saw_is_not_waited_for_again() -> None:
    """Guard against a task that waits anew under an owner with an outdated entry."""
    bench, start = a_held_task()
    bench.scheduler.remove_worker(start.worker, LossCause.ORDERED, bench.now)
    successor = hand_over(bench)
    successor.now += RESTART_SECONDS / 2
    successor.scheduler.update_worker(start.worker, an_entry(), successor.now)
    successor.scheduler.remove_worker(start.worker, LossCause.UNLISTED, successor.now)
    successor.now += RESTART_SECONDS / 2 + 0.1
    assert len(successor.plan_starts()) == 1
