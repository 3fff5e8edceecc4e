"""Test when tasks whose runs were lost with their worker may start again."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from mustardward.components.scheduling.losses import LossCause

from .builders import JOB, SchedulerBench, a_job, a_step, an_entry

BORN = 1000
OTHER = "00000000000000bb"

Lose = Callable[[SchedulerBench, str], None]


def _remove(cause: LossCause) -> Lose:
    def lose(bench: SchedulerBench, worker: str) -> None:
        bench.scheduler.remove_worker(worker, cause, bench.now)

    return lose


def _restart(bench: SchedulerBench, worker: str) -> None:
    bench.scheduler.replace_worker(worker, BORN + 1, an_entry(born=BORN + 1), bench.now)


LOSSES = {
    LossCause.ORDERED: _remove(LossCause.ORDERED),
    LossCause.UNLISTED: _remove(LossCause.UNLISTED),
    LossCause.REPLACED: _remove(LossCause.REPLACED),
    LossCause.LEASES_EXPIRED: _remove(LossCause.LEASES_EXPIRED),
    LossCause.RESTARTED: _restart,
}


def a_bench() -> tuple[SchedulerBench, str]:
    """Return a scheduler with two workers, one of which runs a job's only task."""
    bench = SchedulerBench()
    for name in ("w1", "w2"):
        bench.worker(name, born=BORN)
    bench.add(a_job(a_step(count=1)))
    (start,) = bench.plan_starts()
    bench.task(0).seen_running = True
    bench.store()
    return bench, start.worker


@pytest.mark.parametrize("cause", LossCause)
def test_lost_run_is_repeated_only_once_a_record_of_after_the_loss_is_stored(
    cause: LossCause,
) -> None:
    """Guard against a task that another owner knows to be done and that runs again."""
    bench, worker = a_bench()
    bench.scheduler.state.mark_dirty(bench.scheduler.state.jobs[JOB])
    collected_before = [
        job_id for job_id, _ in bench.scheduler.take_dirty(bench.now, bench.now)
    ]
    LOSSES[cause](bench, worker)
    bench.scheduler.mark_stored(collected_before)
    assert not bench.plan_starts()
    bench.store()
    assert len(bench.plan_starts()) == 1


def test_jobs_without_runs_on_a_lost_worker_start_at_once() -> None:
    """Guard against work that waits for the log although nothing of it was lost."""
    bench, worker = a_bench()
    LOSSES[LossCause.UNLISTED](bench, worker)
    bench.add(a_job(a_step(count=1), job=OTHER))
    (start,) = bench.plan_starts()
    assert start.task.step.job.record.id == OTHER
