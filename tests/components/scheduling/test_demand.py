"""Test what a pool's work asks for."""

from __future__ import annotations

import pytest

from mustardward.components.scheduling.demand import measure
from mustardward.components.scheduling.inflow import (
    MAX_JOBS_PER_GAP,
    RECENT_SECONDS,
    WINDOW_SECONDS,
)

from .builders import POOL, SchedulerBench, a_job, a_step


def test_a_step_with_a_limit_for_each_worker_asks_for_so_many_workers() -> None:
    """It does so while its tasks wait, and while they run."""
    bench = SchedulerBench()
    bench.worker("w1")
    bench.add(a_job(a_step(count=5, max_per_server=2, long_running=True)))
    assert measure(bench.scheduler.state, bench.now)[POOL].spread_workers == 3
    assert len(bench.plan_starts()) == 2
    assert measure(bench.scheduler.state, bench.now)[POOL].spread_workers == 3


def test_running_and_waiting_work_are_counted_separately() -> None:
    bench = SchedulerBench()
    bench.worker("w1")
    bench.add(a_job(a_step(count=12, cpu=1000, mem_mb=100, estimate_ms=2000)))
    bench.plan_starts()
    load = measure(bench.scheduler.state, bench.now)[POOL]
    assert (load.running.cpu, load.waiting.cpu) == (8000, 4000)
    assert load.backlog.cpu == 8000
    assert load.backlog.mem_mb == 800


def test_a_worker_that_can_run_nothing_is_no_room() -> None:
    bench = SchedulerBench()
    bench.worker("w1")
    bench.worker("w2")
    bench.scheduler.state.unusable_workers = frozenset({"w2"})
    load = measure(bench.scheduler.state, bench.now)[POOL]
    assert (load.workers, load.capacity, load.memory) == (1, 8000, 8000)


def arrive(bench: SchedulerBench, count: int, over_seconds: float) -> None:
    """Hand in jobs of two tasks of a core and a second, at even times."""
    for number in range(count):
        bench.now += over_seconds / count
        bench.add(a_job(job=f"{number:016x}"))


def inflow_of(bench: SchedulerBench) -> float:
    """Return what keeps up with the last arrivals, in thousandths of a core."""
    return measure(bench.scheduler.state, bench.now)[POOL].inflow.cpu


def test_first_arrivals_of_a_burst_forecast_its_demand() -> None:
    """Load: a queue that was silent has 16 jobs in three quarters of a second."""
    bench = SchedulerBench()
    bench.worker("w1")
    arrive(bench, 16, WINDOW_SECONDS)
    gap = WINDOW_SECONDS / 16
    assert inflow_of(bench) == pytest.approx(15 * 2000 / (WINDOW_SECONDS - gap))
    bench.now += WINDOW_SECONDS
    assert inflow_of(bench) <= MAX_JOBS_PER_GAP / WINDOW_SECONDS * 2000
    bench.now += RECENT_SECONDS
    assert inflow_of(bench) == 0


def test_burst_is_forecast_from_its_first_third_of_a_second() -> None:
    """Load: sixteen jobs a second from now on; instances take 1.5 s to come."""
    bench = SchedulerBench()
    bench.worker("w1")
    arrive(bench, 5, 5 / 16)
    assert inflow_of(bench) >= 0.75 * 16 * 2000


def test_large_job_does_not_inflate_the_forecast_of_a_burst() -> None:
    """Weigh the rate by what jobs ask for in the mean.

    Symptom: eighteen instances come for a turn whose work takes eight. Load: four jobs
    a second, one of them twenty times as large as the others. Cause: the work of the
    last arrivals alone was taken for what keeps coming.
    """
    bench = SchedulerBench()
    bench.worker("w1")
    for number in range(12):
        bench.now += 0.25
        count = 40 if number == 11 else 2
        bench.add(a_job(a_step(count=count), job=f"{number:016x}"))
    mean = (11 * 2 + 40) / 12
    assert inflow_of(bench) == pytest.approx(4 * mean * 1000, rel=0.15)


def test_single_job_gives_no_arrival_rate() -> None:
    bench = SchedulerBench()
    bench.worker("w1")
    bench.add(a_job(a_step(count=100)))
    assert measure(bench.scheduler.state, bench.now)[POOL].inflow.cpu == 0


def test_old_job_of_the_previous_owner_is_no_arrival() -> None:
    bench = SchedulerBench()
    bench.scheduler.state.taken_over_at = bench.now
    bench.worker("w1")
    for number in range(16):
        accepted_at = bench.now - RECENT_SECONDS - 0.1
        bench.add(a_job(job=f"{number:016x}", accepted_at=accepted_at))
    assert inflow_of(bench) == 0


def test_burst_forecast_continues_under_a_new_owner() -> None:
    """Know the last arrivals of an owner before, each at its time.

    Symptom: after a change of owner in a turn its instances come 1.5 s later than the
    work. Sequence: sixteen jobs come within 0.8 s, and the owner is replaced. Cause:
    only what arrived under the new owner counted.
    """
    bench = SchedulerBench()
    bench.scheduler.state.taken_over_at = bench.now
    bench.worker("w1")
    for number in range(16):
        accepted_at = bench.now - 0.8 + number * 0.05
        bench.add(a_job(job=f"{number:016x}", accepted_at=accepted_at))
    assert inflow_of(bench) == pytest.approx(20 * 2000, rel=0.15)
