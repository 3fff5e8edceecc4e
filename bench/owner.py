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
import numpy

from mustardward.components.ledger.ledger import LedgerJob
from mustardward.components.ledger.models import JobRecord
from mustardward.components.scheduling.models import QueuePolicy, Start
from mustardward.components.scheduling.scheduler import Scheduler
from mustardward.embedded.estate import EstateFleet, async_run_estate_fleet
from mustardward.platform.models import Room, SubmittedStep, WorkerEntry
from mustardward.platform.workers import EndedTask, HoldAnswer
from mustardward.standin.estate.estate import EstatePlan

WORKERS: Final = (50, 200, 800, 3200)
JOBS: Final = (10, 40, 160, 640)
TASKS: Final = 8
POOL: Final = "pool-a"
ROUNDS: Final = 20
JOBS_OF_RUN: Final = 150
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
        scheduler.see_worker(name, entry, now)
        scheduler.hold_worker(name, HoldAnswer(0, [], []), now, now)
    for number in range(jobs + workers):
        scheduler.add_job(_job(number), now, now)
    scheduler.note_stored(list(scheduler.board.jobs))
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
    """Return starts a second of one owner, and processor time of each, in ms.

    Store, workers, caller and the one entry share one process and one core, so the
    owner's own cost is below what is shown.
    """
    plan = EstatePlan(pools=(POOL,), instances=16, standby=0, cores=64)
    async with async_run_estate_fleet(plan, entries=1) as fleet:
        began = time.monotonic()
        cpu = time.process_time()
        paths: list[str] = []
        async with anyio.create_task_group() as tasks:
            for _ in range(JOBS_OF_RUN):
                tasks.start_soon(_async_submit, fleet, paths)
        for path in paths:
            await fleet.async_wait_state(path, "done")
        seconds = time.monotonic() - began
        spent = time.process_time() - cpu
        count = sum(len(w.starts) for w in fleet.estate.workers.values())
    return count / seconds, 1000 * spent / count


async def _async_submit(fleet: EstateFleet, paths: list[str]) -> None:
    step = SubmittedStep(count=TASKS, cpu=2000, mem_mb=10, estimate_ms=300)
    paths.append(await fleet.async_submit(f"/{POOL}/", [step]))


def _job(number: int) -> LedgerJob:
    step = SubmittedStep(count=TASKS, cpu=1000, mem_mb=100, estimate_ms=500)
    name = f"{number:016x}"
    return LedgerJob(JobRecord(name, "q", POOL, "x", [step], 0, 0.0, 0.0, 1000.0))


def _end(scheduler: Scheduler, start: Start, now: float) -> None:
    scheduler.reports.start_answered(start.task, start.run, "", now)
    worker = scheduler.board.workers[start.worker]
    ended = EndedTask(1, start.task.name, start.run, "done", "")
    scheduler.reports.ended(worker, ended, now)


def _pairs(cost: PlanCost) -> dict[str, float]:
    return {
        "plan_us_per_start": round(cost.per_start, 1),
        "idle_plan_us": round(cost.per_plan_idle, 1),
    }


def _print(**pairs: float) -> None:
    print(" ".join(f"{key}={json.dumps(value)}" for key, value in pairs.items()))


if __name__ == "__main__":
    main()
