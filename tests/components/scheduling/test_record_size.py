"""Test that a job's progress record stays within what the store accepts."""

from __future__ import annotations

from mustardward.components.ledger.ledger import encode
from mustardward.components.scheduling.progress import progress_of
from mustardward.platform.models import ENDED_FAILED
from mustardward.platform.workers import EndedTask

from .builders import JOB, SchedulerBench, a_job, a_step

RECORD_BYTES = 262_144
TASKS = 400
RUNS = 160


def test_record_of_a_long_running_job_that_keeps_failing_does_not_grow() -> None:
    """Guard against a record that outgrows the store after some 52,000 failed runs."""
    bench = SchedulerBench()
    worker = bench.worker("w1")
    bench.add(a_job(a_step(count=TASKS, cpu=100, long_running=True)))
    bench.plan_starts()
    reports = bench.scheduler.reports
    for run in range(1, RUNS + 1):
        for index in range(TASKS):
            name = bench.task(index).name
            number = (1 << 20) + run * TASKS + index
            reports.apply_end(
                worker, EndedTask(number, name, number, ENDED_FAILED, ""), bench.now
            )
    job = bench.scheduler.state.jobs[JOB]
    assert not job.state.final
    assert len(encode(progress_of(job, 0.0))) < RECORD_BYTES / 16


def test_repeated_end_of_a_long_running_task_counts_once() -> None:
    """Guard against workers that count as faulty for one failure told several times."""
    bench = SchedulerBench()
    bench.worker("w1")
    bench.add(a_job(a_step(count=1, long_running=True)))
    task = bench.task(0)
    assert task.record_failed_run(7)
    assert not task.record_failed_run(7)
    assert not task.record_failed_run(6)
    assert task.record_failed_run(8)
