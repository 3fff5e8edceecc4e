"""Test that the state of a wave reaches the operator and the next owner."""

from __future__ import annotations

import json
from typing import Any

import anyio
import msgspec
import pytest

from mustardward.components.fleet.models import Maintain
from mustardward.components.fleet.wave_planner import WavePlanner
from mustardward.components.fleet.wave_reporter import WaveReporter
from mustardward.components.ledger.appender import GroupAppender, Record
from mustardward.components.ledger.models import WaveRecord
from mustardward.helpers.timer import DrivenTimerService
from mustardward.platform.exceptions import CallRefusedError

from .builders import a_view, a_wave, an_instance
from .test_cordons import FleetHarness

pytestmark = pytest.mark.anyio

STEP_SECONDS = 0.05
AWAY_STEPS = range(20, 60)
END_STEP = 25
STEPS = 80


class AwayStore:
    """Hold the values that were appended while the store was not away."""

    def __init__(self) -> None:
        self.timers = DrivenTimerService()
        self.appender = GroupAppender(self._async_call, self.timers, "status", 1)
        self.away = False
        self.values: list[bytes] = []

    async def async_advance_time(self) -> None:
        await anyio.wait_all_tasks_blocked()
        await self.timers.async_advance(STEP_SECONDS)

    async def _async_call(self, records: list[Record], producer: Any) -> int:
        if self.away:
            raise CallRefusedError("status=503")
        self.values.extend(value for _, value in records)
        return len(self.values)


async def test_a_wave_that_ends_while_the_store_is_away_is_reported_as_done() -> None:
    """Guard against a finished wave that the operator takes for one in progress."""
    store = AwayStore()
    planner = WavePlanner(2.0)
    planner.runs[1] = a_wave(["m-00"])
    reporter = WaveReporter(store.appender, planner)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(store.appender.async_run)
        for step in range(STEPS):
            store.away = step in AWAY_STEPS
            planner.runs[1].done = step >= END_STEP
            reporter.report(a_view([]), store.timers.monotonic())
            await store.async_advance_time()
        tasks.cancel_scope.cancel()
    assert [json.loads(v)["state"] for v in store.values] == ["running", "done"]


async def test_maintenance_that_begins_while_the_store_is_away_is_stored() -> None:
    """Guard against a next owner that drains a maintained instance once more."""
    store = AwayStore()
    fleet = FleetHarness([an_instance(0)])
    fleet.fleet.ledger_appender = store.appender
    fleet.wave_planner.runs[1] = a_wave(["m-00"])
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(store.appender.async_run)
        for step in range(STEPS):
            store.away = step in AWAY_STEPS
            if step == END_STEP:
                await fleet.fleet._async_maintain(Maintain("m-00", 1))
            await store.async_advance_time()
        tasks.cancel_scope.cancel()
    stored = [msgspec.msgpack.decode(v, type=WaveRecord) for v in store.values]
    assert [record.machines for record in stored] == [["m-00"]]
