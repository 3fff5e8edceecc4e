"""Test that an owner places tasks beside workers whose entries are odd."""

from __future__ import annotations

import msgspec
import pytest

from mustardward.components.ownership.directory import WorkerDirectory
from mustardward.components.scheduling.demand import measure
from mustardward.components.scheduling.models import Phase
from mustardward.platform.entries import (
    MAX_ACCELERATORS,
    MAX_CPU,
    MAX_MEMORY_MB,
    MAX_NAME_LENGTH,
    MAX_STARTED_AT_MS,
)
from mustardward.platform.models import WorkerEntry
from mustardward.platform.store import KeyedRecord

from ...platform.odd_values import odd_fields
from ...platform.test_entries import GOOD
from .builders import POOL, SchedulerBench, a_job, a_step

EXTREME = {
    **GOOD,
    "service": POOL,
    "zone": "z\r\nevent=forged" + "z" * (MAX_NAME_LENGTH - 15),
    "capacity": {"cpu": MAX_CPU, "mem-mb": MAX_MEMORY_MB, "gpu": MAX_ACCELERATORS},
    "labels": ["a=b", "r1\n"],
    "born": MAX_STARTED_AT_MS,
    "remaining-ms": 1e9,
}
ODD_IDS = ["w" * MAX_NAME_LENGTH, "w=1", '"w"', "w/1", "../w", "%0d%0a", "\\n"]


def a_bench(records: list[KeyedRecord]) -> SchedulerBench:
    """Return a scheduler with a usual worker and the workers of these entries."""
    bench = SchedulerBench()
    bench.worker("usual")

    def add(worker_id: str, entry: WorkerEntry) -> None:
        bench.scheduler.update_worker(worker_id, entry, bench.now)
        if worker_id in bench.scheduler.state.workers:
            bench.hold(worker_id)

    directory = WorkerDirectory(
        add,
        lambda worker: bench.scheduler.mark_worker_missing(worker, bench.now),
        bench.scheduler.mark_worker_absent,
    )
    for record in records:
        directory.apply(record)
    return bench


def run_jobs(bench: SchedulerBench) -> None:
    """Run a job to its end, also if workers are lost and return."""
    bench.add(a_job(a_step(count=6), a_step(count=2, gang=True, after=[0])))
    for _ in range(30):
        bench.now += 0.5
        bench.clock_ms += 500
        bench.plan_starts()
        measure(bench.scheduler.state, bench.now)
        for worker in list(bench.scheduler.state.workers.values()):
            for task in list(worker.tasks.values()):
                if task.phase is Phase.RUNNING:
                    bench.end(task, "done")
    assert all(bench.task(number).phase is Phase.DONE for number in range(6))


@pytest.mark.parametrize("worker_id", ODD_IDS)
def test_jobs_run_beside_workers_with_extreme_entries(worker_id: str) -> None:
    draining = {**EXTREME, "state": "draining"}
    records = [
        KeyedRecord(1, worker_id, msgspec.json.encode(EXTREME)),
        KeyedRecord(2, f"{worker_id[:9]}-2", msgspec.json.encode(draining)),
        KeyedRecord(3, worker_id, msgspec.json.encode({**EXTREME, "labels": []})),
    ]
    run_jobs(a_bench(records))


def test_jobs_run_beside_workers_with_odd_fields() -> None:
    """Guard against an owner that ends, or places nothing, because of one entry."""
    valid = {
        name: msgspec.json.encode(value)
        for name, value in {**GOOD, "service": POOL, "born": 1}.items()
    }
    values = odd_fields(6, valid)
    records = [KeyedRecord(n, f"odd-{n}", value) for n, value in enumerate(values)]
    records += [KeyedRecord(n, "changing", value) for n, value in enumerate(values)]
    run_jobs(a_bench(records))
