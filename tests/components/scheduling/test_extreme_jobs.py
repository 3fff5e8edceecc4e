"""Check that any job that is accepted can be owned, whatever its fields say.

Random valid jobs, with all fields at their ends, go through the checks of the door, the
log, an owner with known run times, plans, pool sizing, records and the next owner,
beside ordinary jobs, which have to run. Other seeds:
``python -m tests.components.scheduling.test_extreme_jobs FIRST COUNT``.
"""

from __future__ import annotations

import random
import resource
import sys
import time
from typing import Any, Final

import msgspec
import pytest

from mustardward.components.dispatch.start_window import MAX_STARTS
from mustardward.components.fleet.pool_planner import PoolPlanner
from mustardward.components.ledger.const import PREFIX_JOB
from mustardward.components.ledger.ledger import Ledger, LedgerJob, encode
from mustardward.components.ledger.models import JobState
from mustardward.components.pool_sizing.models import Supply
from mustardward.components.scheduling.demand import log_loads, measure
from mustardward.platform.bodies import MAX_AMOUNT
from mustardward.platform.callers import MAX_TASKS, check_steps, check_times
from mustardward.platform.models import Room, SubmittedJob
from mustardward.platform.store import KeyedRecord

from .builders import JOB, POOL, SchedulerBench, a_job, a_step
from .test_run_times import a_bench_with_wrong_declarations

SEEDS: Final = range(60)
MAX_STEPS: Final = 40
MAX_SECONDS: Final = 4.0
"""Processor time for one walk; owners that pause for as long lose their authority."""

MAX_KILOBYTES: Final = 150_000
"""Memory that one walk may add to the peak of the process."""

AMOUNTS: Final = (0, 1, 1000, 9000, 2**31, 2**52, MAX_AMOUNT)
TIMES: Final = (0, 5e-324, 1e-322, 1e-9, 1, 1e3, 1e12, MAX_AMOUNT)
COUNTS: Final = (1, 2, 7, 1000, MAX_TASKS)

REVIEWED: Final[dict[str, dict[str, Any]]] = {
    "review-9": {"steps": [{"count": 100_000, "cpu": 2**53}]},
    "review-10": {"steps": [{"count": 1, "cpu": 100, "estimate-ms": 1e-322}]},
    "review-11": {
        "steps": [{"count": 100_000, "cpu": 1000, "mem-mb": 64, "estimate-ms": 500}]
        * 20
    },
    "review-12": {"steps": [{"count": 100_000, "cpu": 2000, "gang": True}]},
}


def draw_step(rng: random.Random, number: int) -> dict[str, Any]:
    """Return a random step."""
    step: dict[str, Any] = {"count": rng.choice(COUNTS)}
    for name in ("cpu", "mem-mb", "gpu", "max-per-server", "may-miss"):
        if rng.random() < 0.5:
            step[name] = rng.choice(AMOUNTS)
    for name in ("estimate-ms", "target-ms"):
        if rng.random() < 0.6:
            step[name] = rng.choice(TIMES)
    for name in ("gang", "same-rack", "speculative", "long-running", "fills"):
        if rng.random() < 0.15:
            step[name] = True
    if number and rng.random() < 0.4:
        step["after"] = rng.sample(range(number), k=rng.randint(1, min(3, number)))
    return step


def draw_job(rng: random.Random) -> dict[str, Any]:
    """Return the body of a random valid job."""
    count = rng.choice((1, 1, 2, 5, MAX_STEPS))
    job: dict[str, Any] = {"steps": [draw_step(rng, n) for n in range(count)]}
    if rng.random() < 0.3:
        job["times"] = rng.choice((1, 3, 10**6, MAX_AMOUNT))
        job["start-at-ms"] = rng.choice(TIMES)
        job["interval-ms"] = rng.choice(TIMES)
    return job


def accept(body: dict[str, Any], accepted_at: float) -> LedgerJob:
    """Pass a job through the checks of earlier builds' doors and through the log."""
    encoded = msgspec.json.encode({"spec": "work", **body})
    job = msgspec.json.decode(encoded, type=SubmittedJob)
    check_times(job.times, job.start_at_ms, job.interval_ms)
    check_steps(job.steps)
    record = a_job(
        *job.steps,
        times=job.times,
        start_at_ms=job.start_at_ms,
        interval_ms=job.interval_ms,
        accepted_at=accepted_at,
    ).record
    ledger = Ledger()
    ledger.apply(KeyedRecord(0, PREFIX_JOB + JOB, encode(record)))
    return ledger.jobs[JOB]


def run_ordinary_job(bench: SchedulerBench, number: int) -> None:
    """Submit an ordinary job and complete it."""
    job = f"{0xB0 + number:016x}"
    bench.add(a_job(a_step(count=1), job=job, accepted_at=bench.now))
    bench.plan_starts()
    task = bench.task(0, job=job)
    assert task.worker is not None, "an ordinary job got no worker"
    bench.now += 0.5
    bench.end(task, "done")
    assert bench.scheduler.state.jobs[job].state is JobState.DONE


def own(bench: SchedulerBench, job: LedgerJob) -> None:
    """Add a job to an owner, plan, size its pool and store its progress."""
    state = bench.scheduler.state
    planner = PoolPlanner(move_seconds=1.5)
    bench.add(job)
    for _ in range(3):
        bench.scheduler.plan(bench.now, bench.now, MAX_STARTS)
        bench.now += 0.3
        load = measure(state, bench.now)[POOL]
        size = Room(cpu=8000, mem_mb=8000)
        supply = Supply(len(state.workers), (), 1.9)
        for need in (planner._need, planner.need_by_load):
            assert need(POOL, size, load, supply, bench.now).ordered >= 0
        log_loads(state, bench.now)
        bench.scheduler.wait_logger.log_due(bench.now)
        bench.store()


def walk(body: dict[str, Any]) -> None:
    """Own a job, and let the next owner own it, each beside ordinary jobs."""
    bench = a_bench_with_wrong_declarations(workers=4)
    job = accept(body, bench.now)
    run_ordinary_job(bench, 0)
    own(bench, job)
    successor = SchedulerBench(epoch=2, now=bench.now)
    for queue, record in bench.scheduler.state.estimates.export().items():
        successor.scheduler.state.estimates.restore(queue, record)
    for name in bench.scheduler.state.workers:
        successor.worker(name)
    job.progress = bench.stored.get(JOB)
    own(successor, job)
    successor.scheduler.cancel_job(JOB)
    successor.plan()
    successor.store()


def check(body: dict[str, Any]) -> None:
    """Walk within the bounds of time and memory."""
    peak_kilobytes = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    started_at = time.process_time()
    walk(body)
    assert time.process_time() - started_at < MAX_SECONDS
    used = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - peak_kilobytes
    assert used < MAX_KILOBYTES


@pytest.mark.parametrize("name", REVIEWED)
def test_jobs_that_ended_or_hung_each_owner_are_owned(name: str) -> None:
    """Guard against a log whose accepted job no owner survives."""
    check(REVIEWED[name])


@pytest.mark.parametrize("seed", SEEDS)
def test_any_valid_job_is_owned(seed: int) -> None:
    """Guard against accepted jobs whose fields end or hang each owner."""
    check(draw_job(random.Random(seed)))


if __name__ == "__main__":
    first, count = map(int, sys.argv[1:])
    for seed in range(first, first + count):
        try:
            check(draw_job(random.Random(seed)))
        except Exception as error:
            print(seed, type(error).__name__, error, flush=True)
