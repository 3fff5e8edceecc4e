"""Test the measured demand of a pool."""

from __future__ import annotations

import pytest

from mustardward.components.scheduling.demand import measure
from mustardward.components.scheduling.inflow import (
    MAX_JOBS_PER_GAP,
    RECENT_SECONDS,
    WINDOW_SECONDS,
)
from mustardward.platform.callers import MAX_AMOUNT, MAX_TASKS, check_steps
from mustardward.platform.models import ENDED_DONE, Room

from .builders import POOL, SchedulerBench, a_job, a_step


def test_step_with_a_limit_per_worker_demands_enough_workers() -> None:
    """The demand is the same while its tasks wait and while they run."""
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


def test_unusable_worker_is_not_counted_as_capacity() -> None:
    bench = SchedulerBench()
    bench.worker("w1")
    bench.worker("w2")
    bench.scheduler.state.unusable_workers = frozenset({"w2"})
    load = measure(bench.scheduler.state, bench.now)[POOL]
    assert (load.workers, load.capacity, load.memory) == (1, 8000, 8000)


def test_worker_that_still_lists_its_ends_is_counted_as_capacity() -> None:
    """Guard against instances ordered in place of workers that are about to serve."""
    bench = SchedulerBench()
    worker = bench.worker("w1")
    worker.confirmed, worker.listing_ends = False, True
    load = measure(bench.scheduler.state, bench.now)[POOL]
    assert (load.workers, load.capacity, load.memory) == (1, 8000, 8000)


def test_later_steps_are_projected_after_the_earlier_ones() -> None:
    """Guard against instances that are released just before a job's next step."""
    bench = SchedulerBench()
    bench.worker("w1")
    first = a_step(count=4, cpu=1000, mem_mb=100, estimate_ms=1000)
    second = a_step(count=8, cpu=1000, mem_mb=100, estimate_ms=2000, after=[0])
    bench.add(a_job(first, second))
    size = Room(cpu=8000, mem_mb=8000)
    for _ in range(2):
        cells = measure(bench.scheduler.state, bench.now)[POOL].profile.in_instances(
            size
        )
        assert cells[5] == pytest.approx(0.5)
        assert cells[15] == pytest.approx(1.0)
        assert cells[35] == pytest.approx(0.0)
        bench.plan_starts()


def test_a_task_that_fits_beside_no_long_running_one_needs_an_empty_worker() -> None:
    """Guard against a task that waits forever though the room suffices in total."""
    bench = SchedulerBench()
    bench.worker("w1")
    bench.worker("w2")
    lasting = a_step(count=2, cpu=4000, mem_mb=100, max_per_server=1, long_running=True)
    bench.add(a_job(lasting))
    assert len(bench.plan_starts()) == 2
    bench.add(a_job(a_step(count=2, cpu=6000, mem_mb=100), job=f"{7:016x}"))
    assert measure(bench.scheduler.state, bench.now)[POOL].empty_workers == 2
    bench.add(a_job(a_step(count=2, cpu=3000, mem_mb=100), job=f"{8:016x}"))
    assert measure(bench.scheduler.state, bench.now)[POOL].empty_workers == 2
    bench.worker("w3")
    assert measure(bench.scheduler.state, bench.now)[POOL].empty_workers == 0


def test_expected_jobs_are_projected() -> None:
    """Guard against a pool that is sized for the jobs that have arrived only."""
    bench = SchedulerBench()
    bench.worker("w1")
    submit_jobs(bench, 16, WINDOW_SECONDS)
    load = measure(bench.scheduler.state, bench.now)[POOL]
    last = load.profile.in_instances(Room(cpu=8000, mem_mb=100_000))[-1]
    assert last == pytest.approx(load.inflow.cpu / 8000, rel=0.15)


def submit_jobs(bench: SchedulerBench, count: int, over_seconds: float) -> None:
    """Submit jobs of two one-second tasks of one core each, at equal intervals."""
    for number in range(count):
        bench.now += over_seconds / count
        bench.add(a_job(job=f"{number:016x}"))


def inflow_of(bench: SchedulerBench) -> float:
    """Return the forecast demand of the last arrivals, in thousandths of a core."""
    return measure(bench.scheduler.state, bench.now)[POOL].inflow.cpu


def test_first_arrivals_of_a_burst_forecast_its_demand() -> None:
    """An idle queue receives 16 jobs in three quarters of a second."""
    bench = SchedulerBench()
    bench.worker("w1")
    submit_jobs(bench, 16, WINDOW_SECONDS)
    interval = WINDOW_SECONDS / 16
    assert inflow_of(bench) == pytest.approx(15 * 2000 / (WINDOW_SECONDS - interval))
    bench.now += WINDOW_SECONDS
    assert inflow_of(bench) <= MAX_JOBS_PER_GAP / WINDOW_SECONDS * 2000
    bench.now += RECENT_SECONDS
    assert inflow_of(bench) == 0


def test_burst_is_forecast_from_its_first_third_of_a_second() -> None:
    """Guards against late scaling: instances take 1.5 s to start.

    16 jobs arrive per second.
    """
    bench = SchedulerBench()
    bench.worker("w1")
    submit_jobs(bench, 5, 5 / 16)
    assert inflow_of(bench) >= 0.75 * 16 * 2000


def test_large_job_does_not_inflate_the_forecast_of_a_burst() -> None:
    """Guards against 18 instances for a demand peak that needs eight.

    Four jobs arrive per second, and one is 20 times as large as the others. The
    forecast has to multiply the arrival rate by the mean size of many jobs, not by the
    size of the last ones.
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
    """Guards against instances that start 1.5 s late after a takeover in a demand peak.

    16 jobs arrive within 0.8 s before the takeover. The new owner has to count the
    arrivals under the previous owner, each at its own time.
    """
    bench = SchedulerBench()
    bench.scheduler.state.taken_over_at = bench.now
    bench.worker("w1")
    for number in range(16):
        accepted_at = bench.now - 0.8 + number * 0.05
        bench.add(a_job(job=f"{number:016x}", accepted_at=accepted_at))
    assert inflow_of(bench) == pytest.approx(20 * 2000, rel=0.15)


@pytest.mark.parametrize("times", [0, MAX_AMOUNT])
def test_the_largest_accepted_amounts_can_be_planned_and_measured(times: int) -> None:
    """Guards against an overflow that ends the owner's process."""
    largest = float(MAX_AMOUNT)
    wide = a_step(
        count=MAX_TASKS, cpu=MAX_AMOUNT, mem_mb=MAX_AMOUNT, estimate_ms=largest
    )
    later = a_step(count=1, cpu=100, estimate_ms=largest, after=[0])
    small = a_step(count=1, cpu=100, estimate_ms=largest)
    check_steps([wide, later, small])
    bench = SchedulerBench()
    bench.worker("w1")
    bench.add(a_job(wide, later, small, times=times, interval_ms=largest))
    (start,) = bench.plan_starts()
    bench.end(start.task, ENDED_DONE)
    bench.plan()
    load = measure(bench.scheduler.state, bench.now)[POOL]
    assert load.waiting.cpu == MAX_TASKS * largest
