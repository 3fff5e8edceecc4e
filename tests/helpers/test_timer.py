"""Test the simulated timer service."""

from __future__ import annotations

import anyio
import pytest

from mustardward.helpers.timer import DrivenTimerService, LoopTimerService

pytestmark = pytest.mark.anyio


async def test_subscribers_are_called_at_their_intervals() -> None:
    timers = DrivenTimerService()
    called: list[float] = []

    async def record() -> None:
        called.append(timers.monotonic())

    unsubscribe = timers.subscribe("note", 2.0, record)
    start = timers.monotonic()
    await timers.async_advance(5.0)
    unsubscribe()
    await timers.async_advance(5.0)
    assert called == [start + 2.0, start + 4.0]


async def test_one_failing_subscriber_does_not_stop_the_others() -> None:
    """Guard against heartbeats that stop although the process serves.

    The exception of one callback ends the task that runs all callbacks.
    """
    timers = DrivenTimerService()
    called: list[str] = []

    async def fail() -> None:
        called.append("fail")
        raise ValueError("broken duty")

    async def work() -> None:
        called.append("work")

    timers.subscribe("fail", 1.0, fail)
    timers.subscribe("work", 1.0, work)
    await timers.async_advance(2.0)
    assert called == ["fail", "work", "fail", "work"]


async def test_pause_notifies_listeners_without_running_callbacks() -> None:
    timers = DrivenTimerService()
    pauses: list[float] = []
    timers.subscribe_pause(pauses.append)
    timers.pause(60.0)
    assert pauses == [60.0]


async def test_pause_is_known_before_it_is_detected(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against a failed read that is logged before the pause it falls into."""
    clock = [100.0]

    class _Timers(LoopTimerService):
        def monotonic(self) -> float:
            return clock[0]

    async with anyio.create_task_group() as tasks:
        timers = _Timers(tasks)
        timers.start()
        await anyio.wait_all_tasks_blocked()
        assert timers.paused_seconds_since(100.0) == 0.0
        clock[0] += 16.25
        assert timers.paused_seconds_since(100.0) == 16.0
        await anyio.sleep(0.3)
        assert timers.paused_seconds_since(100.0) == 16.0
        assert timers.paused_seconds_since(clock[0]) == 0.0
        tasks.cancel_scope.cancel()
    assert sum("event=process_paused " in r.message for r in caplog.records) == 1
