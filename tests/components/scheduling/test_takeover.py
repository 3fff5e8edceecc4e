"""Test which tasks a new owner starts, adopts and holds back."""

from __future__ import annotations

from mustardward.components.ledger.ledger import LedgerJob
from mustardward.components.ledger.models import JobState, Progress, TaskProgress
from mustardward.components.scheduling.commands import Stop
from mustardward.components.scheduling.models import Phase
from mustardward.platform.workers import EndedTask, RunningTask, TaskName

from .builders import JOB, SchedulerBench, a_job, a_step, an_entry

OTHER = "00000000000000bb"


def a_successor() -> SchedulerBench:
    """Return a scheduler that took over and has not confirmed all workers."""
    bench = SchedulerBench(epoch=2)
    bench.scheduler.state.taken_over_at = bench.now
    bench.scheduler.state.takeover_hold_until = bench.now + 9.0
    return bench


def stored_job() -> LedgerJob:
    """Return a job that a previous owner may have started."""
    job = a_job()
    job.progress = Progress(JobState.RUNNING)
    return job


def test_jobs_of_a_previous_owner_wait_for_unresponsive_workers() -> None:
    bench = a_successor()
    bench.worker("w1")
    bench.add(stored_job())
    assert bench.plan_starts() == []
    bench.scheduler.state.takeover_hold_until = 0.0
    assert len(bench.plan_starts()) == 2


def test_job_that_no_owner_has_stored_starts_at_once() -> None:
    """Guards against holding back jobs that no previous owner can have started.

    A data centre with the owner and some workers is partitioned, and jobs are accepted
    for 1.5 s until the takeover. If the next owner holds them until the leases of the
    unreachable workers expire 5.5 s later, they are late (48 in one case) while half
    their pool is idle.
    """
    bench = a_successor()
    bench.worker("w1")
    bench.add(a_job(accepted_at=bench.now - 1.0))
    assert len(bench.plan_starts()) == 2


def test_no_task_of_a_job_starts_before_its_acceptance_is_stored() -> None:
    """Guards against a task that the next owner starts again, unaware of its run."""
    bench = SchedulerBench()
    bench.worker("w1")
    bench.add(a_job(), stored=False)
    assert bench.plan_starts() == []
    ((job_id, progress),) = bench.scheduler.take_dirty(bench.now, bench.now)
    policy = bench.policy.to_record()
    assert progress == Progress(JobState.QUEUED, policy=policy)
    assert bench.plan_starts() == []
    bench.scheduler.mark_stored([job_id])
    assert len(bench.plan_starts()) == 2


def test_jobs_accepted_after_the_takeover_start_at_once() -> None:
    """Guards against holding back jobs that were accepted after the takeover.

    A rack crashes, so that a worker is unresponsive, and the owner is restarted. If all
    jobs wait until that worker's leases expire, no job of the pool runs for 15 s.
    """
    bench = a_successor()
    bench.worker("w1")
    bench.now += 0.5
    bench.add(a_job(accepted_at=bench.now))
    assert len(bench.plan_starts()) == 2


def test_running_tasks_are_adopted_and_not_started_again() -> None:
    bench = a_successor()
    bench.scheduler.state.takeover_hold_until = 0.0
    bench.add(a_job(a_step(count=2)))
    bench.scheduler.update_worker("w1", an_entry(), bench.now)
    running = RunningTask(TaskName(JOB, 0, 0, 0), 1048577, "abc", 40.0, 0.0)
    bench.hold("w1", running=[running])
    starts = bench.plan_starts()
    assert [start.task.index for start in starts] == [1]
    adopted = bench.task(0)
    assert adopted.phase is Phase.RUNNING
    assert adopted.checkpoint == "abc"
    assert starts[0].run > 1048577


def test_ends_that_were_stored_are_not_counted_twice() -> None:
    bench = a_successor()
    bench.scheduler.state.takeover_hold_until = 0.0
    job = a_job(a_step(count=1))
    job.progress = Progress(JobState.RUNNING, tasks=[TaskProgress(0, 0, 0, (7,))])
    bench.add(job)
    bench.scheduler.update_worker("w1", an_entry(), bench.now)
    bench.hold("w1", ended=[EndedTask(1, TaskName(JOB, 0, 0, 0), 7, "failed", "")])
    assert bench.task(0).failed_runs == (7,)
    assert len(bench.plan_starts()) == 1


def test_failed_runs_count_in_whichever_order_they_are_reported() -> None:
    """Guards against a fourth start of a task after three failed runs.

    A worker is partitioned and its run given up; the next run fails elsewhere before
    the partition heals and the first worker reports that its run failed. The older run
    must not be mistaken for a repeated report of the newer one.
    """
    bench = SchedulerBench()
    bench.worker("w1")
    bench.add(a_job(a_step(count=1)))
    task = bench.task(0)
    name = task.name
    bench.hold("w1", ended=[EndedTask(1, name, 9, "failed", "")])
    bench.hold("w1", ended=[EndedTask(2, name, 5, "failed", "")])
    bench.hold("w1", ended=[EndedTask(3, name, 7, "failed", "")])
    assert bench.plan_starts() == []
    assert task.step.job.state is JobState.FAILED


def test_runs_of_an_ended_job_are_stopped() -> None:
    bench = a_successor()
    bench.scheduler.update_worker("w1", an_entry(), bench.now)
    name = TaskName(OTHER, 0, 0, 0)
    bench.hold("w1", running=[RunningTask(name, 5, "", 10.0, 0.0)])
    stops = [c for c in bench.plan() if isinstance(c, Stop)]
    assert [(stop.name, stop.run) for stop in stops] == [(name, 5)]
