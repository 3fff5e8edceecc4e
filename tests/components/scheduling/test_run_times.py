"""Test which runs count as evidence of run times, and what follows from them."""

from __future__ import annotations

import math
from functools import partial

import numpy
import pytest

from mustardward.components.ledger.models import JobState
from mustardward.components.scheduling.models import Job, Task
from mustardward.platform.models import ENDED_DONE, Room

from .builders import JOB, SchedulerBench, a_job, a_row, a_step, count_calls

MEDIAN_SECONDS = 0.8


def a_bench_with_wrong_declarations(workers: int = 12) -> SchedulerBench:
    """Return a bench whose queue's declarations proved wrong by a spread of 1.0."""
    bench = SchedulerBench()
    for number in range(workers):
        bench.worker(f"w{number}")
    chance = numpy.random.default_rng(3)
    for number in range(40):
        seconds = MEDIAN_SECONDS * float(chance.lognormal(0.0, 0.5))
        declared = 1000 * seconds * float(chance.lognormal(0.0, 1.0))
        step = a_step(count=8, estimate_ms=declared)
        bench.add(a_job(step, job=f"{number:016x}", accepted_at=bench.now))
        starts = bench.plan_starts()
        assert len(starts) == 8
        took = sorted(seconds * chance.lognormal(0.0, 0.15, size=8))
        began = bench.now
        for start, after in zip(starts, took, strict=True):
            bench.now = began + float(after)
            bench.end(start.task, "done")
    return bench


def add_job(bench: SchedulerBench, **changes: object) -> tuple[Job, list[Task]]:
    """Submit a job of eight tasks and start them."""
    values = {"count": 8, "estimate_ms": 1000 * MEDIAN_SECONDS, **changes}
    bench.add(a_job(a_step(**values), accepted_at=bench.now))
    tasks = [start.task for start in bench.plan_starts()]
    return bench.scheduler.state.jobs[JOB], tasks


def count_evidence(job: Job) -> int:
    """Return how many runs of a job's first step count as evidence."""
    step = job.run_times.steps.get(0)
    return step.count if step is not None else 0


def test_objective_follows_what_runs_show() -> None:
    """Guards against jobs that wait because their declared times are too long."""
    bench = a_bench_with_wrong_declarations()
    job, tasks = add_job(bench)
    expected = job.objective_at
    bench.now += 4.0
    for task in tasks[:3]:
        bench.end(task, "done")
    policy = job.policy
    longer = job.accepted_at + policy.target_seconds + policy.stretch * 4.0
    assert expected < longer - 3.0
    assert job.objective_at == pytest.approx(longer, abs=0.8)


def test_objective_follows_a_run_in_progress() -> None:
    """Guards against planning by an estimate that is known to be exceeded."""
    bench = a_bench_with_wrong_declarations()
    job, tasks = add_job(bench)
    expected = job.objective_at
    bench.now += 4.0
    for worker in {task.worker.id for task in tasks if task.worker is not None}:
        rows = [a_row(t, 50.0) for t in tasks if t.worker and t.worker.id == worker]
        bench.hold(worker, running=rows)
    bench.plan()
    assert job.objective_at > expected + 3.0


def test_objective_stays_before_enough_runs_are_known() -> None:
    """Guards against another service of queues of which nothing is known."""
    bench = SchedulerBench()
    bench.worker("w1")
    job, tasks = add_job(bench)
    expected = job.objective_at
    bench.now += 4.0
    bench.end(tasks[0], "done")
    bench.plan()
    assert job.objective_at == expected


def test_a_run_without_progress_is_stopped_though_its_length_is_unknown() -> None:
    """Guards against a stuck run that raises its own estimate as it grows older."""
    bench = a_bench_with_wrong_declarations()
    _, tasks = add_job(bench)
    stuck = tasks[0]
    assert stuck.worker is not None
    stopped = False
    for _ in range(60):
        bench.now += 0.2
        bench.hold(stuck.worker.id, running=[a_row(stuck, 10.0)])
        stopped |= any(stop.task is stuck for stop in bench.plan_stops())
    assert stopped


def test_workers_are_not_slow_because_declarations_are_too_short() -> None:
    """Guards against workers that get no tasks since a job was underestimated."""
    bench = a_bench_with_wrong_declarations()
    _, tasks = add_job(bench, estimate_ms=20)
    worker = tasks[0].worker
    assert worker is not None
    speed = worker.speed
    bench.now += 4 * MEDIAN_SECONDS
    bench.end(tasks[0], "done")
    assert worker.speed > speed - 0.04


def test_a_representative_run_is_evidence() -> None:
    bench = a_bench_with_wrong_declarations()
    job, tasks = add_job(bench)
    bench.now += 1.0
    bench.end(tasks[0], "done")
    assert count_evidence(job) == 1
    assert job.run_times.steps[0].mean == pytest.approx(math.log(1.0))


