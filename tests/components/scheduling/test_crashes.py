"""Test the handling of tasks whose workers crash."""

from __future__ import annotations

import pytest

from mustardward.components.ledger.models import JobState, Progress, TaskProgress
from mustardward.components.scheduling.commands import Start
from mustardward.components.scheduling.const import (
    CLEARED_AFTER_RUNS,
    CLEARED_AFTER_SECONDS,
    COMMON_CAUSE_SECONDS,
    CONCLUSIVE_CRASHES,
    ISOLATION_WAIT_SECONDS,
    MAX_CRASHES,
)
from mustardward.components.scheduling.demand import measure
from mustardward.components.scheduling.losses import LossCause
from mustardward.components.scheduling.models import Phase

from .builders import JOB, POOL, SchedulerBench, a_job, a_row, a_step

OTHER = "00000000000000bb"


def crash(bench: SchedulerBench, worker: str) -> None:
    """Crash a worker."""
    bench.scheduler.remove_worker(worker, LossCause.UNLISTED, bench.now)


def crash_workers_of_job(bench: SchedulerBench, rounds: int, job: str = JOB) -> int:
    """Crash each worker that starts something of a job; return how many crashed."""
    crashed = 0
    for number in range(rounds):
        bench.worker(f"crash-{bench.epoch}-{number}")
        bench.now += 2.0
        starts = bench.plan_starts()
        bench.store()
        for worker in {s.worker for s in starts if s.task.step.job.record.id == job}:
            crash(bench, worker)
            crashed += 1
        bench.store()
    return crashed


def crash_all_started(bench: SchedulerBench, rounds: int) -> int:
    """Crash each worker that starts something; return how many crashed."""
    crashed = 0
    for number in range(rounds):
        bench.worker(f"w{number}")
        bench.now += 0.5
        for worker in {start.worker for start in bench.plan_starts()}:
            bench.scheduler.remove_worker(worker, LossCause.UNLISTED, bench.now)
            crashed += 1
        bench.now += 0.5
        bench.store()
    return crashed


def add_suspected_job(bench: SchedulerBench, crashes: int = 2) -> None:
    """Submit a job with one task under which workers have crashed."""
    job = a_job(a_step(count=1))
    marks = tuple(f"old-{number}" for number in range(crashes))
    job.progress = Progress(
        JobState.RUNNING, tasks=[TaskProgress(0, 0, 0, (), "", marks)]
    )
    bench.add(job)


def test_a_job_whose_tasks_crash_their_workers_is_given_up() -> None:
    """Guards against restarting tasks however many workers they crash."""
    bench = SchedulerBench()
    bench.add(a_job(a_step(count=3)))
    assert crash_all_started(bench, rounds=10) <= CONCLUSIVE_CRASHES
    assert bench.stored[JOB].state is JobState.FAILED


def test_a_start_without_a_response_counts_when_its_worker_crashes() -> None:
    """Guards against ignoring a crash that occurs before the start's response."""
    bench = SchedulerBench()
    bench.worker("w1")
    bench.add(a_job(a_step(count=2)))
    starts = [c for c in bench.plan() if isinstance(c, Start)]
    bench.scheduler.reports.start_sent(starts[0].task, starts[0].run)
    crash(bench, "w1")
    assert starts[0].task.crashes == ("w1",)
    assert starts[1].task.crashes == ()


def test_a_run_that_was_stopped_before_the_crash_is_not_suspected() -> None:
    """Guards against giving up a sound job for crashes after its run was stopped."""
    bench = SchedulerBench()
    bench.worker("w1")
    bench.add(a_job(a_step(count=1)))
    (start,) = [c for c in bench.plan() if isinstance(c, Start)]
    reports = bench.scheduler.reports
    reports.start_sent(start.task, start.run)
    reports.start_unknown(start.task, start.run, bench.now)
    reports.stop_answered(start.task, start.run, bench.now)
    crash(bench, "w1")
    assert start.task.crashes == ()


def test_crashes_are_counted_across_a_takeover() -> None:
    """Guards against a new owner that starts the count from zero."""
    bench = SchedulerBench()
    bench.add(a_job(a_step(count=1)))
    assert crash_workers_of_job(bench, rounds=2) == 2
    successor = SchedulerBench(epoch=2, now=bench.now)
    job = a_job(a_step(count=1))
    job.progress = bench.stored[JOB]
    successor.add(job)
    assert crash_workers_of_job(successor, rounds=5) == 1
    assert successor.stored[JOB].state is JobState.FAILED


def test_job_that_the_previous_owner_had_not_evaluated_is_given_up() -> None:
    """Guards against losing an evaluation if the owner changes after the last crash."""
    bench = SchedulerBench(epoch=2)
    add_suspected_job(bench, crashes=MAX_CRASHES)
    bench.worker("w1")
    assert bench.plan_starts() == []
    bench.store()
    assert bench.stored[JOB].state is JobState.FAILED


