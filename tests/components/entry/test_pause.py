"""Pause the process and see what it dispatches afterwards."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import cast

import anyio
import httpx
import pytest

from mustardward.components.entry.pause import PauseGuard
from mustardward.core import Core
from mustardward.helpers.timer import DrivenTimerService
from mustardward.state.protocols import FleetLog
from tests.fakes.entry import respond_ok, running_entry

pytestmark = pytest.mark.anyio


@dataclass(slots=True)
class FakeTail:
    """Be a log whose tail is confirmed by hand."""

    timers: DrivenTimerService
    confirmed_at: float = 0.0
    asked: list[float] = field(default_factory=list)

    def tail_age_seconds(self) -> float:
        return self.timers.monotonic() - self.confirmed_at

    async def async_confirm_tail(self, timeout_seconds: float) -> bool:
        self.asked.append(timeout_seconds)
        return False


async def test_nothing_is_dispatched_until_the_tail_is_confirmed_again() -> None:
    """Look at the log before going on after a pause.

    Symptom: a worker gets work from a pool that gave it away. Sequence: the process is
    stopped, the worker moves, the process goes on. Cause: its picture of the fleet is
    old, and every variable looks as before.
    """
    async with anyio.create_task_group() as tasks:
        timers = DrivenTimerService()
        tail = FakeTail(timers, confirmed_at=timers.monotonic())
        guard = PauseGuard(cast(FleetLog, tail), timers, tasks)
        for _ in guard.start():
            pass
        await timers.async_advance(5.0)
        assert guard.open
        timers.pause(60.0)
        await anyio.lowlevel.checkpoint()
        assert not guard.open
        assert tail.asked
        tail.confirmed_at = timers.monotonic() - 30.0
        await timers.async_advance(1.0)
        assert not guard.open
        tail.confirmed_at = timers.monotonic()
        assert guard.open


async def test_a_pause_counts_before_the_timer_notices() -> None:
    """Notice a pause at the dispatch itself.

    Symptom: one request slips through right after a pause. Sequence: the loop goes on
    with a request before the task that watches for pauses. Cause: only that task knew.
    """
    async with anyio.create_task_group() as tasks:
        timers = DrivenTimerService()
        tail = FakeTail(timers, confirmed_at=timers.monotonic())
        guard = PauseGuard(cast(FleetLog, tail), timers, tasks)
        timers.pause(60.0)
        assert not guard.open


async def test_a_request_is_refused_while_the_state_is_unconfirmed() -> None:
    tails: list[FakeTail] = []

    def make_guard(core: Core) -> PauseGuard:
        timers = cast(DrivenTimerService, core.timers)
        tails.append(FakeTail(timers, confirmed_at=timers.monotonic()))
        return PauseGuard(cast(FleetLog, tails[0]), timers, core.tasks)

    async with running_entry(respond_ok, make_guard=make_guard) as (
        entry,
        (worker,),
    ):
        entry.timers.pause(60.0)
        async with anyio.create_task_group() as tasks, httpx.AsyncClient() as client:
            answers: list[httpx.Response] = []

            async def call() -> None:
                answers.append(await client.post(f"{entry.url}/hvelv/turn/"))

            tasks.start_soon(call)
            while not answers:
                await entry.timers.async_advance(0.05)
                await anyio.wait_all_tasks_blocked()
        assert (answers[0].status_code, answers[0].headers["mw-ran"]) == (503, "no")
        assert worker.seen == []
        tails[0].confirmed_at = entry.timers.monotonic()
        async with httpx.AsyncClient() as client:
            assert (await client.post(f"{entry.url}/hvelv/turn/")).content == b"done"
