"""Test when tasks whose runs were lost with their worker may start again."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from mustardward.components.ledger.models import JobState, Progress
from mustardward.components.scheduling.losses import LossCause
from mustardward.components.scheduling.models import Phase, Task

from .builders import (
    HOLD_SECONDS,
    JOB,
    SchedulerBench,
    a_job,
    a_row,
    a_step,
    an_entry,
)

BORN = 1000
OTHER = "00000000000000bb"
TAKEOVER_HOLD_SECONDS = 8.0

Lose = Callable[[SchedulerBench, str], None]


def _remove(cause: LossCause) -> Lose:
    def lose(bench: SchedulerBench, worker: str) -> None:
        bench.scheduler.remove_worker(worker, cause, bench.now)

    return lose


def _restart(bench: SchedulerBench, worker: str) -> None:
    entry = an_entry(born=BORN + 1)
    bench.scheduler.replace_worker(worker, BORN + 1, entry, bench.now)


LOSSES = {
    LossCause.ORDERED: _remove(LossCause.ORDERED),
    LossCause.UNLISTED: _remove(LossCause.UNLISTED),
    LossCause.REPLACED: _remove(LossCause.REPLACED),
    LossCause.LEASES_EXPIRED: _remove(LossCause.LEASES_EXPIRED),
    LossCause.RESTARTED: _restart,
}
STEPS = {
    "one-task": {"count": 1},
    "long-running": {"count": 1, "long_running": True},
    "gang": {"count": 2, "gang": True},
}


def a_bench(**step: object) -> tuple[SchedulerBench, list[Task]]:
    """Return a scheduler with one worker, which is sent all tasks of a job."""
    bench = SchedulerBench()
    bench.worker("w1", born=BORN)
    bench.add(a_job(a_step(**step)))
    tasks = [command.task for command in bench.plan()]  # type: ignore[union-attr]
    for task in tasks:
        bench.scheduler.reports.start_sent(task, task.run)
    return bench, tasks


def collect(bench: SchedulerBench) -> list[str]:
    """Return the jobs whose records are sent, without an answer yet."""
    bench.scheduler.state.mark_dirty(bench.scheduler.state.jobs[JOB])
    return [job_id for job_id, _ in bench.scheduler.take_dirty(bench.now, bench.now)]


@pytest.mark.parametrize("cause", LossCause)
@pytest.mark.parametrize("phase", [Phase.STARTING, Phase.RUNNING, Phase.STOPPING])
@pytest.mark.parametrize("kind", STEPS)
def test_lost_run_is_repeated_only_after_a_record_written_after_the_loss(
    kind: str, phase: Phase, cause: LossCause
) -> None:
    """Guard against a task that another owner knows to be done and that runs again."""
    bench, tasks = a_bench(**STEPS[kind])
    if phase is not Phase.STARTING:
        for task in tasks:
            bench.scheduler.reports.start_answered(task, task.run, "", bench.now)
        bench.hold("w1", running=[a_row(task, 10.0) for task in tasks])
    if phase is Phase.STOPPING:
        for task in tasks:
            bench.scheduler.state.stop(task, "test")
    sent_before = collect(bench)
    LOSSES[cause](bench, "w1")
    for task in tasks:
        if task.worker is not None:
            bench.scheduler.state.end_run(task, bench.now)
    if phase is Phase.STARTING:
        # Its delayed start can no longer be executed.
        bench.now += HOLD_SECONDS
    bench.worker("w2", born=BORN)
    bench.scheduler.mark_stored(sent_before)
    assert not bench.plan_starts()
    bench.store()
    assert {start.task for start in bench.plan_starts()} == set(tasks)


def test_losses_during_an_append_do_not_delay_what_was_lost_before() -> None:
    """Guard against a wide job that starts nothing for as long as workers are lost."""
    bench = SchedulerBench()
    for name in ("w1", "w2"):
        bench.worker(name, born=BORN)
    bench.add(a_job(a_step(count=2, cpu=8000)))
    first, second = bench.plan_starts()
    LOSSES[LossCause.UNLISTED](bench, first.worker)
    sent = collect(bench)
    LOSSES[LossCause.UNLISTED](bench, second.worker)
    for name in ("w3", "w4"):
        bench.worker(name, born=BORN)
    bench.scheduler.mark_stored(sent)
    assert [start.task for start in bench.plan_starts()] == [first.task]
    bench.store()
    assert [start.task for start in bench.plan_starts()] == [second.task]


def test_tasks_without_lost_runs_start_at_once() -> None:
    """Guard against work that waits for the log although nothing of it was lost."""
    bench, _ = a_bench(count=1)
    LOSSES[LossCause.UNLISTED](bench, "w1")
    bench.worker("w2", born=BORN)
    bench.add(a_job(a_step(count=1), job=OTHER))
    (start,) = bench.plan_starts()
    assert start.task.step.job.record.id == OTHER


def a_held_bench() -> tuple[SchedulerBench, list[float]]:
    """Return a new owner that has not heard of a worker, and a list of its renewal."""
    bench = SchedulerBench(epoch=2)
    state = bench.scheduler.state
    renewed_at = [bench.now]
    state.confirmed_until = lambda: renewed_at[0]
    state.taken_over_at = bench.now
    state.takeover_hold_until = bench.now + TAKEOVER_HOLD_SECONDS
    bench.worker("w1", zone="z1", born=BORN)
    bench.scheduler.update_worker("w2", an_entry(zone="z2", born=BORN), bench.now)
    job = a_job(a_step(count=1))
    job.progress = Progress(JobState.RUNNING, zones=["z1", "z2"])
    bench.add(job)
    state.reconciled_zones = frozenset({"z1"})
    return bench, renewed_at


@pytest.mark.parametrize("cause", LossCause)
def test_held_job_waits_for_a_renewal_after_an_unreported_worker_is_lost(
    cause: LossCause,
) -> None:
    """Guard against a release since a worker is gone whose ends another owner read."""
    bench, renewed_at = a_held_bench()
    bench.now += 1.0
    renewed_at[0] = bench.now - 0.1
    LOSSES[cause](bench, "w2")
    bench.scheduler.state.reconciled_zones = frozenset({"z1", "z2"})
    assert not bench.plan_starts()
    renewed_at[0] = bench.now
    assert len(bench.plan_starts()) == 1


def test_takeover_hold_ends_with_a_renewal_sent_after_it() -> None:
    """Guard against a hold that ends while another owner renews the leases."""
    bench, renewed_at = a_held_bench()
    bench.now += TAKEOVER_HOLD_SECONDS + 0.5
    renewed_at[0] = bench.now - 1.0
    assert not bench.plan_starts()
    renewed_at[0] = bench.now
    assert len(bench.plan_starts()) == 1