def test_a_suspected_job_starts_again_only_once_its_crashes_are_stored() -> None:
    """Guards against a crash that the next owner does not know about."""
    bench = SchedulerBench()
    add_suspected_job(bench, crashes=1)
    bench.worker("w1")
    assert len(bench.plan_starts()) == 1
    crash(bench, "w1")
    bench.worker("w2")
    bench.now += 1.0
    assert bench.plan_starts() == []
    bench.store()
    assert len(bench.plan_starts()) == 1


def test_long_running_neighbour_is_not_suspected() -> None:
    """Guards against giving up sound tasks along with the crashing one."""
    bench = SchedulerBench()
    bench.worker("w1")
    bench.add(a_job(a_step(count=1, long_running=True), job=OTHER))
    (long_running,) = bench.plan_starts()
    bench.now += CLEARED_AFTER_SECONDS
    bench.add(a_job(a_step(count=1)))
    (started,) = bench.plan_starts()
    crash(bench, "w1")
    assert started.task.crashes == ("w1",)
    assert long_running.task.crashes == ()


def test_a_task_that_crashes_its_workers_late_is_given_up() -> None:
    """Guards against restarting a long task without end because it ran for a while.

    Run time clears long-running tasks only.
    """
    bench = SchedulerBench()
    bench.add(a_job(a_step(count=1, estimate_ms=20_000)))
    crashed = 0
    for number in range(2 * MAX_CRASHES):
        bench.worker(f"w{number}")
        for start in bench.plan_starts():
            for _ in range(4):
                bench.now += CLEARED_AFTER_SECONDS / 2
                bench.hold(start.worker, [a_row(start.task, 10.0)])
                bench.plan()
            crash(bench, start.worker)
            crashed += 1
        bench.store()
        bench.now += 1.0
    assert crashed == CONCLUSIVE_CRASHES


def test_long_running_task_is_allowed_one_more_crash() -> None:
    """Guards against giving up a long-running job for crashes by coincidence."""
    bench = SchedulerBench()
    bench.add(a_job(a_step(count=1, long_running=True)))
    assert crash_all_started(bench, rounds=10) == MAX_CRASHES
    assert bench.stored[JOB].state is JobState.FAILED


def test_a_long_running_task_outlives_the_job_that_crashes_its_workers() -> None:
    """Guards against giving up a sound task that was on all workers that crashed."""
    bench = SchedulerBench()
    bench.worker("w1")
    bench.add(a_job(a_step(count=1, long_running=True), job=OTHER))
    bench.plan_starts()
    bench.add(a_job(a_step(count=3)))
    assert crash_workers_of_job(bench, rounds=12) <= MAX_CRASHES
    assert bench.stored[JOB].state is JobState.FAILED
    assert bench.task(0, job=OTHER).phase is Phase.RUNNING


@pytest.mark.parametrize("how", ["draining", "cordoned", "ordered", "leases"])
def test_requested_end_is_no_crash(how: str) -> None:
    """Guards against giving up sound tasks in a rolling replacement of workers."""
    bench = SchedulerBench()
    worker = bench.worker("w1")
    bench.add(a_job(a_step(count=1)))
    (start,) = bench.plan_starts()
    worker.draining = how == "draining"
    worker.cordoned = how == "cordoned"
    causes = {"ordered": LossCause.ORDERED, "leases": LossCause.LEASES_EXPIRED}
    cause = causes.get(how, LossCause.UNLISTED)
    bench.scheduler.remove_worker("w1", cause, bench.now)
    assert start.task.crashes == ()


def test_each_start_after_enough_crashes_counts_however_it_ended() -> None:
    """Guards against unbounded starts while the runs end for other causes."""
    bench = SchedulerBench()
    add_suspected_job(bench, crashes=MAX_CRASHES - 1)
    starts = 0
    for number in range(5):
        bench.worker(f"w{number}")
        for start in bench.plan_starts():
            starts += 1
            bench.scheduler.remove_worker(start.worker, LossCause.ORDERED, bench.now)
        bench.now += 1.0
        bench.store()
    assert starts == 1


def test_a_suspected_job_shares_no_worker() -> None:
    """Guards against a crash that ends other jobs' tasks and has many suspects."""
    bench = SchedulerBench()
    bench.worker("w1")
    bench.worker("w2")
    add_suspected_job(bench)
    bench.add(a_job(a_step(count=4), job=OTHER))
    starts = bench.plan_starts()
    bench.add(a_job(a_step(count=4), job="00000000000000cc"))
    starts += bench.plan_starts()
    isolated = {s.worker for s in starts if s.task.step.job.record.id == JOB}
    others = {s.worker for s in starts if s.task.step.job.record.id != JOB}
    assert len(starts) == 9
    assert len(isolated) == 1
    assert not isolated & others


def test_a_suspected_job_waits_for_an_empty_worker_and_requests_one() -> None:
    """Guards against a wait for an instance that is never ordered."""
    bench = SchedulerBench()
    bench.worker("w1")
    bench.add(a_job(a_step(count=1, long_running=True), job=OTHER))
    bench.plan_starts()
    add_suspected_job(bench)
    assert bench.plan_starts() == []
    assert measure(bench.scheduler.state, bench.now)[POOL].isolation_workers == 1


