"""Measure what a large job costs its owner, by its occurrences, steps or tasks.

``python -m bench.large_jobs`` prints a line for each size. Half of the job is done, and
all else is due.
"""

from __future__ import annotations

import json
import time
from collections.abc import Callable
from functools import partial
from typing import Final, TypeVar

import msgspec

from mustardward.components.ledger.bitset import pack_indices
from mustardward.components.ledger.ledger import LedgerJob, encode
from mustardward.components.ledger.models import (
    JobRecord,
    JobState,
    Progress,
    StepProgress,
)
from mustardward.components.scheduling.commands import Start
from mustardward.components.scheduling.models import QueuePolicy
from mustardward.components.scheduling.scheduler import Scheduler
from mustardward.platform.models import ENDED_DONE, Room, SubmittedStep, WorkerEntry
from mustardward.platform.workers import EndedTask, WorkerReport

SIZES: Final = (100, 1_000, 10_000, 100_000)
MAX_STEPS: Final = 10_000
"""A body of the largest size has no more steps."""

POOL: Final = "pool-a"
JOB: Final = "00000000000000aa"
NOW: Final = 1_000_000_000.0
ENDS: Final = 20
PLANS: Final = 5
WORKERS: Final = 4

T = TypeVar("T")
_PROGRESS: Final = msgspec.msgpack.Decoder(Progress)


def main() -> None:
    """Print the costs of each kind and size."""
    for size in SIZES:
        _print("occurrences", size, _record([_step(1)], times=size))
    for size in SIZES:
        if size <= MAX_STEPS:
            _print("steps", size, _record([_step(1)] * size))
    for size in SIZES:
        if size <= MAX_STEPS:
            chain = [_step(1, after=[n - 1] if n else []) for n in range(size)]
            _print("chain", size, _record(chain))
    for size in SIZES:
        _print("tasks", size, _record([_step(size)]))


def _print(kind: str, size: int, record: JobRecord) -> None:
    print(json.dumps({"kind": kind, "size": size, **measure(record)}), flush=True)


def measure(record: JobRecord) -> dict[str, float]:
    """Return the costs of a job in milliseconds of processor time."""
    rows_ms, scheduler, started = _take_over(record, _half_done(record))
    plan_ms = min(_timed(lambda: scheduler.plan(NOW, NOW, 0))[0] for _ in range(PLANS))
    end_ms = [_timed(partial(_end, scheduler, start))[0] for start in started[:ENDS]]
    next_plan_ms, _ = _timed(lambda: scheduler.plan(NOW, NOW, 0))
    write_ms, records = _timed(
        lambda: [encode(progress) for _, progress in scheduler.take_dirty(NOW, NOW)]
    )
    takeover_ms, _, _ = _take_over(record, _PROGRESS.decode(records[0]))
    return {
        "takeover_ms": round(takeover_ms, 2),
        "takeover_from_rows_ms": round(rows_ms, 2),
        "plan_ms": round(plan_ms, 3),
        "end_ms": round(sum(end_ms) / len(end_ms), 4),
        "plan_after_ends_ms": round(next_plan_ms, 3),
        "progress_ms": round(write_ms, 3),
        "progress_bytes": len(records[0]),
        "steps_held": len(scheduler.state.jobs[JOB].steps),
    }


def _step(count: int, after: list[int] | None = None) -> SubmittedStep:
    return SubmittedStep(
        count=count, cpu=500, mem_mb=8, estimate_ms=100, after=after or []
    )


def _record(steps: list[SubmittedStep], times: int = 0) -> JobRecord:
    return JobRecord(JOB, "q", POOL, "x", steps, times, 1000.0, 1000.0, 1.0)


def _half_done(record: JobRecord) -> Progress:
    """Return progress with one row for each step in which tasks are done."""
    if record.times:
        done = pack_indices([0])
        rows = [StepProgress(n, 0, done) for n in range(record.times // 2)]
    elif len(record.steps) > 1:
        done = pack_indices([0])
        rows = [StepProgress(0, n, done) for n in range(len(record.steps) // 2)]
    else:
        rows = [StepProgress(0, 0, pack_indices(range(0, record.steps[0].count, 2)))]
    return Progress(JobState.RUNNING, rows)


def _take_over(
    record: JobRecord, progress: Progress
) -> tuple[float, Scheduler, list[Start]]:
    """Return what a new owner's first plan takes, its scheduler, and its starts."""
    scheduler = Scheduler(1, lambda queue: QueuePolicy(service=POOL))
    entry = WorkerEntry(POOL, "a:1", capacity=Room(cpu=64000, mem_mb=64000))
    for number in range(WORKERS):
        scheduler.update_worker(f"w{number}", entry, NOW)
        report = WorkerReport(0, [], [])
        scheduler.apply_worker_report(f"w{number}", report, NOW, NOW)
    ledger_job = LedgerJob(record, progress)

    def run() -> list[Start]:
        scheduler.add_job(ledger_job, NOW, NOW)
        commands = scheduler.plan(NOW, NOW, 100)
        return [command for command in commands if isinstance(command, Start)]

    elapsed_ms, started = _timed(run)
    for start in started:
        scheduler.reports.start_answered(start.task, start.run, "", NOW - 0.1)
    return elapsed_ms, scheduler, started


def _end(scheduler: Scheduler, start: Start) -> None:
    ended = EndedTask(start.run, start.task.name, start.run, ENDED_DONE, "")
    report = WorkerReport(0, [], [ended])
    scheduler.apply_worker_report(start.worker, report, NOW - 1, NOW)


def _timed(call: Callable[[], T]) -> tuple[float, T]:
    """Return the processor time of a call in milliseconds, and its result."""
    began = time.process_time()
    result = call()
    return 1000 * (time.process_time() - began), result


if __name__ == "__main__":
    main()
