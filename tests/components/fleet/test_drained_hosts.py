"""Test that maintenance leaves long-running tasks a worker to run on."""

from __future__ import annotations

import pytest

from mustardward.components.fleet.models import WaveRun
from mustardward.platform.models import MaintenanceWave

from ..scheduling.builders import a_job, a_step
from .live_workers import LiveWorkersHarness, a_harness

pytestmark = pytest.mark.anyio

TASKS = 4
MAX_WAIT_SECONDS = 3.0
"""Time for which a long-running task may wait while there is room for it."""
WAVE_SECONDS = 20.0


async def a_full_pool(harness: LiveWorkersHarness) -> None:
    """Run as many tasks of a long-running step as its limit per worker allows."""
    for name in harness.workers:
        harness.register(name)
    await harness.async_advance_time(0.5)
    step = a_step(count=TASKS, long_running=True, max_per_server=2, may_miss=1)
    harness.submit(a_job(step))
    await harness.async_advance_time(1.0)
    assert harness.count_running() == TASKS


async def async_longest_gap(harness: LiveWorkersHarness, seconds: float) -> float:
    """Advance the time; return for how long tasks were missing at a time."""
    longest = gap = 0.0
    step_seconds = 0.25
    for _ in range(round(seconds / step_seconds)):
        await harness.async_advance_time(step_seconds)
        gap = gap + step_seconds if harness.count_running() < TASKS else 0.0
        longest = max(longest, gap)
    return longest


async def test_wave_does_not_drain_the_only_worker_that_may_run_a_task() -> None:
    """Guard against a task that is evacuated, and may return to no other worker."""
    async with a_harness() as harness:
        await a_full_pool(harness)
        wave = MaintenanceWave(1, ["m-01"], WAVE_SECONDS, 1)
        now = harness.timers.monotonic()
        harness.fleet.wave_planner.runs[1] = WaveRun(wave, now)
        assert await async_longest_gap(harness, WAVE_SECONDS) <= MAX_WAIT_SECONDS