def test_suspected_job_shares_a_worker_after_a_long_wait() -> None:
    """Guards against waiting forever where each worker has a long-running task."""
    bench = SchedulerBench()
    bench.worker("w1")
    bench.add(a_job(a_step(count=1, long_running=True), job=OTHER))
    bench.plan_starts()
    add_suspected_job(bench)
    bench.now += ISOLATION_WAIT_SECONDS + 0.1
    assert bench.plan_starts() == []
    bench.now += CLEARED_AFTER_SECONDS
    assert len(bench.plan_starts()) == 1


def test_a_long_running_task_that_keeps_running_is_cleared() -> None:
    """Guards against giving up long-running tasks for crashes far apart."""
    bench = SchedulerBench()
    bench.add(a_job(a_step(count=1, long_running=True)))
    for number in range(2 * MAX_CRASHES):
        bench.worker(f"w{number}")
        (start,) = bench.plan_starts()
        bench.now += CLEARED_AFTER_SECONDS
        bench.hold(f"w{number}", running=[a_row(start.task, 100.0)])
        bench.plan()
        assert start.task.crashes == ()
        crash(bench, f"w{number}")
        bench.store()
    assert bench.scheduler.state.jobs[JOB].state is JobState.RUNNING


def test_only_runs_that_were_not_stopped_clear_a_long_running_suspect() -> None:
    """Guards against clearing a suspect by runs that were stopped on request."""
    bench = SchedulerBench()
    job = a_job(a_step(count=1, long_running=True))
    marks = [TaskProgress(0, 0, 0, (), "", ("old-0", "old-1"))]
    job.progress = Progress(JobState.RUNNING, tasks=marks)
    bench.add(job)
    bench.worker("w1")
    for number in range(2 * CLEARED_AFTER_RUNS):
        bench.now += 1.0
        (start,) = bench.plan_starts()
        if number < CLEARED_AFTER_RUNS:
            bench.scheduler.state.stop(start.task, "test")
        assert start.task.crashes == ("old-0", "old-1")
        bench.end(start.task, "stopped" if number < CLEARED_AFTER_RUNS else "failed")
    bench.now += 1.0
    (start,) = bench.plan_starts()
    assert start.task.crashes == ()


def test_crash_resets_the_run_count_of_a_long_running_suspect() -> None:
    """Guards against clearing a suspect by runs from before its last crash."""
    bench = SchedulerBench()
    job = a_job(a_step(count=1, long_running=True))
    marks = [TaskProgress(0, 0, 0, (), "", ("old-0",))]
    job.progress = Progress(JobState.RUNNING, tasks=marks)
    bench.add(job)
    for _ in range(CLEARED_AFTER_RUNS - 1):
        bench.worker("w1")
        bench.now += 1.0
        (start,) = bench.plan_starts()
        bench.end(start.task, "failed")
    bench.now += 1.0
    (start,) = bench.plan_starts()
    crash(bench, "w1")
    bench.store()
    bench.worker("w2")
    bench.now += 1.0
    (start,) = bench.plan_starts()
    bench.end(start.task, "failed")
    bench.now += 1.0
    bench.plan()
    assert start.task.crashes == ("old-0", "w1")


def test_a_task_that_is_done_is_suspected_no_longer() -> None:
    bench = SchedulerBench()
    add_suspected_job(bench)
    bench.worker("w1")
    (start,) = bench.plan_starts()
    bench.end(start.task, "done")
    assert not bench.scheduler.state.suspects


def test_a_job_is_not_given_up_at_once_when_workers_crash_together() -> None:
    """Guards against giving up sound jobs when a rack or a pool fails."""
    bench = SchedulerBench()
    add_suspected_job(bench)
    bench.worker("w1")
    bench.worker("w2")
    (start,) = bench.plan_starts()
    crash(bench, "w1")
    bench.now += COMMON_CAUSE_SECONDS / 2
    crash(bench, "w2")
    bench.now += COMMON_CAUSE_SECONDS
    bench.plan()
    assert len(start.task.crashes) == MAX_CRASHES - 1
    assert not start.task.step.job.state.final


def test_two_jobs_that_crash_their_workers_at_once_are_both_given_up() -> None:
    """Guards against two crashing jobs that are each started once more.

    Crashes at the same time must not pass for a common cause that excuses both.
    """
    bench = SchedulerBench()
    add_suspected_job(bench)
    other = a_job(a_step(count=1), job=OTHER)
    marks = [TaskProgress(0, 0, 0, (), "", ("old-0", "old-1"))]
    other.progress = Progress(JobState.RUNNING, tasks=marks)
    bench.add(other)
    for number in range(8):
        bench.worker(f"w{number}")
    for start in bench.plan_starts():
        crash(bench, start.worker)
    bench.now += 2 * COMMON_CAUSE_SECONDS
    bench.plan()
    bench.store()
    assert bench.stored[JOB].state is JobState.FAILED
    assert bench.stored[OTHER].state is JobState.FAILED
