"""Test what becomes of tasks whose workers crash."""

from __future__ import annotations

from mustardward.components.ledger.models import JobState
from mustardward.components.scheduling.losses import LossCause

from .builders import JOB, SchedulerBench, a_job, a_step

MOST_CRASHES = 3


def crash_all_that_start(bench: SchedulerBench, rounds: int) -> int:
    """Crash each worker that starts something; return how many crashed."""
    crashed = 0
    for number in range(rounds):
        bench.worker(f"w{number}")
        bench.now += 0.5
        for worker in {start.worker for start in bench.plan_starts()}:
            bench.scheduler.lose_worker(worker, LossCause.UNLISTED, bench.now)
            crashed += 1
        bench.now += 0.5
        bench.store()
    return crashed


def test_a_job_whose_tasks_crash_their_workers_is_given_up() -> None:
    """Guards against tasks that are started anew however many workers they crash."""
    bench = SchedulerBench()
    bench.add(a_job(a_step(count=3)))
    assert crash_all_that_start(bench, rounds=10) <= MOST_CRASHES
    assert bench.stored[JOB].state is JobState.FAILED
