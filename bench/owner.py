"""Measure what an owner of a shard costs: planning by workers, and starts a second.

``python -m bench.owner`` prints a line of pairs for each figure, then a last line with
the slopes. It takes about 80 seconds.
"""

from __future__ import annotations

import json
import sys
import time
from dataclasses import dataclass
from typing import Final

import anyio
import msgspec
import numpy

from mustardward.components.ledger.const import PREFIX_JOB, PREFIX_PROGRESS, TOPIC
from mustardward.components.ledger.ledger import LedgerJob, encode
from mustardward.components.ledger.models import JobRecord, Progress
from mustardward.components.scheduling.commands import Start
from mustardward.components.scheduling.models import QueuePolicy
from mustardward.components.scheduling.scheduler import Scheduler
from mustardward.embedded.estate import (
    CALLERS_HOST,
    HOST,
    async_run_entries,
    async_until,
)
from mustardward.embedded.thread_context import async_run_in_thread
from mustardward.platform.models import Room, SubmittedStep, WorkerEntry
from mustardward.platform.workers import EndedTask, WorkerReport
from mustardward.standin.estate.app import async_run_estate
from mustardward.standin.estate.estate import Estate, EstatePlan

WORKERS: Final = (50, 200, 800, 3200)
JOBS: Final = (10, 40, 160, 640)
TASKS: Final = 8
POOL: Final = "pool-a"
ROUNDS: Final = 20
WORKERS_OF_RUN: Final = 48
JOBS_OF_RUN: Final = 600
JOBS_A_LOT: Final = 60
LOT_SECONDS: Final = 0.2
"""Jobs come in lots, 2,400 tasks a second: more than an owner starts."""

_PROGRESS: Final = msgspec.msgpack.Decoder(Progress)
AIM_STARTS: Final = 300.0


@dataclass(frozen=True, slots=True)
class PlanCost:
    """Hold what planning cost at a size, in microseconds of processor time."""

    per_start: float
    per_plan_idle: float


def main() -> None:
    """Print all figures; end with 1 if one owner starts less than the aim."""
    by_workers = [measure_plan(workers=count, jobs=40) for count in WORKERS]
    by_jobs = [measure_plan(workers=200, jobs=count) for count in JOBS]
    for count, cost in zip(WORKERS, by_workers, strict=True):
        _print(workers=count, jobs=40, **_pairs(cost))
    for count, cost in zip(JOBS, by_jobs, strict=True):
        _print(workers=200, jobs=count, **_pairs(cost))
    starts, cpu = anyio.run(async_measure_starts)
    slope, base = numpy.polyfit(WORKERS, [c.per_start for c in by_workers], 1)
    idle_slope, _ = numpy.polyfit(JOBS, [c.per_plan_idle for c in by_jobs], 1)
    _print(
        plan_us_per_start_base=round(float(base), 1),
        plan_us_per_start_per_worker=round(float(slope), 4),
        plan_us_per_waiting_job=round(float(idle_slope), 2),
        starts_a_second=round(starts, 1),
        cpu_ms_per_start=round(cpu, 3),
        aim_starts_a_second=AIM_STARTS,
    )
    if starts < AIM_STARTS:
        sys.exit(1)


def measure_plan(workers: int, jobs: int) -> PlanCost:
    """Return what a full pool's planning costs with so many workers and jobs."""
    scheduler = Scheduler(1, lambda queue: QueuePolicy(service=POOL))
    now = 1000.0
    names = [f"w{number}" for number in range(workers)]
    entry = WorkerEntry(POOL, "a:1", capacity=Room(cpu=8000, mem_mb=64000))
    for name in names:
        scheduler.update_worker(name, entry, now)
        scheduler.apply_worker_report(name, WorkerReport(0, [], []), now, now)
    for number in range(jobs + workers):
        scheduler.add_job(_job(number), now, now)
    scheduler.mark_stored(list(scheduler.state.jobs))
    starts: list[Start] = []
    began = time.process_time()
    for _ in range(ROUNDS):
        commands = scheduler.plan(now, now)
        new = [command for command in commands if isinstance(command, Start)]
        starts.extend(new)
        for start in new[: len(new) // 2]:
            _end(scheduler, start, now)
    busy = time.process_time() - began
    began = time.process_time()
    for _ in range(ROUNDS):
        scheduler.plan(now, now)
    idle = time.process_time() - began
    per_start = 1e6 * busy / max(1, len(starts))
    return PlanCost(per_start, 1e6 * idle / ROUNDS)


async def async_measure_starts() -> tuple[float, float]:
    """Return starts a second of one owner, and its processor time of each, in ms.

    Store and workers run in a thread of their own, so that the time is the owner's: a
    start, its end, and its share of polls, storing and planning. They share one
    processor with the owner, so that the rate is lower than what the time allows.
    """
    plan = EstatePlan(pools=(POOL,), instances=WORKERS_OF_RUN, standby=0, cores=64)
    async with (
        async_run_in_thread(async_run_estate(plan, HOST)) as estate,
        async_run_entries(estate, plan, entries=1),
    ):
        began = time.monotonic()
        cpu = time.thread_time()
        for first in range(0, JOBS_OF_RUN, JOBS_A_LOT):
            jobs = [_due_job(first + number) for number in range(JOBS_A_LOT)]
            estate.store.append(TOPIC, jobs)
            await anyio.sleep(LOT_SECONDS)
        await async_until(lambda: _ended(estate) == JOBS_OF_RUN)
        seconds = time.monotonic() - began
        spent = time.thread_time() - cpu
        count = sum(len(w.starts) for w in estate.workers.values())
        return count / seconds, 1000 * spent / count


def _due_job(number: int) -> tuple[str, bytes]:
    """Return the record of an accepted job of some short tasks."""
    step = SubmittedStep(count=TASKS, cpu=2000, mem_mb=10, estimate_ms=300)
    name = f"{number:016x}"
    queue = f"{CALLERS_HOST} /{POOL}/"
    record = JobRecord(name, queue, POOL, "x", [step], 0, 0.0, 0.0, time.time())
    return PREFIX_JOB + name, encode(record)


def _ended(estate: Estate) -> int:
    """Return how many jobs the log shows as over."""
    newest = {
        record.key: record.value
        for record in estate.store.records_from(TOPIC, 0)
        if record.key.startswith(PREFIX_PROGRESS)
    }
    states = (_PROGRESS.decode(value).state for value in newest.values())
    return sum(state.final for state in states)


def _job(number: int) -> LedgerJob:
    step = SubmittedStep(count=TASKS, cpu=1000, mem_mb=100, estimate_ms=500)
    name = f"{number:016x}"
    return LedgerJob(JobRecord(name, "q", POOL, "x", [step], 0, 0.0, 0.0, 1000.0))


def _end(scheduler: Scheduler, start: Start, now: float) -> None:
    scheduler.reports.start_answered(start.task, start.run, "", now)
    worker = scheduler.state.workers[start.worker]
    ended = EndedTask(1, start.task.name, start.run, "done", "")
    scheduler.reports.apply_end(worker, ended, now)


def _pairs(cost: PlanCost) -> dict[str, float]:
    return {
        "plan_us_per_start": round(cost.per_start, 1),
        "idle_plan_us": round(cost.per_plan_idle, 1),
    }


def _print(**pairs: float) -> None:
    print(" ".join(f"{key}={json.dumps(value)}" for key, value in pairs.items()))


if __name__ == "__main__":
    main()
