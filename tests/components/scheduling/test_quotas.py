"""Test that no organisation passes its quota, and none waits below it."""

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
ANOTHER = "00000000000000bb"
THREE_CORES = Room(cpu=3000)


def a_bench(quota: Room = THREE_CORES, workers: int = 2) -> SchedulerBench:
    """Return workers of eight cores, and a quota for the dairy."""
    bench = SchedulerBench(quotas={DAIRY: quota})
    for number in range(workers):
        bench.worker(f"w{number}")
    return bench


def test_a_quota_bounds_what_runs_in_all_pools_together() -> None:
    bench = a_bench()
    bench.worker("other", service="pool-b")
    bench.add(a_job(a_step(count=6), organisation=DAIRY))
    bench.add(a_job(a_step(count=6), job=ANOTHER, organisation=DAIRY))
    assert len(bench.plan_starts()) == 3


@pytest.mark.parametrize(
    ("quota", "started"),
    [(Room(cpu=2500), 2), (Room(mem_mb=300), 3), (Room(gpu=4), 2), (Room(), 6)],
)
def test_each_resource_of_a_quota_binds_and_0_is_no_limit(
    quota: Room, started: int
) -> None:
    bench = a_bench(quota)
    bench.worker("w9", capacity=Room(8000, 8000, 32))
    gpu = 2 if quota.gpu else 0
    bench.add(a_job(a_step(count=6, gpu=gpu), organisation=DAIRY))
    assert len(bench.plan_starts()) == started


def test_room_above_a_quota_goes_to_others() -> None:
    """Load: a hot organisation fills a pool, and everybody else waits behind it."""
    bench = a_bench(Room(cpu=2000), workers=1)
    bench.add(a_job(a_step(count=40), organisation=DAIRY))
    bench.add(a_job(a_step(count=4), job=ANOTHER, organisation=GAUGES))
    starts = bench.plan_starts()
    assert sorted(s.task.step.job.organisation for s in starts) == (
        [DAIRY] * 2 + [GAUGES] * 4
    )


def test_what_is_being_stopped_or_got_no_answer_still_counts() -> None:
    bench = a_bench(Room(cpu=2000))
    bench.add(a_job(a_step(count=2), organisation=DAIRY))
    first, second = bench.plan_starts()
    bench.scheduler.state.stop(first.task, "test")
    bench.scheduler.state.mark_uncertain(second.task)
    bench.add(a_job(a_step(count=2), job=ANOTHER, organisation=DAIRY))
    assert bench.plan_starts() == []
    bench.end(first.task, "stopped")
    assert len(bench.plan_starts()) == 1


def test_run_on_a_cut_off_worker_counts_until_its_lease_expires() -> None:
    bench = a_bench(Room(cpu=2000), workers=1)
    bench.add(a_job(a_step(count=2), organisation=DAIRY))
    assert len(bench.plan_starts()) == 2
    bench.scheduler.state.workers["w0"].stale = True
    bench.worker("w1")
    bench.add(a_job(a_step(count=2), job=ANOTHER, organisation=DAIRY))
    assert bench.plan_starts() == []
    bench.scheduler.remove_worker("w0", LossCause.UNLISTED, bench.now)
    assert len(bench.plan_starts()) == 2


def test_orphan_run_counts_until_it_is_no_longer_listed() -> None:
    """Symptom: an organisation has twice its quota running. Cause: a run that a worker
    began late, and that is being stopped, was counted for nobody."""
    bench = a_bench(Room(cpu=2000))
    bench.add(a_job(a_step(count=1), organisation=DAIRY))
    (start,) = bench.plan_starts()
    stray = RunningTask(start.task.name, start.run - 1, "", 10.0, 0.0)
    other = "w1" if start.worker == "w0" else "w0"
    bench.hold(other, running=[stray])
    bench.add(a_job(a_step(count=1), job=ANOTHER, organisation=DAIRY))
    assert bench.plan_starts() == []
    bench.hold(other)
    assert len(bench.plan_starts()) == 1


