"""Test starts that reach a worker after it was lost and has started again."""

from __future__ import annotations

import pytest

from mustardward.components.scheduling.commands import Start, Stop
from mustardward.components.scheduling.losses import LossCause
from mustardward.components.scheduling.lost_starts import MAX_DELAY_SECONDS

from .builders import SchedulerBench, a_job, a_step

CAUSES = (LossCause.UNLISTED, LossCause.REPLACED, LossCause.LEASES_EXPIRED)


def a_bench_with_a_start(answered: bool | None) -> tuple[SchedulerBench, Start]:
    """Return a bench and the start that was sent to its worker.

    :param answered: None while the call is in progress, and False after its timeout.
    """
    bench = SchedulerBench()
    bench.worker("w1", born=1)
    bench.add(a_job(a_step(count=1)))
    (start,) = [c for c in bench.plan() if isinstance(c, Start)]
    bench.scheduler.reports.start_sent(start.task, start.run)
    if answered:
        bench.accept(start)
    elif answered is False:
        bench.scheduler.reports.start_unknown(start.task, start.run, bench.now)
        bench.plan()
    return bench, start


def stops_for(bench: SchedulerBench, start: Start) -> list[Stop]:
    """Return the stops of a start's run in the next plan."""
    return [stop for stop in bench.plan_stops() if stop.run == start.run]


@pytest.mark.parametrize("cause", CAUSES)
@pytest.mark.parametrize("answered", [None, False])
def test_a_restarted_worker_rejects_the_starts_of_its_lost_incarnation(
    cause: LossCause, answered: bool | None
) -> None:
    """Guards against a delayed start that runs beside the run that took its place."""
    bench, start = a_bench_with_a_start(answered)
    bench.scheduler.remove_worker("w1", cause, bench.now)
    assert stops_for(bench, start) == []
    bench.now += MAX_DELAY_SECONDS / 2
    bench.worker("w1", born=2)
    assert stops_for(bench, start) == [Stop(start.task.name, "w1", start.run, None)]


def test_a_worker_that_is_lost_twice_rejects_the_starts_of_both_incarnations() -> None:
    """Guards against forgetting a delayed start with the second loss."""
    bench, start = a_bench_with_a_start(answered=False)
    for born in (2, 3):
        bench.scheduler.remove_worker("w1", LossCause.UNLISTED, bench.now)
        bench.now += 5.0
        bench.worker("w1", born=born)
        assert len(stops_for(bench, start)) == 1


def test_starts_of_a_lost_worker_are_forgotten_after_their_longest_delay() -> None:
    """Guards against memory that grows with each lost worker."""
    bench, start = a_bench_with_a_start(answered=False)
    bench.scheduler.remove_worker("w1", LossCause.UNLISTED, bench.now)
    bench.now += MAX_DELAY_SECONDS
    bench.worker("w1", born=2)
    assert stops_for(bench, start) == []


def test_no_stop_is_sent_for_a_start_that_was_answered() -> None:
    """Guards against needless calls after each loss of a worker."""
    bench, start = a_bench_with_a_start(answered=True)
    bench.scheduler.remove_worker("w1", LossCause.UNLISTED, bench.now)
    bench.worker("w1", born=2)
    assert stops_for(bench, start) == []
