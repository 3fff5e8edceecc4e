"""Test tasks whose unanswered start may run on a worker that does not respond."""

from __future__ import annotations

import pytest

from mustardward.components.dispatch.const import latest_lease_end
from mustardward.components.dispatch.lease import Lease
from mustardward.components.scheduling.commands import Start
from mustardward.components.scheduling.const import RESTART_SECONDS, SAME_WORKER_SECONDS
from mustardward.components.scheduling.losses import LossCause
from mustardward.components.scheduling.lost_starts import MAX_DELAY_SECONDS
from mustardward.components.scheduling.wait_tracker import Reason

from .builders import HOLD_SECONDS, SchedulerBench, a_job, a_row, a_step, an_entry
from .test_uncertain_starts import one_start


def a_held_task() -> tuple[SchedulerBench, Start]:
    """Return a task whose worker did not answer its start and then fell silent."""
    bench, start = one_start()
    bench.scheduler.reports.start_sent(start.task, start.run)
    bench.scheduler.reports.start_unknown(start.task, start.run, bench.now)
    bench.plan()
    remove(bench, start.worker, bench.now + HOLD_SECONDS)
    bench.store()
    return bench, start


def remove(bench: SchedulerBench, worker: str, until: float | None) -> None:
    """Remove a worker whose known leases have expired."""
    cause = LossCause.LEASES_EXPIRED
    bench.scheduler.remove_worker(worker, cause, bench.now, until)


def test_task_with_unanswered_start_waits_for_the_longest_lease() -> None:
    """Guard against a second run beside that of a restarted, disconnected worker."""
    bench, start = a_held_task()
    assert not bench.plan_starts()
    tracker = bench.scheduler.wait_logger.wait_tracker
    decision = tracker.get(start.task.step)
    assert decision is not None and decision.reason is Reason.START_UNANSWERED
    bench.now += HOLD_SECONDS - 0.1
    assert not bench.plan_starts()
    bench.now += 0.2
    (again,) = bench.plan_starts()
    assert again.worker != start.worker


def test_held_task_starts_once_its_worker_reports() -> None:
    """Guard against tasks that wait for a lease that the worker has denied."""
    bench, start = a_held_task()
    bench.worker(start.worker)
    assert [again.worker for again in bench.plan_starts()] == [start.worker]


def test_run_that_the_worker_lists_is_adopted() -> None:
    bench, start = a_held_task()
    bench.scheduler.update_worker(start.worker, an_entry(), bench.now)
    bench.hold(start.worker, running=[a_row(start.task, 5.0)])
    assert not bench.plan_starts()
    assert start.task.worker is bench.scheduler.state.workers[start.worker]


def test_task_stays_held_while_its_worker_is_polled_in_vain() -> None:
    """Guard against a hold that ends with the next session of a silent worker."""
    bench, start = a_held_task()
    bench.scheduler.update_worker(start.worker, an_entry(), bench.now)
    remove(bench, start.worker, bench.now - 1.0)
    assert not bench.plan_starts()


def test_held_task_waits_a_moment_for_a_worker_that_has_ended() -> None:
    """Guard against a restarted worker that executes the start beside another run."""
    bench, start = a_held_task()
    bench.scheduler.update_worker(start.worker, an_entry(), bench.now)
    bench.scheduler.remove_worker(start.worker, LossCause.UNLISTED, bench.now)
    bench.now += RESTART_SECONDS - 0.1
    assert not bench.plan_starts()
    bench.now += 0.2
    assert len(bench.plan_starts()) == 1


def test_held_task_starts_once_its_address_has_another_worker() -> None:
    bench, start = a_held_task()
    bench.scheduler.remove_worker(start.worker, LossCause.REPLACED, bench.now)
    assert len(bench.plan_starts()) == 1


def test_loss_of_a_worker_does_not_hold_a_task_that_was_let_go() -> None:
    """Guard against a task that waits for a worker again whenever that one is lost."""
    bench, start = a_held_task()
    bench.scheduler.remove_worker(start.worker, LossCause.UNLISTED, bench.now)
    bench.now += RESTART_SECONDS + 0.1
    (again,) = bench.plan_starts()
    bench.worker(start.worker)
    remove(bench, start.worker, bench.now + HOLD_SECONDS)
    bench.worker("w3")
    bench.scheduler.remove_worker(again.worker, LossCause.REPLACED, bench.now)
    bench.store()
    assert [other.worker for other in bench.plan_starts()] == ["w3"]


def a_second_start() -> tuple[SchedulerBench, Start]:
    """Return the start of a task on a worker whose earlier start was let go."""
    bench, start = a_held_task()
    bench.scheduler.remove_worker(start.worker, LossCause.UNLISTED, bench.now)
    bench.now += RESTART_SECONDS + 0.1
    (elsewhere,) = bench.plan_starts()
    bench.worker(start.worker)
    bench.scheduler.remove_worker(elsewhere.worker, LossCause.REPLACED, bench.now)
    bench.store()
    (again,) = [c for c in bench.plan() if isinstance(c, Start)]
    assert again.worker == start.worker
    bench.scheduler.reports.start_sent(again.task, again.run)
    return bench, again


def test_new_start_is_held_after_an_earlier_one_was_let_go() -> None:
    """Guard against a second run beside that of a start which is executed late."""
    bench, start = a_second_start()
    bench.scheduler.reports.start_unknown(start.task, start.run, bench.now)
    bench.scheduler.remove_worker(start.worker, LossCause.UNLISTED, bench.now)
    bench.worker("w3")
    bench.store()
    assert not bench.plan_starts()
    bench.now += RESTART_SECONDS + 0.1
    assert [again.worker for again in bench.plan_starts()] == ["w3"]


