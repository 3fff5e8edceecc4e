"""Test that no organisation exceeds its quota, and that none waits below it."""

from __future__ import annotations

import pytest

from mustardward.components.ledger.models import JobState, Progress
from mustardward.components.scheduling.demand import measure
from mustardward.components.scheduling.inflow import Amount
from mustardward.components.scheduling.losses import LossCause
from mustardward.components.scheduling.models import Phase
from mustardward.components.scheduling.quotas import Quotas
from mustardward.platform.models import Room
from mustardward.platform.workers import RunningTask, TaskName

from .builders import POOL, SchedulerBench, a_job, a_row, a_step, an_entry

DAIRY = "dairy"
GAUGES = "gauges"
OTHER_JOB = "00000000000000bb"
THREE_CORES = Room(cpu=3000)


def a_bench(quota: Room = THREE_CORES, workers: int = 2) -> SchedulerBench:
    """Return a bench with workers of eight cores and a quota for one organisation."""
    bench = SchedulerBench(quotas={DAIRY: quota})
    for number in range(workers):
        bench.worker(f"w{number}")
    return bench


def test_a_quota_limits_the_runs_in_all_pools_together() -> None:
    bench = a_bench()
    bench.worker("other", service="pool-b")
    bench.add(a_job(a_step(count=6), organisation=DAIRY))
    bench.add(a_job(a_step(count=6), job=OTHER_JOB, organisation=DAIRY))
    assert len(bench.plan_starts()) == 3


@pytest.mark.parametrize(
    ("quota", "started"),
    [(Room(cpu=2500), 2), (Room(mem_mb=300), 3), (Room(gpu=4), 2), (Room(), 6)],
)
def test_each_resource_of_a_quota_is_a_limit_unless_it_is_0(
    quota: Room, started: int
) -> None:
    bench = a_bench(quota)
    bench.worker("w9", capacity=Room(8000, 8000, 32))
    gpu = 2 if quota.gpu else 0
    bench.add(a_job(a_step(count=6, gpu=gpu), organisation=DAIRY))
    assert len(bench.plan_starts()) == started


def test_room_above_a_quota_goes_to_others() -> None:
    """Guards against a busy organisation that fills a pool while all others wait."""
    bench = a_bench(Room(cpu=2000), workers=1)
    bench.add(a_job(a_step(count=40), organisation=DAIRY))
    bench.add(a_job(a_step(count=4), job=OTHER_JOB, organisation=GAUGES))
    starts = bench.plan_starts()
    assert sorted(s.task.step.job.organisation for s in starts) == (
        [DAIRY] * 2 + [GAUGES] * 4
    )


def test_stopping_and_uncertain_runs_still_count() -> None:
    bench = a_bench(Room(cpu=2000))
    bench.add(a_job(a_step(count=2), organisation=DAIRY))
    first, second = bench.plan_starts()
    bench.scheduler.state.stop(first.task, "test")
    bench.scheduler.state.mark_uncertain(second.task, bench.now)
    bench.add(a_job(a_step(count=2), job=OTHER_JOB, organisation=DAIRY))
    assert bench.plan_starts() == []
    bench.end(first.task, "stopped")
    assert len(bench.plan_starts()) == 1


def test_run_on_an_unreachable_worker_counts_until_its_lease_expires() -> None:
    bench = a_bench(Room(cpu=2000), workers=1)
    bench.add(a_job(a_step(count=2), organisation=DAIRY))
    assert len(bench.plan_starts()) == 2
    bench.scheduler.state.workers["w0"].stale = True
    bench.worker("w1")
    bench.add(a_job(a_step(count=2), job=OTHER_JOB, organisation=DAIRY))
    assert bench.plan_starts() == []
    bench.scheduler.remove_worker("w0", LossCause.UNLISTED, bench.now)
    assert len(bench.plan_starts()) == 2


def test_orphan_run_counts_until_it_is_no_longer_listed() -> None:
    """Guards against an organisation that runs twice its quota.

    A run that a worker started late, and that is being stopped, has to count too.
    """
    bench = a_bench(Room(cpu=2000))
    bench.add(a_job(a_step(count=1), organisation=DAIRY))
    (start,) = bench.plan_starts()
    orphan = RunningTask(start.task.name, start.run - 1, "", 10.0, 0.0)
    other = "w1" if start.worker == "w0" else "w0"
    bench.hold(other, running=[orphan])
    bench.add(a_job(a_step(count=1), job=OTHER_JOB, organisation=DAIRY))
    assert bench.plan_starts() == []
    bench.hold(other)
    assert len(bench.plan_starts()) == 1


def test_orphan_runs_end_with_their_worker() -> None:
    bench = a_bench(Room(cpu=1000))
    bench.add(a_job(a_step(count=1), organisation=DAIRY))
    orphan = RunningTask(TaskName(only_job_id(bench), 0, 0, 0), 5, "", 1.0, 0.0)
    bench.scheduler.cancel_job(orphan.task.job)
    bench.hold("w0", running=[orphan])
    assert bench.scheduler.state.quotas.used(DAIRY).cpu == 1000
    bench.scheduler.replace_worker("w0", 7, an_entry(), bench.now)
    assert bench.scheduler.state.quotas.used(DAIRY).cpu == 0
    bench.hold("w0", running=[orphan])
    bench.scheduler.remove_worker("w0", LossCause.UNLISTED, bench.now)
    assert bench.scheduler.state.quotas.used(DAIRY).cpu == 0


