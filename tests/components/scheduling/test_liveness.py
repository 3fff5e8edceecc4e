"""Test that work which can run does run, where a hold has no end."""

from __future__ import annotations

from mustardward.components.scheduling.models import Phase
from mustardward.platform.models import Room

from .builders import SchedulerBench, a_job, a_step

TICK_SECONDS = 0.1
WAIT_SECONDS = 10.0
LEASE_SECONDS = 4.0

LASTING = {"long_running": True, "max_per_server": 1, "cpu": 1000, "mem_mb": 1000}
LARGE = {"count": 6, "cpu": 7000, "mem_mb": 28_000}
MOST_OF_A_WORKER = {"count": 1, "cpu": 6000}


def _plan_for(bench: SchedulerBench, seconds: float) -> None:
    """Plan for some time among workers that do as told."""
    for _ in range(round(seconds / TICK_SECONDS)):
        bench.now += TICK_SECONDS
        bench.plan_starts()


def test_work_waits_for_no_lasting_step_that_no_worker_can_run() -> None:
    """Guard against workers kept empty for tasks whose limit allows none of them."""
    bench = SchedulerBench()
    for name in ("w1", "w2", "w3"):
        bench.worker(name, capacity=Room(cpu=64_000, mem_mb=256_000))
    for number in range(3):
        bench.add(a_job(a_step(count=6, **LASTING), job=f"{number:016x}"))
    bench.add(a_job(a_step(**LARGE)))
    _plan_for(bench, WAIT_SECONDS)

    assert [bench.task(index).phase for index in range(6)] == 6 * [Phase.RUNNING]