def test_start_in_flight_at_the_loss_of_its_worker_is_held_likewise() -> None:
    bench, start = a_second_start()
    bench.scheduler.remove_worker(start.worker, LossCause.UNLISTED, bench.now)
    bench.worker("w3")
    bench.store()
    assert not bench.plan_starts()


def a_task_that_runs_on_its_worker() -> tuple[SchedulerBench, Start]:
    """Return a task that has run for a while on the worker of its unanswered start."""
    bench, start = a_held_task()
    bench.worker(start.worker)
    (again,) = bench.plan_starts()
    assert again.worker == start.worker
    bench.hold(start.worker, running=[a_row(again.task, 5.0)])
    bench.now += SAME_WORKER_SECONDS + 0.1
    return bench, start


@pytest.mark.parametrize("cause", [LossCause.UNLISTED, LossCause.LEASES_EXPIRED])
def test_task_that_ran_on_the_worker_of_its_unanswered_start_is_held_again(
    cause: LossCause,
) -> None:
    """Guard against a late start in a restarted worker beside a run elsewhere."""
    bench, start = a_task_that_runs_on_its_worker()
    is_silent = cause is LossCause.LEASES_EXPIRED
    until = bench.now + HOLD_SECONDS if is_silent else None
    bench.scheduler.remove_worker(start.worker, cause, bench.now, until)
    bench.store()
    bench.now += RESTART_SECONDS - 0.1
    assert not bench.plan_starts()


def test_new_unanswered_start_on_the_same_worker_is_held() -> None:
    """Guard against a start that counts as let go with the one before it."""
    bench, start = a_held_task()
    bench.worker(start.worker)
    bench.now += SAME_WORKER_SECONDS + 0.1
    bench.scheduler.set_cordoned("w2", True, bench.now)
    (again,) = [c for c in bench.plan() if isinstance(c, Start)]
    assert again.worker == start.worker
    bench.scheduler.reports.start_sent(again.task, again.run)
    bench.scheduler.reports.start_unknown(again.task, again.run, bench.now)
    bench.scheduler.set_cordoned("w2", False, bench.now)
    bench.scheduler.remove_worker(start.worker, LossCause.UNLISTED, bench.now)
    bench.store()
    bench.now += RESTART_SECONDS - 0.1
    assert not bench.plan_starts()


def test_same_end_seen_once_more_does_not_hold_a_task_again() -> None:
    """Guard against a task that waits anew as an outdated entry opens a session."""
    bench, start = a_held_task()
    bench.scheduler.remove_worker(start.worker, LossCause.ORDERED, bench.now)
    bench.now += RESTART_SECONDS / 2
    bench.scheduler.update_worker(start.worker, an_entry(), bench.now)
    bench.scheduler.remove_worker(start.worker, LossCause.UNLISTED, bench.now)
    bench.now += RESTART_SECONDS / 2 + 0.1
    assert len(bench.plan_starts()) == 1


def test_end_after_a_report_is_another_one() -> None:
    """Guard against a late start in a worker that has restarted twice."""
    bench, start = a_held_task()
    bench.scheduler.remove_worker(start.worker, LossCause.ORDERED, bench.now)
    bench.now += RESTART_SECONDS / 2
    bench.worker(start.worker)
    bench.scheduler.remove_worker(start.worker, LossCause.UNLISTED, bench.now)
    bench.now += RESTART_SECONDS - 0.1
    assert not bench.plan_starts()


def test_hold_ends_only_while_no_other_owner_is_known() -> None:
    """Guard against a hold that ends by the clock while another owner renews leases."""
    bench, _ = a_held_task()
    bench.scheduler.state.confirmed_until = lambda: bench.now - HOLD_SECONDS
    bench.now += HOLD_SECONDS + 0.1
    assert not bench.plan_starts()


@pytest.mark.parametrize("answered", [True, False])
def test_answered_runs_of_a_silent_worker_wait_for_their_own_leases_only(
    answered: bool,
) -> None:
    bench = SchedulerBench()
    bench.worker("w1")
    bench.add(a_job(a_step(count=2)))
    first, second = (c for c in bench.plan() if isinstance(c, Start))
    for start in (first, second):
        bench.scheduler.reports.start_sent(start.task, start.run)
    bench.scheduler.reports.start_answered(first.task, first.run, "", bench.now)
    if answered:
        bench.scheduler.reports.start_answered(second.task, second.run, "", bench.now)
    remove(bench, "w1", bench.now + HOLD_SECONDS)
    bench.store()
    bench.worker("w2")
    assert len(bench.plan_starts()) == 1 + answered


def test_unanswered_calls_are_counted_until_they_can_no_longer_be_carried_out() -> None:
    """Guard against a lease that counts the deadline which was meant."""
    lease = Lease(0.0, HOLD_SECONDS)
    lease.record_unanswered(5.0)
    lease.record_unanswered(3.0)
    delivered_at = 5.0 + MAX_DELAY_SECONDS
    assert lease.unanswered_until == latest_lease_end(delivered_at, HOLD_SECONDS)
    successor = Lease(0.0, HOLD_SECONDS)
    successor.inherit_unanswered(lease)
    assert successor.unanswered_until == lease.unanswered_until
