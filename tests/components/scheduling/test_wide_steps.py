"""Test jobs with steps of thousands of tasks."""

from __future__ import annotations

import time

import pytest

from mustardward.components.ledger.bitset import pack_indices, unpack_indices
from mustardward.components.ledger.ledger import LedgerJob
from mustardward.components.ledger.models import JobState, Progress, StepProgress
from mustardward.components.ownership.const import PAUSE_THRESHOLD_SECONDS
from mustardward.platform.models import ENDED_DONE, ENDED_FAILED

from .builders import JOB, SchedulerBench, a_job, a_step, count_calls

TASKS = 100_000


def a_wide_job(tasks: int) -> LedgerJob:
    """Return a job with one step, of which every second task is done."""
    job = a_job(a_step(count=tasks, cpu=100, mem_mb=1))
    done = pack_indices(range(0, tasks, 2))
    job.progress = Progress(JobState.RUNNING, [StepProgress(0, 0, done)])
    return job


def test_a_takeover_of_a_wide_step_is_no_pause() -> None:
    """Guards against a new owner that is blocked beyond its authority."""
    bench = SchedulerBench(epoch=2)
    bench.worker("w1")
    job = a_wide_job(TASKS)
    began = time.process_time()
    bench.add(job)
    bench.plan()
    assert time.process_time() - began < PAUSE_THRESHOLD_SECONDS


def test_a_record_costs_the_same_however_many_tasks_are_done() -> None:
    """Guards against an owner that is blocked by the records of a wide step."""
    costs: list[int] = []
    for tasks in (1_000, 20_000):
        bench = SchedulerBench(epoch=2)
        bench.worker("w1")
        bench.add(a_wide_job(tasks))
        (first, second, *_) = bench.plan_starts()
        bench.end(first.task, ENDED_DONE)
        bench.end(second.task, ENDED_FAILED)
        costs.append(count_calls(bench.store))
        (row,) = bench.stored[JOB].steps
        expected = {*range(0, tasks, 2), first.task.index}
        assert set(unpack_indices(row.done)) == expected
        (failed,) = bench.stored[JOB].tasks
        assert (failed.index, failed.failed_runs) == (second.task.index, (second.run,))
    assert costs[1] == pytest.approx(costs[0], rel=0.1)
