"""Test that the state of a wave reaches the operator."""

from __future__ import annotations

import json
from typing import Any

import anyio
import pytest

from mustardward.components.fleet.wave_planner import WavePlanner
from mustardward.components.fleet.wave_reporter import WaveReporter
from mustardward.components.ledger.appender import GroupAppender, Record
from mustardward.helpers.timer import DrivenTimerService
from mustardward.platform.exceptions import CallRefusedError

from .builders import a_view, a_wave

pytestmark = pytest.mark.anyio


async def test_a_wave_that_ends_while_the_store_is_away_is_reported_as_done() -> None:
    """Guard against a finished wave that the operator takes for one in progress."""
    timers = DrivenTimerService()
    stored: list[str] = []
    away = False

    async def async_call(records: list[Record], producer: Any) -> int:
        if away:
            raise CallRefusedError("status=503")
        stored.extend(json.loads(value)["state"] for _, value in records)
        return len(stored)

    appender = GroupAppender(async_call, timers, "status", 1)
    planner = WavePlanner(2.0)
    planner.runs[1] = a_wave(["m-00"])
    reporter = WaveReporter(appender, planner)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(appender.async_run)
        for step in range(80):
            away = 20 <= step < 60
            planner.runs[1].done = step >= 25
            reporter.report(a_view([]), timers.monotonic())
            await anyio.wait_all_tasks_blocked()
            await timers.async_advance(0.05)
        tasks.cancel_scope.cancel()
    assert stored == ["running", "done"]
