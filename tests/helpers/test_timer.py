"""Test the simulated timer service."""

from __future__ import annotations

import pytest

from mustardward.helpers.timer import DrivenTimerService

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
