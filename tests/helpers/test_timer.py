"""Drive the timer service."""

from __future__ import annotations

import pytest

from mustardward.helpers.timer import DrivenTimerService

pytestmark = pytest.mark.anyio


async def test_subscribers_are_called_at_their_intervals() -> None:
    timers = DrivenTimerService()
    called: list[float] = []

    async def note() -> None:
        called.append(timers.monotonic())

    unsubscribe = timers.subscribe("note", 2.0, note)
    start = timers.monotonic()
    await timers.async_advance(5.0)
    unsubscribe()
    await timers.async_advance(5.0)
    assert called == [start + 2.0, start + 4.0]


async def test_one_failing_subscriber_does_not_stop_the_others() -> None:
    """Keep every other timer going.

    Symptom: heartbeats stop although the process serves. Sequence: one duty raises.
    Cause: its exception ended the task that called all duties.
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


async def test_a_pause_is_announced_without_calling_what_fell_due() -> None:
    timers = DrivenTimerService()
    lost: list[float] = []
    timers.subscribe_pause(lost.append)
    timers.pause(60.0)
    assert lost == [60.0]
