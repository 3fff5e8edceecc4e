"""Test dispatch after a pause of the process."""

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
    """A log whose tail is confirmed by the test."""

    timers: DrivenTimerService
    confirmed_at: float = 0.0
    confirm_timeouts: list[float] = field(default_factory=list)

    def tail_age_seconds(self) -> float:
        return self.timers.monotonic() - self.confirmed_at

    async def async_confirm_tail(self, timeout_seconds: float) -> bool:
        self.confirm_timeouts.append(timeout_seconds)
        return False


async def test_dispatch_is_suspended_until_the_tail_is_confirmed() -> None:
    """Guard against sending work to a worker that left the pool during a pause.

    While the process is stopped, the worker moves to another pool. When the process
    resumes, its fleet state is stale, and nothing in its memory shows it.
    """
    async with anyio.create_task_group() as tasks:
        timers = DrivenTimerService()
        tail = FakeTail(timers, confirmed_at=timers.monotonic())
        guard = PauseGuard(cast(FleetLog, tail), timers, tasks)
        for _ in guard.start():
            pass
        await timers.async_advance(5.0)
        assert guard.dispatch_allowed
        timers.pause(60.0)
        await anyio.lowlevel.checkpoint()
        assert not guard.dispatch_allowed
        assert tail.confirm_timeouts
        tail.confirmed_at = timers.monotonic() - 30.0
        await timers.async_advance(1.0)
        assert not guard.dispatch_allowed
        tail.confirmed_at = timers.monotonic()
        assert guard.dispatch_allowed


async def test_pause_is_detected_before_the_timer_detects_it() -> None:
    """Guard against a request dispatched right after a pause.

    The event loop can resume with a request before the task that detects pauses, so the
    dispatch itself must detect them.
    """
    async with anyio.create_task_group() as tasks:
        timers = DrivenTimerService()
        tail = FakeTail(timers, confirmed_at=timers.monotonic())
        guard = PauseGuard(cast(FleetLog, tail), timers, tasks)
        timers.pause(60.0)
        assert not guard.dispatch_allowed


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
            responses: list[httpx.Response] = []

            async def call() -> None:
                responses.append(await client.post(f"{entry.url}/hvelv/turn/"))

            tasks.start_soon(call)
            while not responses:
                await entry.timers.async_advance(0.05)
                await anyio.wait_all_tasks_blocked()
        assert (responses[0].status_code, responses[0].headers["mw-ran"]) == (503, "no")
        assert worker.requests == []
        tails[0].confirmed_at = entry.timers.monotonic()
        async with httpx.AsyncClient() as client:
            assert (await client.post(f"{entry.url}/hvelv/turn/")).content == b"done"
