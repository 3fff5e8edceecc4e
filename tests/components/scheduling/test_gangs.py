"""Test how often a gang is run, and where, after some of its members have failed."""

from __future__ import annotations

from mustardward.components.ledger.models import JobState
from mustardward.components.scheduling.models import QueuePolicy
from mustardward.platform.models import ENDED_FAILED, QueueAdvice

from .builders import ADVICE, JOB, POOL, SchedulerBench, a_job, a_row, a_step

MEMBERS = 3
MAX_ATTEMPTS = 3
BROKEN = "broken"


def a_gang(workers: int = 8, advice: QueueAdvice | None = None) -> SchedulerBench:
    """Return a pool with a waiting gang, two members of which fit on a worker."""
    policy = QueuePolicy(service=POOL, max_attempts=MAX_ATTEMPTS, advice=advice)
    bench = SchedulerBench(policy=policy)
    for number in range(workers):
        bench.worker(f"w{number}")
    bench.add(a_job(a_step(count=MEMBERS, cpu=4000, gang=True)))
    return bench


def a_successor(bench: SchedulerBench) -> SchedulerBench:
    """Return the next owner of the gang, with what the owner before has stored."""
    successor = SchedulerBench(policy=bench.policy, epoch=2)
    for name in bench.scheduler.state.workers:
        successor.worker(name)
    job = a_job(a_step(count=MEMBERS, cpu=4000, gang=True))
    job.progress = bench.stored[JOB]
    successor.add(job)
    return successor


def fail_on(bench: SchedulerBench, bad: set[str]) -> set[str]:
    """Run the gang once; the members on some workers fail. Return its workers."""
    starts = bench.plan_starts()
    used = {start.worker for start in starts}
    for start in starts:
        if used & bad:
            how = ENDED_FAILED if start.worker in bad else BROKEN
            bench.end(start.task, how)
    return used


def test_failed_members_of_one_run_count_as_one_attempt() -> None:
    """Guard against a gang that is given up after its first run."""
    bench = a_gang()
    for _ in range(MAX_ATTEMPTS - 1):
        every = set(bench.scheduler.state.workers)
        assert fail_on(bench, every)
        assert bench.scheduler.state.jobs[JOB].state is JobState.RUNNING
    fail_on(bench, set(bench.scheduler.state.workers))
    assert bench.scheduler.state.jobs[JOB].state is JobState.FAILED


def test_gang_avoids_workers_on_which_a_member_failed() -> None:
    """Guard against a gang that uses up its attempts on one faulty worker."""
    bench = a_gang()
    first = fail_on(bench, set(bench.scheduler.state.workers))
    second = fail_on(bench, set())
    assert second
    assert not first & second


def test_gang_asks_for_advice_on_workers_where_no_member_failed() -> None:
    """Guard against a gang that keeps to a faulty worker since it has its ticket."""
    bench = a_gang(advice=ADVICE)
    request = bench.plan_request()
    assert request is not None
    bench.advise(request, *request.workers[:2])
    first = fail_on(bench, set(bench.scheduler.state.workers))
    assert first
    while (request := bench.plan_request()) is not None:
        assert not first & set(request.workers)
        bench.advise(request, *request.workers)
    step = bench.task(0).step
    assert not first & {name for name, count in step.on_worker.items() if count}
    assert step.active == MEMBERS


def test_gang_uses_avoided_workers_if_there_are_no_others() -> None:
    """Guard against a gang that waits forever since it failed on all workers."""
    bench = a_gang(workers=2)
    first = fail_on(bench, set(bench.scheduler.state.workers))
    assert fail_on(bench, set()) == first


def test_attempts_of_a_gang_are_counted_by_the_next_owner() -> None:
    """Guard against attempts that a takeover or repeated ends count again."""
    bench = a_gang()
    fail_on(bench, set(bench.scheduler.state.workers))
    fail_on(bench, set(bench.scheduler.state.workers))
    bench.store()
    successor = a_successor(bench)
    reports = successor.scheduler.reports
    for task in (successor.task(index) for index in range(MEMBERS)):
        reports.intake.handle_task_failed(task)
    assert successor.scheduler.state.jobs[JOB].state is JobState.RUNNING
    fail_on(successor, set(successor.scheduler.state.workers))
    assert successor.scheduler.state.jobs[JOB].state is JobState.FAILED


def test_members_of_a_gang_start_from_one_checkpoint() -> None:
    """Guard against members that start from different checkpoints of their own."""
    bench = a_gang()
    starts = bench.plan_starts()
    for start in starts:
        own = f"{start.task.index:016x}"
        bench.hold(start.worker, running=[a_row(start.task, 50.0, own)])
    for start in starts:
        bench.end(start.task, BROKEN, checkpoint=f"{start.task.index + 8:016x}")
    restarted = bench.plan_starts()
    checkpoints = {start.task.checkpoint for start in restarted}
    assert len(restarted) == MEMBERS
    assert len(checkpoints) == 1
    assert checkpoints != {""}


def test_checkpoint_of_a_gang_reaches_the_next_owner() -> None:
    """Guard against a gang that starts from nothing after a takeover."""
    bench = a_gang()
    (start, *others) = bench.plan_starts()
    bench.end(start.task, BROKEN, checkpoint="c" * 16)
    for other in others:
        bench.end(other.task, BROKEN)
    bench.store()
    successor = a_successor(bench)
    restarted = successor.plan_starts()
    assert {start.task.checkpoint for start in restarted} == {"c" * 16}
