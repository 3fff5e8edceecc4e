"""Test the complete demo on a driven clock."""

from __future__ import annotations

import pytest

from mustardward.embedded.demo import DEMO_STEPS, DemoLine, async_run_demo
from mustardward.helpers.timer import DrivenTimerService

from ..fakes.driving import DrivenLoopTimers, async_driven

pytestmark = pytest.mark.anyio


async def test_the_demo_completes_all_steps() -> None:
    timers = DrivenTimerService()
    lines: list[DemoLine] = []
    async with async_driven(timers, step_seconds=0.02):
        lines = await async_run_demo(
            timers, lambda tasks: DrivenLoopTimers(timers, tasks)
        )
    assert [line.step for line in lines] == ["start", *DEMO_STEPS]
    assert [line.outcome for line in lines if not line.succeeded] == []
