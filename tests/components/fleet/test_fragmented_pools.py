"""Test that pools ask for an instance where long-running tasks leave gaps only."""

from __future__ import annotations

from dataclasses import replace

import pytest

from mustardward.components.fleet.models import Load
from mustardward.components.fleet.pool_planner import PoolPlanner
from mustardward.components.scheduling.demand import measure
from mustardward.components.scheduling.needed_hosts import find_needed_hosts

from ..scheduling.builders import SchedulerBench, a_job, a_step
from .builders import POOL, STANDBY, a_view, an_instance

MOVE_SECONDS = 2.0
PLANNING_SECONDS = 10.0
TICK_SECONDS = 0.1


def a_pool(workers: int, count: int, cpu: int) -> SchedulerBench:
    """Return a pool that runs as many long-running tasks as it has room for."""
    bench = SchedulerBench()
    for number in range(workers):
        bench.worker(f"i-{number:02d}")
    bench.add(a_job(a_step(count=count, cpu=cpu, long_running=True, may_miss=1)))
    bench.plan_starts()
    return bench


def moves_to_pool(bench: SchedulerBench, held: set[str]) -> set[str]:
    """Return the machines that are moved to the pool from standby."""
    planner = PoolPlanner(MOVE_SECONDS)
    workers = bench.scheduler.state.workers
    fleet = [an_instance(number) for number in range(len(workers))]
    fleet += [an_instance(50 + number, STANDBY) for number in range(5)]
    moved: set[str] = set()
    for _ in range(round(PLANNING_SECONDS / TICK_SECONDS)):
        loads = {worker.id: Load(len(worker.tasks), 0) for worker in workers.values()}
        view = replace(a_view(fleet, loads, bench.now), pools=frozenset({POOL}))
        demand = measure(bench.scheduler.state, bench.now)
        moves = planner.decide(view, demand, held, bench.now)
        moved |= {move.machine for move in moves if move.pool == POOL}
        bench.now += TICK_SECONDS
    return moved


@pytest.mark.parametrize("workers", [2, 3, 4])
def test_pool_asks_for_an_instance_for_a_long_running_task_without_room(
    workers: int,
) -> None:
    """Guard against a task that never runs, since the room is enough in total."""
    bench = a_pool(workers, count=workers + 1, cpu=4500)
    assert len(bench.task(0).step.waiting) == 1
    assert len(moves_to_pool(bench, set())) == 1


@pytest.mark.parametrize("workers", [5, 10])
def test_pool_asks_for_an_instance_for_tasks_that_cannot_leave_a_worker(
    workers: int,
) -> None:
    """Guard against a wave that waits for an instance for which nobody asks."""
    bench = a_pool(workers, count=2 * workers, cpu=2700)
    state = bench.scheduler.state
    state.needed_hosts = find_needed_hosts(state, {"i-00"}, bench.now)
    assert state.needed_hosts == {"i-00"}
    assert len(moves_to_pool(bench, {"m-00"})) == 1
