"""Test what a pool's work asks for."""

from __future__ import annotations

from mustardward.components.scheduling.demand import measure

from .builders import POOL, SchedulerBench, a_job, a_step


def test_a_step_with_a_limit_for_each_worker_asks_for_so_many_workers() -> None:
    """It does so while its tasks wait, and while they run."""
    bench = SchedulerBench()
    bench.worker("w1")
    bench.add(a_job(a_step(count=5, max_per_server=2, long_running=True)))
    assert measure(bench.scheduler.board)[POOL].spread == 3
    assert len(bench.plan_starts()) == 2
    assert measure(bench.scheduler.board)[POOL].spread == 3


def test_what_runs_and_what_waits_is_told_apart() -> None:
    bench = SchedulerBench()
    bench.worker("w1")
    bench.add(a_job(a_step(count=12, cpu=1000, mem_mb=100, estimate_ms=2000)))
    bench.plan_starts()
    load = measure(bench.scheduler.board)[POOL]
    assert (load.running.cpu, load.waiting.cpu) == (8000, 4000)
    assert load.backlog.cpu == 8000
    assert load.backlog.mem_mb == 800
