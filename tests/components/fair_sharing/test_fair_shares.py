"""Test how organisations share a full pool."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest

from mustardward.components.fair_sharing.fair_shares import (
    MIN_BURST_JOBS,
    FairShares,
)
from mustardward.components.scheduling.job_order import capacity_of, order_steps
from mustardward.components.scheduling.models import Job, StepRun
from mustardward.components.scheduling.scheduler import Scheduler
from mustardward.helpers.policies import switch_off

from ..scheduling.builders import POOL, SchedulerBench, a_job, a_step

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
    ("interval", "expected"), [(0.25, 20), (0.125, 14), (0.0, 5), (1.0, 20)]
)
def test_rate_holds_over_time_with_a_burst(interval: float, expected: int) -> None:
    shares = FairShares(lambda name: 4.0)
    results = [
        shares.exceeds_rate(BUSY, 10.0 + interval * number) for number in range(20)
    ]
    assert abs(results.count(False) - expected) <= 1


def test_late_arrivals_earn_no_extra_rate() -> None:
    """Jobs arrive in the order of the log, but with the clock times of their entries.

    A job may thus be older than the one before it.
    """
    shares = FairShares(lambda name: 1.0)
    for _ in range(int(MIN_BURST_JOBS)):
        assert not shares.exceeds_rate(BUSY, 100.0)
    assert shares.exceeds_rate(BUSY, 90.0)
    assert shares.exceeds_rate(BUSY, 100.0)
    assert not shares.exceeds_rate(BUSY, 101.0)


def test_nothing_exceeds_the_rate_without_an_organisation_or_a_rate() -> None:
    assert not any(FairShares(lambda name: 1.0).exceeds_rate("", 0.0) for _ in range(9))
    assert not any(FairShares().exceeds_rate(BUSY, 0.0) for _ in range(9))


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


def test_capacity_of_a_burst_follows_from_a_large_rate() -> None:
    shares = FairShares(lambda name: 20.0)
    results = [shares.exceeds_rate(BUSY, 10.0) for _ in range(40)]
    assert results.count(False) == 20


def add_jobs(
    bench: SchedulerBench, name: str, jobs: int, cpu: int = 1000, mem_mb: int = 100
) -> list[Job]:
    """Submit jobs of eight tasks each; return them."""
    step = a_step(count=8, cpu=cpu, mem_mb=mem_mb, estimate_ms=500)
    added = []
    for number in range(jobs):
        job = f"{name}{number:012x}".rjust(16, "0")
        bench.add(a_job(step, job=job, organisation=name, accepted_at=bench.now))
        added.append(bench.scheduler.state.jobs[job])
    return added


def end_runs(bench: SchedulerBench) -> None:
    """Report all runs as stopped."""
    for worker in bench.scheduler.state.workers.values():
        for task in list(worker.tasks.values()):
            bench.end(task, "stopped")


def test_burst_of_a_small_organisation_is_within_its_share() -> None:
    """Guards against late jobs of small organisations, whose few jobs come in bursts.

    Seven jobs at once exceed the rate of one job per second, but as long as the others
    leave so much of the pool, none of them is ranked behind.
    """
    bench = a_bench()
    bench.worker("w1")
    jobs = add_jobs(bench, SMALL, 7, cpu=200)
    bench.plan_starts()
    assert sum(job.exceeds_rate for job in jobs) == 2
    assert not any(job.beyond_share for job in jobs)


def test_jobs_are_judged_anew_in_each_plan() -> None:
    """Guards against ranking an organisation behind others once its load is normal."""
    bench = a_bench()
    jobs = add_jobs(bench, BUSY, 40) + add_jobs(bench, SMALL, 2)
    bench.plan_starts()
    assert sum(job.beyond_share for job in jobs) == 35
    for job in jobs[:39]:
        bench.scheduler.cancel_job(job.record.id)
    end_runs(bench)
    bench.plan_starts()
    assert jobs[39].exceeds_rate
    assert jobs[39].was_beyond_share
    assert not jobs[39].beyond_share


def test_jobs_that_are_no_longer_on_time_are_no_demand() -> None:
    """Guards against a backlog that ranks an organisation's new jobs behind others."""
    bench = a_bench()
    old = add_jobs(bench, BUSY, 40)
    bench.plan_starts()
    end_runs(bench)
    assert any(job.beyond_share for job in old)
    bench.now += 10.0
    bench.plan_starts()
    assert not any(job.beyond_share for job in old)


