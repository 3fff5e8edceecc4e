"""Test timed jobs many of whose occurrences are due."""

from __future__ import annotations

import random
from collections import Counter
from functools import partial

import pytest

from mustardward.components.ledger.bitset import pack_indices
from mustardward.components.ledger.ledger import LedgerJob, encode
from mustardward.components.ledger.models import JobState, Progress, StepProgress
from mustardward.components.scheduling import occurrences
from mustardward.components.scheduling.commands import Start, Stop
from mustardward.components.scheduling.demand import measure
from mustardward.platform.models import ENDED_DONE, Room, SubmittedStep
from mustardward.platform.workers import RunningTask, TaskName

from .builders import JOB, POOL, SchedulerBench, a_job, a_step, count_calls

OTHER = "00000000000000bb"
SMALL = Room(cpu=64_000, mem_mb=64_000)


def a_due_job(
    times: int, *steps: SubmittedStep, job: str = JOB, done: int = 0
) -> LedgerJob:
    """Return a job that was due each millisecond, the last time long ago.

    :param done: how many occurrences are stored as done, by steps as an older build
        stores them.
    """
    spec = steps or (a_step(count=1, cpu=500),)
    found = a_job(*spec, job=job, times=times, start_at_ms=1.0, interval_ms=1.0)
    if done:
        rows = [
            StepProgress(occurrence, number, pack_indices(range(step.count)))
            for occurrence in range(done)
            for number, step in enumerate(spec)
        ]
        found.progress = Progress(JobState.RUNNING, rows)
    return found


def a_bench(epoch: int = 1, **changes: object) -> SchedulerBench:
    """Return a bench at a time at which all occurrences are due, with one worker."""
    bench = SchedulerBench(now=1_000_000.0, epoch=epoch)
    bench.worker("w1", capacity=SMALL, **changes)
    return bench


def plan_and_end(bench: SchedulerBench, count: int) -> list[Start]:
    """Plan and end runs until some number was started, or nothing starts."""
    started: list[Start] = []
    while len(started) < count:
        bench.store()
        starts = bench.plan_starts()
        if not starts:
            break
        started += starts
        for start in starts:
            bench.end(start.task, ENDED_DONE)
    return started


