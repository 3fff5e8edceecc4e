"""Test workers whose room changes while they run."""

from __future__ import annotations

from mustardward.components.scheduling.commands import Stop
from mustardward.components.scheduling.demand import measure
from mustardward.components.scheduling.losses import LossCause
from mustardward.platform.models import Room
from mustardward.platform.workers import RunningTask, TaskName

from .builders import POOL, SchedulerBench, a_job, a_row, a_step, an_entry

BORN = 1_700_000_000_000
HALF = Room(cpu=4000, mem_mb=8000)


def a_bench() -> SchedulerBench:
    """Return a scheduler with one worker of eight cores."""
    bench = SchedulerBench()
    bench.worker("w1", born=BORN)
    return bench


def update_worker(bench: SchedulerBench, room: Room, born: int = BORN) -> None:
    """Let the worker's entry tell of a room."""
    entry = an_entry(capacity=room, born=born)
    bench.scheduler.update_worker("w1", entry, bench.now)


def test_a_worker_whose_room_has_shrunk_is_not_filled_beyond_it() -> None:
    """Guards against starts that bring a worker over the room that it has left."""
    bench = a_bench()
    update_worker(bench, HALF)
    bench.add(a_job(a_step(count=8)))
    assert len(bench.plan_starts()) == 4
    assert measure(bench.scheduler.state, bench.now)[POOL].capacity == HALF.cpu


def test_nothing_starts_above_a_room_that_shrank_under_what_runs() -> None:
    """Guards against counting what runs above the room as free."""
    bench = a_bench()
    bench.add(a_job(a_step(count=8)))
    assert len(bench.plan_starts()) == 8
    update_worker(bench, HALF)
    for index in range(4):
        bench.end(bench.task(index), "done")
    bench.add(a_job(a_step(count=1), job="00000000000000bb"))
    assert bench.plan_starts() == []
    bench.end(bench.task(4), "done")
    assert len(bench.plan_starts()) == 1


def test_a_room_that_grows_again_is_used() -> None:
    bench = a_bench()
    update_worker(bench, HALF)
    update_worker(bench, Room(cpu=8000, mem_mb=8000))
    bench.add(a_job(a_step(count=8)))
    assert len(bench.plan_starts()) == 8


def test_room_of_an_ended_incarnation_is_ignored() -> None:
    """Guards against an entry that is read late and was written by another life."""
    bench = a_bench()
    update_worker(bench, HALF, born=BORN - 1000)
    bench.add(a_job(a_step(count=8)))
    assert len(bench.plan_starts()) == 8


def test_orphan_run_takes_its_room() -> None:
    """Guards against starts beside a stray run that bring a worker over its room."""
    bench = a_bench()
    bench.add(a_job(a_step(count=1, cpu=6000)))
    (start,) = bench.plan_starts()
    stray = a_row(start.task, 10.0)
    bench.scheduler.remove_worker("w1", LossCause.LEASES_EXPIRED, bench.now)
    bench.worker("w2")
    bench.plan_starts()
    bench.scheduler.update_worker("w1", an_entry(born=BORN), bench.now)
    bench.hold("w1", running=[stray])
    bench.add(a_job(a_step(count=1, cpu=4000), job="00000000000000bb"))
    assert bench.plan_starts() == []
    bench.hold("w1")
    assert [s.worker for s in bench.plan_starts()] == ["w1"]


def test_nothing_starts_beside_a_run_whose_room_is_not_known() -> None:
    """Guards against starts beside what an owner before is still stopping."""
    bench = a_bench()
    over = RunningTask(TaskName("00000000000000cc", 0, 0, 0), 7, "", 10.0, 0.0)
    bench.hold("w1", running=[over])
    bench.add(a_job(a_step(count=1)))
    (stop,) = bench.plan()
    assert isinstance(stop, Stop)
    bench.hold("w1")
    assert len(bench.plan_starts()) == 1