@pytest.mark.parametrize("how", ["failed", "stopped"])
def test_a_run_that_did_not_complete_is_no_evidence(how: str) -> None:
    bench = a_bench_with_wrong_declarations()
    job, tasks = add_job(bench)
    bench.now += 1.0
    bench.end(tasks[0], how)
    assert count_evidence(job) == 0


@pytest.mark.parametrize(
    "change", [{"adopted": True}, {"paced": True}, {"checkpoint": "c"}]
)
def test_a_run_that_was_shortened_or_slowed_is_no_evidence(
    change: dict[str, object],
) -> None:
    bench = a_bench_with_wrong_declarations()
    job, tasks = add_job(bench)
    for name, value in change.items():
        setattr(tasks[0], name, value)
    bench.now += 1.0
    bench.end(tasks[0], "done")
    assert count_evidence(job) == 0


def test_a_run_far_from_its_data_is_no_evidence() -> None:
    bench = a_bench_with_wrong_declarations()
    job, tasks = add_job(bench, data_rack="elsewhere")
    bench.now += 1.0
    bench.end(tasks[0], "done")
    assert count_evidence(job) == 0


def test_a_run_on_a_slow_worker_is_no_evidence() -> None:
    bench = a_bench_with_wrong_declarations()
    job, tasks = add_job(bench)
    assert tasks[0].worker is not None
    tasks[0].worker.speed = 0.4
    bench.now += 1.0
    bench.end(tasks[0], "done")
    assert count_evidence(job) == 0


def test_runs_are_evidence_if_all_workers_seem_slow() -> None:
    """Guards against estimates that are never corrected.

    Declared times that are far too short make all workers seem slow.
    """
    bench = SchedulerBench()
    bench.worker("w1")
    for number in range(100):
        step = a_step(count=1, estimate_ms=50)
        bench.add(a_job(step, job=f"{number:016x}", accepted_at=bench.now))
        (start,) = bench.plan_starts()
        bench.now += 1.0
        bench.end(start.task, "done")
    job, _ = add_job(bench, count=1, estimate_ms=50)
    estimates = bench.scheduler.state.estimates
    assert estimates.seconds(job.steps[(0, 0)]) == pytest.approx(1.0, rel=0.1)


def test_the_estimate_known_at_the_end_is_logged(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against a report that blames workers for wrong declarations."""
    bench = a_bench_with_wrong_declarations()
    _, tasks = add_job(bench)
    bench.now += 4.0
    for task in tasks:
        bench.end(task, "done")
    caplog.set_level("INFO", "absl")
    caplog.clear()
    bench.plan()
    (line,) = [
        r.getMessage()
        for r in caplog.records
        if "event=runs_ended" in r.message and JOB in r.message
    ]
    logged = float(line.partition('expected="0.0~')[2].partition('"')[0])
    assert logged == pytest.approx(4.0, rel=0.1)


def test_ends_cost_the_same_however_many_steps_a_job_has() -> None:
    """Guards against an owner that is blocked by estimates of thousands of steps."""
    costs: list[int] = []
    for count in (300, 6_000):
        bench = SchedulerBench()
        bench.worker("w1", capacity=Room(cpu=64_000, mem_mb=64_000))
        steps = [a_step(count=1, cpu=500, estimate_ms=100) for _ in range(count)]
        bench.add(a_job(*steps))
        starts = bench.plan_starts()[:60]
        bench.now += 0.1
        calls = 0
        for start in starts:
            calls += count_calls(partial(bench.end, start.task, ENDED_DONE))
        costs.append(calls)
    assert costs[1] < 2 * costs[0]


@pytest.mark.parametrize("estimate_ms", [5e-324, 1e-322, 1e-200, 0.0, 1.0, 2.0**53])
def test_any_declared_time_is_estimated_and_learned(estimate_ms: float) -> None:
    """Guards against a job whose declared time ends each owner that reads it.

    A thousandth of the smallest numbers is 0, which has no logarithm.
    """
    bench = a_bench_with_wrong_declarations()
    estimates = bench.scheduler.state.estimates
    assert estimates.is_known(a_job().record.queue)
    job, tasks = add_job(bench, estimate_ms=estimate_ms)
    assert math.isfinite(job.objective_at) and math.isfinite(job.late_at)
    assert 0 < estimates.seconds(tasks[0].step) < math.inf
    bench.now += 2.0
    for task in tasks:
        bench.end(task, "done")
    assert job.state is JobState.DONE
    successor = SchedulerBench(epoch=2, now=bench.now)
    for queue, record in estimates.export().items():
        successor.scheduler.state.estimates.restore(queue, record)
    successor.add(a_job(a_step(estimate_ms=estimate_ms)))
    assert math.isfinite(successor.scheduler.state.jobs[JOB].objective_at)