def only_job_id(bench: SchedulerBench) -> str:
    (job,) = bench.scheduler.state.jobs
    return job


def test_unconfirmed_runs_count_after_a_takeover() -> None:
    """Guards against an organisation that runs twice its quota after a takeover.

    After a network partition the previous owner still starts tasks on the workers that
    it reaches. The new owner does not reach these, and starts new jobs of the
    organisation elsewhere. Runs that may exist on unconfirmed workers have to count.
    """
    bench = a_bench(Room(cpu=3000))
    state = bench.scheduler.state
    state.takeover_hold_until = bench.now + 9.0
    previous_job = a_job(a_step(count=2), organisation=DAIRY)
    previous_job.progress = Progress(JobState.RUNNING)
    bench.add(previous_job)
    bench.add(a_job(a_step(count=3), job=OTHER_JOB, organisation=DAIRY))
    assert len(bench.plan_starts()) == 1
    state.takeover_hold_until = 0.0
    assert len(bench.plan_starts()) == 2


def test_a_changed_quota_applies_from_the_next_plan_on() -> None:
    bench = a_bench(Room(cpu=4000))
    bench.add(a_job(a_step(count=9), organisation=DAIRY))
    starts = bench.plan_starts()
    assert len(starts) == 4
    bench.quotas[DAIRY] = Room(cpu=2000)
    bench.end(starts[0].task, "done")
    bench.end(starts[1].task, "done")
    assert bench.plan_starts() == []
    bench.end(starts[2].task, "done")
    assert len(bench.plan_starts()) == 1
    bench.quotas[DAIRY] = Room(cpu=6000)
    assert len(bench.plan_starts()) == 4


def test_a_task_larger_than_its_quota_runs_alone() -> None:
    """Guards against such a task that waits for ever."""
    bench = a_bench(Room(cpu=500))
    bench.add(a_job(a_step(count=2), organisation=DAIRY))
    (start,) = bench.plan_starts()
    assert bench.plan_starts() == []
    bench.end(start.task, "done")
    assert len(bench.plan_starts()) == 1


def test_a_gang_starts_as_a_whole_within_its_quota() -> None:
    bench = a_bench(Room(cpu=3000))
    bench.add(a_job(a_step(count=1), organisation=DAIRY))
    (start,) = bench.plan_starts()
    bench.add(a_job(a_step(count=3, gang=True), job=OTHER_JOB, organisation=DAIRY))
    assert bench.plan_starts() == []
    bench.end(start.task, "done")
    assert len(bench.plan_starts()) == 3


def test_a_filling_step_counts_by_its_requested_resources() -> None:
    bench = a_bench(Room(cpu=2000))
    step = a_step(count=6, long_running=True, fills=True)
    bench.add(a_job(step, organisation=DAIRY))
    assert len(bench.plan_starts()) == 2


def test_usage_is_released_however_a_run_ends() -> None:
    bench = a_bench(Room(cpu=4000))
    quotas = bench.scheduler.state.quotas
    bench.add(a_job(a_step(count=4), organisation=DAIRY))
    done, failed, uncertain, refused = bench.plan()
    bench.accept(done)  # type: ignore[arg-type]
    bench.accept(failed)  # type: ignore[arg-type]
    reports = bench.scheduler.reports
    reports.start_refused(refused.task, refused.run, bench.now)  # type: ignore
    assert quotas.used(DAIRY).cpu == 3000
    reports.start_unknown(uncertain.task, uncertain.run, bench.now)  # type: ignore
    reports.stop_answered(uncertain.task, uncertain.run, bench.now)  # type: ignore
    assert uncertain.task.phase is Phase.UNCERTAIN  # type: ignore[union-attr]
    bench.end(done.task, "done")  # type: ignore[union-attr, arg-type]
    bench.end(failed.task, "failed")  # type: ignore[union-attr, arg-type]
    for worker in list(bench.scheduler.state.workers.values()):
        bench.hold(worker.id, running=[a_row(t, 1.0) for t in worker.tasks.values()])
    bench.scheduler.cancel_job(a_job().record.id)
    for name in ("w0", "w1"):
        bench.hold(name)
        bench.hold(name)
    bench.scheduler.remove_worker("w0", LossCause.UNLISTED, bench.now)
    bench.scheduler.remove_worker("w1", LossCause.UNLISTED, bench.now)
    assert quotas.used(DAIRY) == Amount()


def test_work_that_a_quota_holds_back_is_no_demand_for_instances() -> None:
    """Guards against a pool that grows for such work and whose instances stay idle."""
    bench = a_bench(Room(cpu=2000))
    bench.add(a_job(a_step(count=22), organisation=DAIRY))
    bench.plan_starts()
    assert measure(bench.scheduler.state, bench.now)[POOL].waiting.cpu == 0
    bench.quotas[DAIRY] = Room(cpu=12_000)
    assert measure(bench.scheduler.state, bench.now)[POOL].waiting.cpu == 10_000


def test_work_without_an_organisation_is_not_limited() -> None:
    quotas = Quotas(lambda organisation: Room(cpu=1) if organisation else Room(cpu=1))
    quotas.reserve("", Room(cpu=50))
    assert quotas.allows("", Room(cpu=99))
    assert quotas.used("") == Amount()
