"""Test workers that restart under their id soon after their first start."""

from __future__ import annotations

import anyio
import pytest

from mustardward.components.scheduling.models import Phase
from mustardward.platform.workers import StartRequest, StartResponse

from ..scheduling.builders import a_step
from .test_restarts import RestartHarness

pytestmark = pytest.mark.anyio


async def test_run_in_the_next_life_of_a_young_worker_is_not_repeated_beside_it() -> (
    None
):
    """Guard against a deadline of a clock that is ahead by less than the threshold."""
    async with anyio.create_task_group() as tasks:
        harness = RestartHarness(tasks)
        worker = harness.worker
        worker.restart()
        await harness.async_advance_time(0.5)
        harness.update_entry()
        await harness.async_advance_time(1.0)
        harness.session.request_identity()
        await harness.async_advance_time(0.3)
        await harness.async_advance_time(0.9)
        worker.restart()
        harness.add(a_step(count=1, long_running=True))
        execute = worker.async_start

        async def start_and_fall_silent(order: StartRequest) -> StartResponse:
            answer = await execute(order)
            worker.unreachable = True
            return answer

        worker.async_start = start_and_fall_silent  # type: ignore[method-assign]
        await harness.async_advance_time(0.1)
        assert worker.process.runs
        for _ in range(100):
            await harness.async_advance_time(0.1, plan=False)
            worker.process.advance(worker.clock_ms())
            if harness.task().phase is Phase.WAITING:
                break
        held = dict(harness.scheduler.state.held_starts.items())
        assert harness.task().name in held or not worker.process.runs
        tasks.cancel_scope.cancel()