def test_an_end_costs_the_same_however_many_occurrences_are_due() -> None:
    """Guards against an owner that is blocked by the ends of a job with many times."""
    costs: dict[int, tuple[int, int, int]] = {}
    for times in (3_000, 30_000):
        bench = a_bench()
        bench.add(a_due_job(times, done=times // 2))
        starts = bench.plan_starts()
        end_calls = count_calls(partial(bench.end, starts[0].task, ENDED_DONE))
        plan_calls = count_calls(bench.plan)
        store_calls = count_calls(bench.store)
        costs[times] = end_calls, plan_calls, store_calls
    assert costs[30_000] == pytest.approx(costs[3_000], rel=0.1)


def test_a_takeover_costs_the_same_however_many_occurrences_are_done() -> None:
    """Guards against a new owner that is blocked before its first renewal."""
    costs: list[int] = []
    for times in (3_000, 30_000):
        first = a_bench()
        first.add(a_due_job(times, done=times // 2))
        first.end(first.plan_starts()[0].task, ENDED_DONE)
        first.store()
        job = a_due_job(times)
        job.progress = first.stored[JOB]
        second = a_bench(epoch=2)
        calls = count_calls(partial(second.add, job)) + count_calls(second.plan)
        costs.append(calls)
    assert costs[1] == pytest.approx(costs[0], rel=0.1)


def test_the_progress_of_many_occurrences_fits_one_record() -> None:
    """Guards against work that is repeated since its progress outgrew a record."""
    bench = a_bench()
    bench.add(a_due_job(100_000, done=99_000))
    bench.end(bench.plan_starts()[0].task, ENDED_DONE)
    bench.store()
    assert len(encode(bench.stored[JOB])) < 100


@pytest.mark.parametrize("seed", range(4))
def test_each_occurrence_runs_once_in_any_order_of_ends_and_takeovers(
    seed: int,
) -> None:
    """Guards against an occurrence that is skipped, or runs again when it was done."""
    rng = random.Random(seed)
    steps = (a_step(count=2, cpu=500), a_step(count=1, cpu=500, after=[0]))
    times = 700
    job = a_due_job(times, *steps)
    started: Counter[str] = Counter()
    for epoch in range(1, 6):
        bench = a_bench(epoch)
        bench.add(job)
        last = epoch == 5
        running: list[Start] = []
        for _ in range(10_000 if last else 12):
            bench.store()
            running += bench.plan_starts()
            if not running:
                break
            rng.shuffle(running)
            ending = running[: rng.randrange(1, 60)]
            del running[: len(ending)]
            for start in ending:
                started[str(start.task.name)] += 1
                bench.end(start.task, ENDED_DONE)
        bench.store()
        job = a_due_job(times, *steps)
        job.progress = bench.stored[JOB]
    assert job.progress is not None
    assert job.progress.state is JobState.DONE
    assert len(started) == 3 * times
    assert set(started.values()) == {1}


def test_runs_of_a_previous_owner_are_adopted_in_any_occurrence() -> None:
    """Guards against a second run of an occurrence that this owner had not opened."""
    bench = a_bench(epoch=2)
    bench.add(a_due_job(5_000))
    names = [TaskName(JOB, occurrence, 0, 0) for occurrence in (7, 4_999)]
    bench.hold("w1", [RunningTask(name, 5, "", 10.0, 0.0) for name in names])
    started = {start.task.name for start in plan_and_end(bench, 400)}
    assert len(started) >= 400
    assert not started & set(names)
    assert bench.task(0, occurrence=4_999).run == 5


def test_a_run_of_a_complete_occurrence_is_stopped_and_holds_its_room() -> None:
    """Guards against adopting a second run of what is done and dropped."""
    bench = a_bench()
    bench.add(a_due_job(1_000, done=10))
    bench.plan_starts()
    free = bench.scheduler.state.workers["w1"].free_cpu
    rows = [
        RunningTask(task.name, task.run, "", 10.0, 0.0)
        for task in bench.scheduler.state.workers["w1"].tasks.values()
    ]
    stray = RunningTask(TaskName(JOB, 3, 0, 0), 9, "", 10.0, 0.0)
    bench.hold("w1", [*rows, stray])
    assert bench.scheduler.state.workers["w1"].free_cpu == free - 500
    assert Stop(stray.task, "w1", 9, None) in bench.plan()
    bench.hold("w1", rows)
    assert bench.scheduler.state.workers["w1"].free_cpu == free


def test_a_job_of_an_older_build_continues_where_it_was() -> None:
    """Guards against repeating the occurrences that an older build stored as done."""
    bench = a_bench(epoch=2)
    job = a_due_job(600, done=400)
    assert count_calls(partial(bench.add, job)) < 15 * 400
    started = plan_and_end(bench, 10_000)
    names = [start.task.name for start in started]
    assert len(names) == 200
    assert set(names) == {
        TaskName(JOB, occurrence, 0, 0) for occurrence in range(400, 600)
    }


def test_progress_of_steps_that_a_job_does_not_have_is_ignored() -> None:
    """Guards against an occurrence before the first one, which would run too."""
    bench = a_bench(epoch=2)
    job = a_due_job(3)
    rows = [StepProgress(-1, 0, b""), StepProgress(0, -1, b""), StepProgress(3, 0, b"")]
    job.progress = Progress(JobState.RUNNING, rows)
    bench.add(job)
    started = [start.task.name for start in plan_and_end(bench, 10)]
    assert started == [TaskName(JOB, occurrence, 0, 0) for occurrence in range(3)]


def test_many_jobs_with_many_due_occurrences_share_the_open_tasks() -> None:
    """Guards against plans whose length grows with the number of such jobs."""
    bench = a_bench()
    jobs = [f"{number:016x}" for number in range(64)]
    for job in jobs:
        bench.add(a_due_job(2_000, job=job))
    state = bench.scheduler.state
    bench.scheduler.plan(bench.now, bench.now, 0)
    assert (
        sum(len(job.steps) for job in state.jobs.values())
        <= occurrences.MAX_WAITING_TASKS
    )
    started: Counter[str] = Counter()
    for _ in range(20):
        for start in bench.plan_starts():
            started[start.task.name.job] += 1
            bench.end(start.task, ENDED_DONE)
    assert set(started) == set(jobs)


def test_each_job_gets_its_turn_to_open_wide_occurrences(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a job that never opens since others use up each plan's limit."""
    monkeypatch.setattr(occurrences, "MAX_TASKS_PER_PLAN", 8)
    bench = a_bench()
    jobs = [f"{number:016x}" for number in range(6)]
    for job in jobs:
        bench.add(a_due_job(50, a_step(count=8, cpu=1, mem_mb=1), job=job))
    started: set[str] = set()
    for _ in range(2 * len(jobs)):
        before = count_tasks(bench)
        starts = bench.plan_starts()
        assert count_tasks(bench) - before <= 8
        for start in starts:
            started.add(start.task.name.job)
            bench.end(start.task, ENDED_DONE)
    assert started == set(jobs)


def count_tasks(bench: SchedulerBench) -> int:
    """Return how many tasks exist."""
    jobs = bench.scheduler.state.jobs.values()
    return sum(len(step.tasks) for job in jobs for step in job.steps.values())


def test_a_step_that_can_run_goes_on_beside_one_that_fits_nowhere() -> None:
    """Guards against occurrences that are not opened for a step that can't run."""
    bench = a_bench()
    blocked = a_step(count=1, gpu=1)
    bench.add(a_due_job(3_000, blocked, a_step(count=1, cpu=500)))
    started = {start.task.name for start in plan_and_end(bench, 1_500)}
    assert len(started) >= 1_500
    assert {name.step for name in started} == {1}


def test_steps_that_fit_nowhere_do_not_accumulate(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against plans that grow with the occurrences of which a part can't run."""
    monkeypatch.setattr(occurrences, "MAX_OPEN_STEPS", 100)
    bench = a_bench()
    bench.add(a_due_job(3_000, a_step(count=1, gpu=1), a_step(count=1, cpu=500)))
    started = plan_and_end(bench, 3_000)
    assert len(started) == 50
    assert len(bench.scheduler.state.jobs[JOB].steps) == 100


def test_jobs_whose_times_are_to_come_cost_a_plan_little() -> None:
    """Guards against plans whose length grows with jobs of which nothing is due."""
    bench = a_bench()
    start_at_ms = 1000 * bench.now + 60_000
    for number in range(1_000):
        bench.add(a_job(job=f"{number:016x}", times=9, start_at_ms=start_at_ms))
    bench.plan()
    assert count_calls(bench.plan) < 5 * 1_000


def test_work_that_can_be_on_time_goes_before_occurrences_that_are_overdue() -> None:
    """Guards against a job that counts each late occurrence as due now."""
    bench = SchedulerBench(now=1_000_000.0)
    bench.worker("w1", capacity=Room(cpu=1000, mem_mb=8000))
    bench.add(a_due_job(1_000, a_step(count=1)))
    bench.add(a_job(a_step(count=1), job=OTHER, accepted_at=bench.now))
    (start,) = bench.plan_starts()
    assert start.task.name.job == OTHER


def test_an_occurrence_that_is_due_now_goes_by_its_time() -> None:
    """Guards against a timed job that is late from its first occurrence on."""
    bench = SchedulerBench(now=1_000_000.0)
    bench.worker("w1", capacity=Room(cpu=1000, mem_mb=8000))
    late = a_job(a_step(count=1), job=OTHER, accepted_at=bench.now - 60.0)
    bench.add(late)
    start_at_ms = 1000 * bench.now - 500
    bench.add(a_job(a_step(count=1), times=3, start_at_ms=start_at_ms, interval_ms=9e9))
    (start,) = bench.plan_starts()
    assert start.task.name.job == JOB


def test_pools_are_sized_by_occurrences_that_are_not_open_yet() -> None:
    """Guards against a pool that is too small for a job of thousands of due times."""
    bench = a_bench()
    steps = (a_step(count=2, cpu=500), a_step(count=1, cpu=1000, after=[0]))
    bench.add(a_due_job(10_000, *steps))
    bench.scheduler.plan(bench.now, bench.now, 0)
    load = measure(bench.scheduler.state, bench.now)[POOL]
    assert load.waiting.cpu == 10_000 * 1000
    assert load.remaining.cpu == pytest.approx(10_000 * 2000)
    assert load.inflow.cpu == 0.0


def test_unopened_occurrences_count_for_a_quota_after_a_takeover() -> None:
    """Guards against a quota that is exceeded by runs that a new owner can't see."""
    bench = a_bench(epoch=2)
    bench.quotas["team"] = Room(cpu=4000, mem_mb=8000)
    job = a_due_job(5_000, a_step(count=1))
    job.record = a_job(
        a_step(count=1),
        times=5_000,
        start_at_ms=1.0,
        interval_ms=1.0,
        organisation="team",
    ).record
    job.progress = Progress(JobState.RUNNING)
    bench.scheduler.state.takeover_hold_until = bench.now + 5.0
    bench.add(job)
    bench.scheduler.plan(bench.now, bench.now, 0)
    assert bench.scheduler.state.quotas.unconfirmed("team").cpu == 5_000 * 1000


@pytest.mark.parametrize(
    ("start_ms", "interval_ms", "wall", "due"),
    [
        (1_000.0, 100.0, 0.5, 0),
        (1_000.0, 100.0, 1.0, 0),
        (1_000.0, 100.0, 1.031, 1),
        (1_000.0, 100.0, 1.131, 2),
        (1_000.0, 100.0, 99.0, 7),
        (1_000.0, 0.0, 1.031, 7),
        (1_000.0, 1e-300, 1.031, 7),
        (0.0, 1e308, 1e9, 1),
        (1e308, 1e308, 1e9, 0),
    ],
)
def test_due_occurrences_are_counted_without_a_walk(
    start_ms: float, interval_ms: float, wall: float, due: int
) -> None:
    """Guards against a start before its time, and against an overflow."""
    record = a_job(times=7, start_at_ms=start_ms, interval_ms=interval_ms).record
    assert occurrences.count_due(record, wall) == due
