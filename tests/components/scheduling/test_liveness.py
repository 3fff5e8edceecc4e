"""Test that work which can run does run, where a hold has no end."""

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

from .builders import JOB, POOL, SchedulerBench, a_job, a_step
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
    """Plan for some time among workers that do as told."""
    for _ in range(round(seconds / TICK_SECONDS)):
        bench.now += TICK_SECONDS
        bench.plan_starts()


def test_work_waits_for_no_long_running_step_that_no_worker_can_run() -> None:
    """Guard against workers kept empty for tasks whose limit allows none of them."""
    bench = SchedulerBench()
    for name in ("w1", "w2", "w3"):
        bench.worker(name, capacity=Room(cpu=64_000, mem_mb=256_000))
    for number in range(3):
        bench.add(a_job(a_step(count=6, **LONG_RUNNING), job=f"{number:016x}"))
    bench.add(a_job(a_step(**LARGE)))
    _plan_for(bench, WAIT_SECONDS)

    assert [bench.task(index).phase for index in range(6)] == 6 * [Phase.RUNNING]


def _done_after_a_takeover(
    job: LedgerJob, stray: TaskName, step: SubmittedStep, workers: int, quota: int = 0
) -> set[TaskName]:
    """Return what is done of a job some time after an owner took over.

    :param stray: runs on the first worker, and is to be stopped there.
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
        first.runs[stray] = Run(stray, 1, step, WAIT_SECONDS, "done", now, now)
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


def test_a_worker_whose_only_run_is_of_a_job_that_is_over_takes_work_again() -> None:
    """Guard against a worker that lists a run of a job that is not known any more, is
    not asked again once that was stopped, and so is given nothing for ever.
    """
    stray = TaskName("00000000000000ff", 0, 0, 0)
    job = a_job(a_step(count=1), queue="plain", accepted_at=1e6)

    done = _done_after_a_takeover(job, stray, a_step(), workers=1)

    assert done == {TaskName(JOB, 0, 0, 0)}


def _half_done_job(**changes: object) -> LedgerJob:
    """Return a job whose first step is done, and whose second has its turn."""
    step = a_step(**MOST_OF_A_WORKER)
    after = a_step(**MOST_OF_A_WORKER, after=[0])
    job = a_job(step, after, queue="plain", accepted_at=1e6, **changes)
    job.progress = Progress(JobState.RUNNING, [StepProgress(0, 0, pack_indices([0]))])
    return job


def test_room_of_an_orphan_run_is_released_though_nothing_else_runs_there() -> None:
    """Guard against a run of a task that is done, whose room stays taken for ever on a
    worker that is not asked again.
    """
    job = _half_done_job()

    done = _done_after_a_takeover(
        job, TaskName(JOB, 0, 0, 0), job.record.steps[0], workers=1
    )

    assert done == {TaskName(JOB, 0, 1, 0)}


def test_quota_of_an_orphan_run_is_released_though_nothing_else_runs_there() -> None:
    """Guard against a run of a task that is done, which counts for its organisation for
    ever, so that this starts nothing on any worker.
    """
    job = _half_done_job(organisation="a")

    done = _done_after_a_takeover(
        job, TaskName(JOB, 0, 0, 0), job.record.steps[0], workers=2, quota=8000
    )

    assert done == {TaskName(JOB, 0, 1, 0)}


def test_step_requests_advice_again_once_its_allowed_workers_are_gone() -> None:
    """Guard against tickets of workers that are gone, which keep a step from asking for
    others as long as they are valid.
    """
    bench = SchedulerBench(policy=QueuePolicy(POOL, advice=True))
    bench.worker("w1")
    bench.add(a_job())
    asked = [c for c in bench.plan() if isinstance(c, RequestAdvice)]
    bench.scheduler.set_tickets(asked[0].step, {"w1": "t"}, bench.now + 60.0)
    bench.scheduler.remove_worker("w1", LossCause.UNLISTED, bench.now)
    bench.worker("w2")
    bench.now += WAIT_SECONDS

    asked = [c for c in bench.plan() if isinstance(c, RequestAdvice)]

    assert [ask.workers for ask in asked] == [("w2",)]


def test_step_requests_advice_on_new_workers_once_its_own_may_run_no_more() -> None:
    """Guard against a lasting step that keeps to the workers it asked about first."""
    bench = SchedulerBench(policy=QueuePolicy(POOL, advice=True))
    bench.worker("w1")
    bench.add(a_job(a_step(long_running=True, max_per_server=1)))
    asked = [c for c in bench.plan() if isinstance(c, RequestAdvice)]
    bench.scheduler.set_tickets(asked[0].step, {"w1": "t"}, bench.now + 60.0)
    assert len(bench.plan_starts()) == 1
    bench.worker("w2")
    bench.now += WAIT_SECONDS

    asked = [c for c in bench.plan() if isinstance(c, RequestAdvice)]

    assert [set(ask.workers) for ask in asked] == [{"w1", "w2"}]
