"""Test that an answer that newer ones overtook doesn't end a worker's runs."""

from __future__ import annotations

import pytest

from mustardward.components.dispatch.const import CLOCK_RESET_THRESHOLD_MS
from mustardward.components.scheduling.models import Task
from mustardward.platform.workers import TaskName

from ..fleet.live_workers import LiveWorkersHarness, a_harness, a_running_task
from ..scheduling.builders import JOB

pytestmark = pytest.mark.anyio

DELAY_SECONDS = CLOCK_RESET_THRESHOLD_MS / 1000 + 0.3
"""Time for which the answer of one poll is held up on its connection."""


def the_task(harness: LiveWorkersHarness) -> Task:
    task = harness.scheduler.state.find_task(TaskName(JOB, 0, 0, 0))
    assert task is not None
    return task


async def test_an_overtaken_answer_does_not_repeat_a_live_run() -> None:
    """Guard against a task that runs twice because an old clock looks like a restart.

    An answer of a poll is held up while later ones, on other connections, arrive.
    """
    async with a_harness() as harness:
        await a_running_task(harness, "i-01")
        worker = harness.workers["i-01"]
        worker.answer_delay_seconds = DELAY_SECONDS
        await harness.async_advance_time(0.1)
        worker.answer_delay_seconds = 0.0
        await harness.async_advance_time(DELAY_SECONDS - 0.15)
        await harness.dispatcher.sessions["i-01"].async_ensure_alive(fresh=True)
        assert the_task(harness).worker is harness.scheduler.state.workers["i-01"]
        assert await harness.async_advance_time(3.0) == 1
        assert harness.hosts() == ["i-01"]
