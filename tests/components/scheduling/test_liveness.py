"""Test that runnable work runs in cases in which a hold could last for ever."""

from __future__ import annotations

import asyncio

import anyio

from mustardward.components.ledger.bitset import pack_indices
from mustardward.components.ledger.ledger import LedgerJob
from mustardward.components.ledger.models import (
    JobState,
    OwnerRecord,
    Progress,
    StepProgress,
)
from mustardward.components.scheduling.commands import RequestAdvice
from mustardward.components.scheduling.losses import LossCause
from mustardward.components.scheduling.models import Phase, QueuePolicy
from mustardward.platform.models import Room, SubmittedStep
from mustardward.platform.workers import TaskName

from .builders import ADVICE, JOB, POOL, SchedulerBench, a_job, a_step
from .liveness_jobs import POLICIES, POOL_A
from .liveness_owner import Directory, Owner
from .liveness_virtual_time import VirtualTimeLoop
from .liveness_world import ModelWorker, Run, World

TICK_SECONDS = 0.1
WAIT_SECONDS = 10.0
LEASE_SECONDS = 4.0

LONG_RUNNING = {"long_running": True, "max_per_server": 1, "cpu": 1000, "mem_mb": 1000}
LARGE = {"count": 6, "cpu": 7000, "mem_mb": 28_000}
MOST_OF_A_WORKER = {"count": 1, "cpu": 6000}


def _plan_for(bench: SchedulerBench, seconds: float) -> None:
    """Plan for some time with workers that carry out all commands."""
    for _ in range(round(seconds / TICK_SECONDS)):
        bench.now += TICK_SECONDS
        bench.plan_starts()


def test_work_waits_for_no_long_running_step_that_no_worker_can_run() -> None:
    """Guards against workers reserved for long-running tasks that may not run on them.

    The three steps have more tasks than the limit of one per worker allows.
    """
    bench = SchedulerBench()
    for name in ("w1", "w2", "w3"):
        bench.worker(name, capacity=Room(cpu=64_000, mem_mb=256_000))
    for number in range(3):
        bench.add(a_job(a_step(count=6, **LONG_RUNNING), job=f"{number:016x}"))
    bench.add(a_job(a_step(**LARGE)))
    _plan_for(bench, WAIT_SECONDS)

    assert [bench.task(index).phase for index in range(6)] == 6 * [Phase.RUNNING]


def _done_after_takeover(
    job: LedgerJob, orphan: TaskName, step: SubmittedStep, workers: int, quota: int = 0
) -> set[TaskName]:
    """Return the tasks of a job that are done some time after a takeover.

    :param orphan: an orphan run on the first worker, which the owner has to stop.
    :param step: the step of the orphan run.
    """

    async def async_own() -> set[TaskName]:
        world = World(0)
        world.faults_enabled = False
        world.jobs[job.record.id] = job
        now = world.now
        for number in range(workers):
            name = f"w{number}"
            world.workers[name] = ModelWorker(
                name, 1, POOL_A, "z1", ("a", "r1"), Room(8000, 8000), True, now
            )
        first = world.workers["w0"]
        first.runs[orphan] = Run(orphan, 1, step, WAIT_SECONDS, "done", now, now)
        first.lease_until = now + LEASE_SECONDS
        entries = {w.id: w.entry(now) for w in world.workers.values()}
        directory = Directory(entries)
        world.quotas["a"] = Room(cpu=quota)
        owner = Owner(world, directory, 2, POLICIES)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(owner.async_run, OwnerRecord(1, "", "", 0, settled=True))
            while world.now < now + 2 * WAIT_SECONDS:
                await anyio.sleep(TICK_SECONDS)
                world.advance()
            tasks.cancel_scope.cancel()
        assert not first.runs
        return directory.done

    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(async_own())


def test_worker_whose_only_run_is_of_an_unknown_job_gets_work_again() -> None:
    """Guards against a worker that gets no work after it listed a run of a removed job.

    It happens if the worker isn't polled again once that run has been stopped.
    """
    orphan = TaskName("00000000000000ff", 0, 0, 0)
    job = a_job(a_step(count=1), queue="plain", accepted_at=1e6)

    done = _done_after_takeover(job, orphan, a_step(), workers=1)

    assert done == {TaskName(JOB, 0, 0, 0)}


def _half_done_job(**changes: object) -> LedgerJob:
    """Return a job whose first step is done and whose second step is ready."""
    step = a_step(**MOST_OF_A_WORKER)
    after = a_step(**MOST_OF_A_WORKER, after=[0])
    job = a_job(step, after, queue="plain", accepted_at=1e6, **changes)
    job.progress = Progress(JobState.RUNNING, [StepProgress(0, 0, pack_indices([0]))])
    return job


def test_room_of_an_orphan_run_is_released_though_nothing_else_runs_there() -> None:
    """Guards against room that stays reserved for an orphan run that has ended.

    It happens if its worker, on which nothing else runs, isn't polled again.
    """
    job = _half_done_job()

    done = _done_after_takeover(
        job, TaskName(JOB, 0, 0, 0), job.record.steps[0], workers=1
    )

    assert done == {TaskName(JOB, 0, 1, 0)}


def test_quota_of_an_orphan_run_is_released_though_nothing_else_runs_there() -> None:
    """Guards against a quota that counts an orphan run that has ended.

    The organisation can then start nothing on any worker.
    """
    job = _half_done_job(organisation="a")

    done = _done_after_takeover(
        job, TaskName(JOB, 0, 0, 0), job.record.steps[0], workers=2, quota=8000
    )

    assert done == {TaskName(JOB, 0, 1, 0)}


def test_step_requests_advice_again_once_its_allowed_workers_are_gone() -> None:
    """Guards against a step that waits until tickets for removed workers expire.

    It must request advice on other workers while those tickets are still valid.
    """
    bench = SchedulerBench(policy=QueuePolicy(POOL, advice=ADVICE))
    bench.worker("w1")
    bench.add(a_job())
    bench.advise(bench.plan_request(), "w1")
    bench.scheduler.remove_worker("w1", LossCause.UNLISTED, bench.now)
    bench.worker("w2")
    bench.now += WAIT_SECONDS

    requests = [c for c in bench.plan() if isinstance(c, RequestAdvice)]

    assert [request.workers for request in requests] == [("w2",)]


def test_step_requests_advice_on_new_workers_once_its_own_are_at_their_limit() -> None:
    """Guards against a long-running step that never requests advice on new workers."""
    bench = SchedulerBench(policy=QueuePolicy(POOL, advice=ADVICE))
    bench.worker("w1")
    bench.add(a_job(a_step(long_running=True, max_per_server=1)))
    bench.advise(bench.plan_request(), "w1")
    assert len(bench.plan_starts()) == 1
    bench.worker("w2")
    bench.now += WAIT_SECONDS

    requests = [c for c in bench.plan() if isinstance(c, RequestAdvice)]

    assert [request.workers for request in requests] == [("w2",)]