def test_orphan_runs_end_with_their_worker() -> None:
    bench = a_bench(Room(cpu=1000))
    bench.add(a_job(a_step(count=1), organisation=DAIRY))
    stray = RunningTask(TaskName(bench_job(bench), 0, 0, 0), 5, "", 1.0, 0.0)
    bench.scheduler.cancel_job(stray.task.job)
    bench.hold("w0", running=[stray])
    assert bench.scheduler.state.quotas.used(DAIRY).cpu == 1000
    bench.scheduler.replace_worker("w0", 7, an_entry(), bench.now)
    assert bench.scheduler.state.quotas.used(DAIRY).cpu == 0
    bench.hold("w0", running=[stray])
    bench.scheduler.remove_worker("w0", LossCause.UNLISTED, bench.now)
    assert bench.scheduler.state.quotas.used(DAIRY).cpu == 0


def bench_job(bench: SchedulerBench) -> str:
    (job,) = bench.scheduler.state.jobs
    return job


def test_unconfirmed_runs_count_after_a_takeover() -> None:
    """Symptom: an organisation has its quota running twice, after a takeover by a cut.

    Sequence: the owner is cut off with some workers, and goes on ordering there; the
    next one has not heard of them, and starts the organisation's new jobs elsewhere.
    Cause: only what workers had told counted.
    """
    bench = a_bench(Room(cpu=3000))
    state = bench.scheduler.state
    state.takeover_hold_until = bench.now + 9.0
    held = a_job(a_step(count=2), organisation=DAIRY)
    held.progress = Progress(JobState.RUNNING)
    bench.add(held)
    bench.add(a_job(a_step(count=3), job=ANOTHER, organisation=DAIRY))
    assert len(bench.plan_starts()) == 1
    state.takeover_hold_until = 0.0
    assert len(bench.plan_starts()) == 2


def test_a_quota_that_is_lowered_or_raised_holds_from_the_next_plan_on() -> None:
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


def test_a_task_larger_than_its_quota_runs_alone_and_never_waits_for_ever() -> None:
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
    bench.add(a_job(a_step(count=3, gang=True), job=ANOTHER, organisation=DAIRY))
    assert bench.plan_starts() == []
    bench.end(start.task, "done")
    assert len(bench.plan_starts()) == 3


def test_a_step_that_fills_counts_by_what_it_asks_for() -> None:
    bench = a_bench(Room(cpu=2000))
    step = a_step(count=6, long_running=True, fills=True)
    bench.add(a_job(step, organisation=DAIRY))
    assert len(bench.plan_starts()) == 2


def test_counts_follow_every_way_in_which_a_run_ends() -> None:
    bench = a_bench(Room(cpu=4000))
    quotas = bench.scheduler.state.quotas
    bench.add(a_job(a_step(count=4), organisation=DAIRY))
    done, failed, unanswered, refused = bench.plan()
    bench.accept(done)  # type: ignore[arg-type]
    bench.accept(failed)  # type: ignore[arg-type]
    reports = bench.scheduler.reports
    reports.start_refused(refused.task, refused.run, bench.now)  # type: ignore
    assert quotas.used(DAIRY).cpu == 3000
    reports.start_unknown(unanswered.task, unanswered.run)  # type: ignore
    reports.stop_answered(unanswered.task, unanswered.run, bench.now)  # type: ignore
    assert unanswered.task.phase is Phase.UNCERTAIN  # type: ignore[union-attr]
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


def test_a_pool_asks_for_no_instances_for_what_a_quota_holds_back() -> None:
    """Symptom: a pool grows for a hot organisation's waiting work, and stands idle."""
    bench = a_bench(Room(cpu=2000))
    bench.add(a_job(a_step(count=22), organisation=DAIRY))
    bench.plan_starts()
    assert measure(bench.scheduler.state, bench.now)[POOL].waiting.cpu == 0
    bench.quotas[DAIRY] = Room(cpu=12_000)
    assert measure(bench.scheduler.state, bench.now)[POOL].waiting.cpu == 10_000


def test_an_organisation_without_a_quota_is_not_bounded() -> None:
    quotas = Quotas(lambda organisation: Room(cpu=1) if organisation else Room(cpu=1))
    quotas.reserve("", Room(cpu=50))
    assert quotas.allows("", Room(cpu=99))
    assert quotas.used("") == Amount()
