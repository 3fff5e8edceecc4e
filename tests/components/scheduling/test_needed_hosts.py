"""Test which workers can't be drained, as tasks have no other place."""

from __future__ import annotations

import pytest

from mustardward.components.scheduling.const import ISOLATION_CRASHES
from mustardward.components.scheduling.losses import LossCause
from mustardward.components.scheduling.needed_hosts import (
    WAIT_SECONDS,
    find_needed_hosts,
)
from mustardward.platform.models import Room

from .builders import SchedulerBench, a_job, a_step, count_calls
from .test_starvation import Simulation

BUSY_TICKS = 50
MAX_WAIT_SECONDS = 3.0
CALLS_PER_WORKER = 12
"""Calls of Python functions for each worker, of one step that runs on all of them."""

OTHER = "00000000000000bb"


def a_pool(workers: int, **changes: object) -> SchedulerBench:
    """Return a pool on which all tasks of a long-running step run."""
    bench = SchedulerBench()
    for number in range(workers):
        bench.worker(f"w{number}")
    step = {"count": 4, "long_running": True, "max_per_server": 2, "may_miss": 1}
    bench.add(a_job(a_step(**{**step, **changes})))
    bench.plan_starts()
    assert not bench.task(0).step.waiting
    return bench


def needed(bench: SchedulerBench, *draining: str) -> set[str]:
    """Return which of the workers to be drained are needed."""
    return set(find_needed_hosts(bench.scheduler.state, set(draining), bench.now))


def test_worker_is_needed_while_the_others_are_at_the_limit_of_the_step() -> None:
    """Guard against a drain that stops one task and then waits for it."""
    bench = a_pool(2)
    assert needed(bench, "w1") == {"w1"}
    bench.worker("w2")
    assert needed(bench, "w1") == set()


def test_worker_is_needed_while_the_others_have_no_room() -> None:
    """Guard against the same in a pool without free memory."""
    bench = a_pool(2, max_per_server=0, mem_mb=4000)
    assert needed(bench, "w1") == {"w1"}
    bench.worker("w2", capacity=Room(cpu=8000, mem_mb=3000))
    assert needed(bench, "w1") == {"w1"}


@pytest.mark.parametrize("unusable", ["draining", "cordoned", "silent", "unlisted"])
def test_worker_that_gets_no_tasks_is_no_place(unusable: str) -> None:
    bench = a_pool(2)
    other = bench.worker("w2")
    other.draining = unusable == "draining"
    other.cordoned = unusable == "cordoned"
    other.stale = unusable == "silent"
    other.absent = unusable == "unlisted"
    assert needed(bench, "w1") == {"w1"}


def test_worker_whose_tasks_may_all_be_missing_can_be_drained() -> None:
    """Guard against waves that wait for instances which they do not need."""
    assert needed(a_pool(2, may_miss=2), "w1") == set()
    assert needed(a_pool(2, count=2, max_per_server=1), "w1") == set()


def test_drain_goes_on_while_its_first_task_moves() -> None:
    bench = a_pool(2)
    bench.worker("w2")
    bench.scheduler.set_cordoned("w1", True, bench.now)
    bench.scheduler.state.stop(bench.task(1), "evacuation")
    assert needed(bench, "w1") == set()


def test_worker_is_needed_once_a_task_waits_that_fits_nowhere_else() -> None:
    """Guard against a task that waits beside a worker that is being drained."""
    bench = a_pool(2, count=3, max_per_server=0, cpu=2500)
    bench.scheduler.set_cordoned("w1", True, bench.now)
    crashed = "w0"
    waits = bench.scheduler.state.workers[crashed].tasks
    assert waits
    bench.scheduler.remove_worker(crashed, LossCause.REPLACED, bench.now)
    bench.store()
    bench.plan_starts()
    assert needed(bench, "w1") <= {"w1"}
    bench.now += WAIT_SECONDS
    assert needed(bench, "w1") == {"w1"}


def test_short_tasks_do_not_keep_a_worker_from_being_drained() -> None:
    bench = a_pool(2, long_running=False)
    assert needed(bench, "w0", "w1") == set()


def test_last_worker_of_a_pool_is_needed_while_work_waits() -> None:
    """Guard against a job that waits while its pool's only worker is drained."""
    bench = SchedulerBench()
    bench.worker("w0")
    bench.scheduler.set_cordoned("w0", True, bench.now)
    bench.add(a_job(a_step(count=1)))
    assert not bench.plan_starts()
    bench.now += WAIT_SECONDS
    assert needed(bench, "w0") == {"w0"}
    bench.worker("w1")
    assert needed(bench, "w0") == set()


@pytest.mark.parametrize("draining", [5, 20])
def test_cost_does_not_grow_with_workers_times_draining_ones(draining: int) -> None:
    """Guard against an owner that spends its time on a wave in a large full pool."""
    workers = 80
    bench = a_pool(workers, count=2 * workers)
    hosts = [f"w{number}" for number in range(draining)]
    assert needed(bench, *hosts) == set(hosts)
    calls = count_calls(lambda: needed(bench, *hosts))
    assert calls <= CALLS_PER_WORKER * (workers + draining)


def test_busy_pool_does_not_keep_a_worker_from_being_drained() -> None:
    """Guard against a wave that waits, and cordons that alternate, for short tasks."""
    bench = a_pool(4, count=8, max_per_server=4)
    simulation = Simulation(bench)
    state = bench.scheduler.state
    simulation.run(6.0)
    assert state.workers["w0"].tasks
    for number in range(200):
        if number % 2 == 0:
            name = f"f{number:015x}"
            simulation.seconds[name] = 1.0
            bench.add(a_job(a_step(count=6), job=name))
        simulation.tick()
        if number < BUSY_TICKS:
            continue
        assert needed(bench, "w0") == set()
        bench.scheduler.set_cordoned("w0", True, bench.now)
        if not state.workers["w0"].tasks:
            return
    pytest.fail("the worker was not emptied")


def test_worker_is_needed_by_a_task_to_which_short_ones_leave_no_room() -> None:
    """Guard against a task that waits for short ones beside a cordoned worker."""
    bench = a_pool(1, count=1)
    bench.scheduler.set_cordoned("w0", True, bench.now)
    bench.worker("w1")
    short = a_step(count=1, cpu=7500, estimate_ms=60_000)
    bench.add(a_job(short, job=f"{1:016x}"))
    bench.plan_starts()
    bench.scheduler.state.stop(bench.task(0), "evacuation")
    bench.plan()
    bench.end(bench.task(0), "stopped")
    assert not bench.plan_starts()
    bench.now += MAX_WAIT_SECONDS
    assert needed(bench, "w0") == {"w0"}


def test_worker_on_which_a_suspect_runs_alone_is_no_place() -> None:
    """Guard against a drain of tasks that would wait until the suspect is cleared."""
    bench = a_pool(2)
    bench.worker("w2")
    bench.add(a_job(a_step(count=1, long_running=True), job=OTHER))
    for number in range(ISOLATION_CRASHES):
        bench.scheduler.state.record_crash(
            bench.task(0, job=OTHER), f"crashed-{number}"
        )
    bench.store()
    (start,) = bench.plan_starts()
    assert start.worker == "w2"
    assert needed(bench, "w1") == {"w1"}
