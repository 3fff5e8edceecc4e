"""Test the rate shares of organisations in a full pool."""

from __future__ import annotations

import pytest

from mustardward.components.scheduling.rate_shares import RateShares
from mustardward.components.scheduling.scheduler import Scheduler
from mustardward.helpers.policies import switch_off

from .builders import SchedulerBench, a_job, a_step

BUSY = "hot"
SMALL = "small"
RATES = {BUSY: 4.0, SMALL: 1.0}


def a_bench() -> SchedulerBench:
    """Return a bench with rates and one worker of eight cores."""
    bench = SchedulerBench()
    bench.scheduler = Scheduler(
        1, lambda queue: bench.policy, rate_of=lambda name: RATES.get(name, 0.0)
    )
    bench.worker("w0")
    return bench


@pytest.mark.parametrize(
    ("interval", "expected"), [(0.25, 20), (0.125, 12), (0.0, 4), (1.0, 20)]
)
def test_rate_holds_over_time_with_a_burst_of_one_second(
    interval: float, expected: int
) -> None:
    shares = RateShares(lambda name: 4.0)
    results = [
        shares.exceeds_rate(BUSY, 10.0 + interval * number) for number in range(20)
    ]
    assert abs(results.count(False) - expected) <= 1


def test_late_arrivals_earn_no_extra_rate() -> None:
    """Jobs arrive in the order of the log, but with the clock times of their entries.

    A job may thus be older than the one before it.
    """
    shares = RateShares(lambda name: 1.0)
    assert not shares.exceeds_rate(BUSY, 100.0)
    assert shares.exceeds_rate(BUSY, 90.0)
    assert shares.exceeds_rate(BUSY, 100.0)
    assert not shares.exceeds_rate(BUSY, 101.0)


def test_nothing_exceeds_the_rate_without_an_organisation_or_a_rate() -> None:
    assert not any(RateShares(lambda name: 1.0).exceeds_rate("", 0.0) for _ in range(9))
    assert not any(RateShares().exceeds_rate(BUSY, 0.0) for _ in range(9))


def _count_late_jobs_of_the_small_organisation(seconds: float = 6.0) -> int:
    """Run jobs of a busy and a small organisation; return the small one's late jobs."""
    bench = a_bench()
    sent: dict[str, str] = {}
    late = 0
    begun_at = bench.now
    number = 0
    while bench.now < begun_at + seconds:
        for name, period, count in ((BUSY, 1, 3), (SMALL, 10, 4)):
            if number % period == 0:
                job = f"{name}{number:012x}"[:16].rjust(16, "0")
                sent[job] = name
                step = a_step(count=count, cpu=1000, estimate_ms=500)
                record = a_job(step, job=job, organisation=name, accepted_at=bench.now)
                bench.add(record)
        number += 1
        bench.plan_starts()
        for worker in bench.scheduler.state.workers.values():
            for task in list(worker.tasks.values()):
                if bench.now - task.started_at >= 0.5:
                    job = task.step.job
                    bench.end(task, "done")
                    is_late = job.state.final and bench.now > job.objective_at
                    late += is_late and job.organisation == SMALL
        bench.now += 0.1
    remaining = bench.scheduler.state.jobs.values()
    return late + sum(
        job.organisation == SMALL and bench.now > job.objective_at
        for job in remaining
        if not job.state.final
    )


def test_busy_organisation_does_not_delay_jobs_of_others() -> None:
    """Guards against late jobs of all organisations when one overloads the pool.

    The busy organisation sends ten times as many jobs as the other. If jobs are ordered
    regardless of their organisation, one in four is late.
    """
    assert _count_late_jobs_of_the_small_organisation() == 0
    switch_off(["shares"])
    try:
        assert _count_late_jobs_of_the_small_organisation() > 0
    finally:
        switch_off([])


def test_jobs_over_the_rate_use_the_remaining_room() -> None:
    bench = a_bench()
    for number in range(8):
        bench.add(a_job(a_step(count=1), job=f"{number:016x}", organisation=SMALL))
    assert len(bench.plan_starts()) == 8