def test_share_is_measured_by_the_scarcest_resource() -> None:
    """Guards against an organisation whose tasks need little but most of the memory."""
    bench = a_bench()
    bench.worker("w1")
    few = add_jobs(bench, BUSY, 8, cpu=10, mem_mb=100)
    bench.plan_starts()
    assert not any(job.beyond_share for job in few)
    bench = a_bench()
    bench.worker("w1")
    many = add_jobs(bench, BUSY, 8, cpu=10, mem_mb=4000)
    bench.plan_starts()
    assert any(job.beyond_share for job in many)


def test_room_of_long_running_tasks_is_not_shared() -> None:
    """Guards against a full pool whose long-running tasks count as free room."""
    bench = a_bench()
    bench.worker("w1")
    alone = add_jobs(bench, BUSY, 8, cpu=200)
    bench.plan_starts()
    assert not any(job.beyond_share for job in alone)
    bench = a_bench()
    bench.worker("w1")
    lasting = a_step(count=2, cpu=6500, mem_mb=100, max_per_server=1, long_running=True)
    bench.add(a_job(lasting))
    bench.plan_starts()
    beside = add_jobs(bench, BUSY, 8, cpu=200)
    bench.plan_starts()
    assert any(job.beyond_share for job in beside)


def test_without_weights_no_job_is_beyond_its_share() -> None:
    bench = SchedulerBench()
    bench.worker("w0")
    jobs = add_jobs(bench, BUSY, 40)
    bench.plan_starts()
    assert not any(job.exceeds_rate or job.beyond_share for job in jobs)


def reference_rank(
    step: StepRun, now: float, path: float
) -> tuple[int, int, float | int]:
    """Return the rank of a step that no share affects, in a pool with little load."""
    job = step.job
    priority = job.policy.priority
    if step.spec.long_running:
        return (0, priority, float(step.spec.fills))
    if now + path <= job.objective_at:
        return (1, priority, job.objective_at - path)
    if now + path <= job.late_at:
        return (2, priority, path * len(step.tasks))
    return (3, priority, job.accepted_at)


def test_without_weights_the_order_of_steps_is_that_of_their_urgency() -> None:
    """Guards against another order where no organisation has a weight."""
    chance = random.Random(3)
    bench = SchedulerBench()
    workers = [bench.worker(f"w{number}") for number in range(100)]
    for number in range(200):
        step = a_step(
            count=chance.randint(1, 4),
            estimate_ms=chance.choice((200, 1000, 4000)),
            long_running=chance.random() < 0.1,
        )
        accepted_at = bench.now - chance.choice((0.0, 1.0, 4.0, 20.0))
        organisation = chance.choice(("", BUSY, SMALL))
        job = a_job(
            step,
            job=f"{number:016x}",
            organisation=organisation,
            accepted_at=accepted_at,
        )
        bench.add(job)
        found = bench.scheduler.state.jobs[f"{number:016x}"]
        found.policy = replace(found.policy, priority=chance.randint(0, 1))
    state = bench.scheduler.state
    steps = list(state.ready.values())
    shares = FairShares()
    capacity = capacity_of(workers, 0, state.estimates, bench.now)
    ordered = order_steps(
        steps,
        bench.now,
        state.estimates,
        capacity,
        judge=lambda jobs, on_time: shares.judge(
            POOL, jobs, on_time, workers, state.estimates, bench.now
        ),
    )
    assert ordered == sorted(
        steps,
        key=lambda step: reference_rank(
            step,
            bench.now,
            state.estimates.critical_path(step.job, only_remaining=True),
        ),
    )
