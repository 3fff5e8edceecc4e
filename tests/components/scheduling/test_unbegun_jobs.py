"""Test which jobs callers see as queued, by what workers confirmed of their runs."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from mustardward.components.ledger.const import PREFIX_JOB, PREFIX_PROGRESS
from mustardward.components.ledger.ledger import Ledger, encode
from mustardward.components.scheduling.commands import Start
from mustardward.components.scheduling.losses import LossCause
from mustardward.platform.store import KeyedRecord
from mustardward.platform.workers import REFUSED_ROOM

from .builders import JOB, SchedulerBench, a_job, a_row, a_step

Fate = Callable[[SchedulerBench, Start], None]


def count_pending(bench: SchedulerBench) -> int:
    """Return the number of pending jobs that an entry node reads from the log."""
    bench.store()
    ledger = Ledger()
    record = a_job(a_step(count=1)).record
    ledger.apply(KeyedRecord(0, PREFIX_JOB + JOB, encode(record)))
    progress = encode(bench.stored[JOB])
    ledger.apply(KeyedRecord(1, PREFIX_PROGRESS + JOB, progress))
    return ledger.count_pending(record.queue)


def one_start() -> tuple[SchedulerBench, Start]:
    """Return the start of a job's only task, which has not been sent yet."""
    bench = SchedulerBench()
    bench.worker("w1")
    bench.add(a_job(a_step(count=1)))
    bench.store()
    (start,) = [c for c in bench.plan() if isinstance(c, Start)]
    return bench, start


def wait_to_be_sent(bench: SchedulerBench, start: Start) -> None:
    """Leave a start in the queue of calls to its worker."""


def be_withdrawn(bench: SchedulerBench, start: Start) -> None:
    """Withdraw a start that waited too long to be sent."""
    bench.scheduler.reports.start_withdrawn(start.task, start.run, bench.now)


def be_refused(bench: SchedulerBench, start: Start) -> None:
    """Refuse a start, as a worker that does not answer polls gets none."""
    bench.scheduler.reports.start_refused(start.task, start.run, bench.now)


def be_rejected(bench: SchedulerBench, start: Start) -> None:
    """Reject a start for want of room."""
    reports = bench.scheduler.reports
    reports.start_answered(start.task, start.run, REFUSED_ROOM, bench.now)


def stay_unanswered(bench: SchedulerBench, start: Start) -> None:
    """Send a start and get no response."""
    bench.scheduler.reports.start_sent(start.task, start.run)
    bench.scheduler.reports.start_unknown(start.task, start.run, bench.now)


def be_found_not_begun(bench: SchedulerBench, start: Start) -> None:
    """Get no response to a start, stop it, and find that it never began."""
    stay_unanswered(bench, start)
    bench.scheduler.reports.stop_answered(start.task, start.run, bench.now)
    bench.now += 0.1
    bench.hold(start.worker)


def lose_its_worker(bench: SchedulerBench, start: Start) -> None:
    """Lose the worker before it answers a start."""
    bench.scheduler.remove_worker(start.worker, LossCause.UNLISTED, bench.now)


@pytest.mark.parametrize(
    "fate",
    [
        wait_to_be_sent,
        be_withdrawn,
        be_refused,
        be_rejected,
        stay_unanswered,
        be_found_not_begun,
        lose_its_worker,
    ],
)
def test_a_job_of_which_no_run_has_begun_is_pending(fate: Fate) -> None:
    """Guards against counting jobs as running whose starts no worker confirmed."""
    bench, start = one_start()
    fate(bench, start)
    assert count_pending(bench) == 1


def test_a_job_whose_start_was_lost_is_pending_under_the_next_owner() -> None:
    """Guards against jobs that stay running for good though nothing of them began."""
    bench, start = one_start()
    stay_unanswered(bench, start)
    bench.store()
    job = a_job(a_step(count=1))
    job.progress = bench.stored[JOB]
    successor = SchedulerBench(epoch=2)
    successor.add(job)
    successor.scheduler.state.mark_dirty(successor.task(0).step.job)
    assert count_pending(successor) == 1


def be_accepted(bench: SchedulerBench, start: Start) -> None:
    """Answer a start with success."""
    bench.accept(start)


def be_accepted_while_stopping(bench: SchedulerBench, start: Start) -> None:
    """Answer a start with success after its task was told to stop."""
    bench.scheduler.state.stop(start.task, "evacuation")
    bench.accept(start)


def be_listed(bench: SchedulerBench, start: Start) -> None:
    """List a run whose start has not been answered yet."""
    bench.hold(start.worker, running=[a_row(start.task, 0.0)])


def be_listed_after_no_answer(bench: SchedulerBench, start: Start) -> None:
    """List a run whose start got no response."""
    stay_unanswered(bench, start)
    be_listed(bench, start)


def be_listed_after_being_given_up(bench: SchedulerBench, start: Start) -> None:
    """List a run that is under way after its task went back to the queue."""
    row = a_row(start.task, 0.0)
    be_withdrawn(bench, start)
    bench.hold(start.worker, running=[row])


def end_at_once(bench: SchedulerBench, start: Start) -> None:
    """End a run that no report listed."""
    bench.end(start.task, "failed")


@pytest.mark.parametrize(
    "fate",
    [
        be_accepted,
        be_accepted_while_stopping,
        be_listed,
        be_listed_after_no_answer,
        be_listed_after_being_given_up,
        end_at_once,
    ],
)
def test_a_job_with_a_confirmed_run_is_not_pending(fate: Fate) -> None:
    """Guards against counting jobs as queued after a worker has confirmed a run."""
    bench, start = one_start()
    fate(bench, start)
    assert count_pending(bench) == 0


def test_a_job_stays_begun_once_its_run_is_lost() -> None:
    """Guards against a job that goes back from running to queued."""
    bench, start = one_start()
    bench.accept(start)
    bench.scheduler.remove_worker(start.worker, LossCause.UNLISTED, bench.now)
    assert count_pending(bench) == 0


def test_the_start_of_a_job_is_stored_once() -> None:
    """Guards against log records for what callers do not see."""
    bench, start = one_start()
    assert bench.scheduler.state.dirty == {}
    bench.accept(start)
    assert list(bench.scheduler.state.dirty) == [JOB]
    bench.store()
    bench.hold(start.worker, running=[a_row(start.task, 50.0)])
    assert bench.scheduler.state.dirty == {}
