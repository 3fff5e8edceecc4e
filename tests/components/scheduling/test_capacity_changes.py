"""Test workers whose capacity changes while they run."""

from __future__ import annotations

from mustardward.components.scheduling.commands import Stop
from mustardward.components.scheduling.demand import measure
from mustardward.components.scheduling.losses import LossCause
from mustardward.platform.models import Room
from mustardward.platform.workers import RunningTask, TaskName

from .builders import POOL, SchedulerBench, a_job, a_row, a_step, an_entry

STARTED_AT_MS = 1_700_000_000_000
HALF = Room(cpu=4000, mem_mb=8000)


def one_worker_bench() -> SchedulerBench:
    """Return a scheduler with one worker of eight cores."""
    bench = SchedulerBench()
    bench.worker("w1", born=STARTED_AT_MS)
    return bench


def update_worker(
    bench: SchedulerBench, room: Room, started_at_ms: int = STARTED_AT_MS
) -> None:
    """Apply an entry of the worker with a capacity."""
    entry = an_entry(capacity=room, born=started_at_ms)
    bench.scheduler.update_worker("w1", entry, bench.now)


def test_a_worker_that_shrank_is_not_filled_beyond_its_capacity() -> None:
    """Guards against starts that exceed a worker's reduced capacity."""
    bench = one_worker_bench()
    update_worker(bench, HALF)
    bench.add(a_job(a_step(count=8)))
    assert len(bench.plan_starts()) == 4
    assert measure(bench.scheduler.state, bench.now)[POOL].capacity == HALF.cpu


def test_nothing_starts_while_runs_exceed_a_reduced_capacity() -> None:
    """Guards against counting the room of runs above the capacity as free."""
    bench = one_worker_bench()
    bench.add(a_job(a_step(count=8)))
    assert len(bench.plan_starts()) == 8
    update_worker(bench, HALF)
    for index in range(4):
        bench.end(bench.task(index), "done")
    bench.add(a_job(a_step(count=1), job="00000000000000bb"))
    assert bench.plan_starts() == []
    bench.end(bench.task(4), "done")
    assert len(bench.plan_starts()) == 1


def test_a_restored_capacity_is_used() -> None:
    bench = one_worker_bench()
    update_worker(bench, HALF)
    update_worker(bench, Room(cpu=8000, mem_mb=8000))
    bench.add(a_job(a_step(count=8)))
    assert len(bench.plan_starts()) == 8


def test_capacity_of_an_ended_incarnation_is_ignored() -> None:
    """Guards against an entry of a previous incarnation that is read late."""
    bench = one_worker_bench()
    update_worker(bench, HALF, started_at_ms=STARTED_AT_MS - 1000)
    bench.add(a_job(a_step(count=8)))
    assert len(bench.plan_starts()) == 8


def test_orphan_run_uses_its_room() -> None:
    """Guards against starts beside an orphan run that exceed a worker's capacity."""
    bench = one_worker_bench()
    bench.add(a_job(a_step(count=1, cpu=6000)))
    (start,) = bench.plan_starts()
    orphan = a_row(start.task, 10.0)
    bench.scheduler.remove_worker("w1", LossCause.LEASES_EXPIRED, bench.now)
    bench.worker("w2")
    bench.store()
    bench.plan_starts()
    bench.scheduler.update_worker("w1", an_entry(born=STARTED_AT_MS), bench.now)
    bench.hold("w1", running=[orphan])
    bench.add(a_job(a_step(count=1, cpu=4000), job="00000000000000bb"))
    assert bench.plan_starts() == []
    bench.hold("w1")
    assert [s.worker for s in bench.plan_starts()] == ["w1"]


def test_nothing_starts_beside_an_unknown_run() -> None:
    """Guards against starts beside a run that a previous owner is still stopping."""
    bench = one_worker_bench()
    unknown = RunningTask(TaskName("00000000000000cc", 0, 0, 0), 7, "", 10.0, 0.0)
    bench.hold("w1", running=[unknown])
    bench.add(a_job(a_step(count=1)))
    (stop,) = bench.plan()
    assert isinstance(stop, Stop)
    bench.hold("w1")
    assert len(bench.plan_starts()) == 1
