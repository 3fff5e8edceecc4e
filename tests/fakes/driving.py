"""Drive a clock beside loopback traffic of one loop."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio
from anyio.abc import TaskGroup

from mustardward.helpers.timer import (
    DrivenTimerService,
    PauseCallback,
    TimerCallback,
    Unsubscribe,
)

PAUSE_SECONDS = 0.001


class DrivenLoopTimers:
    """Keep a driven clock's time, each subscriber in a task of its own.

    A subscriber that itself waits for the clock would hold up the clock for ever if
    the one who advances it had to wait for the subscriber.
    """

    def __init__(self, clock: DrivenTimerService, tasks: TaskGroup) -> None:
        self._clock = clock
        self._tasks = tasks

    def monotonic(self) -> float:
        return self._clock.monotonic()

    def wall(self) -> float:
        return self._clock.wall()

    async def async_sleep(self, seconds: float) -> None:
        await self._clock.async_sleep(seconds)

    def subscribe(
        self, name: str, interval_seconds: float, callback: TimerCallback
    ) -> Unsubscribe:
        scope = anyio.CancelScope()

        async def repeat() -> None:
            with scope:
                while True:
                    await self._clock.async_sleep(interval_seconds)
                    await callback()

        self._tasks.start_soon(repeat)
        return scope.cancel

    def subscribe_pause(self, callback: PauseCallback) -> Unsubscribe:
        return self._clock.subscribe_pause(callback)


@asynccontextmanager
async def async_driven(
    timers: DrivenTimerService, step_seconds: float = 0.005
) -> AsyncIterator[None]:
    """Advance the clock a little, again and again, beside the traffic.

    All traffic is on the same loop, so a busy machine slows the clock down with it,
    and the outcome stays the same.
    """

    async def drive() -> None:
        while True:
            await timers.async_advance(step_seconds)
            await anyio.sleep(PAUSE_SECONDS)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(drive)
        yield
        tasks.cancel_scope.cancel()
