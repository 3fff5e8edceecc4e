"""Drive a clock beside loopback traffic of one loop."""

from __future__ import annotations

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from functools import wraps
from typing import ParamSpec, TypeVar

import anyio
import anyio.lowlevel
from anyio.abc import TaskGroup

from mustardward.helpers.timer import (
    DrivenTimerService,
    PauseCallback,
    TimerCallback,
    Unsubscribe,
)

SETTLE_PASSES = 40
"""Passes of the loop after each step of the clock: what loopback traffic of this loop
leads to comes about in them, on a busy machine as on an idle one."""

P = ParamSpec("P")
T = TypeVar("T")


@dataclass(slots=True)
class CallsUnderWay:
    """Count calls that were sent and are not answered."""

    count: int = 0
    _answered: anyio.Event = field(default_factory=anyio.Event)

    def wrap(self, call: Callable[P, Awaitable[T]]) -> Callable[P, Awaitable[T]]:
        """Return the call, counted while it is under way."""

        @wraps(call)
        async def counted(*args: P.args, **kwargs: P.kwargs) -> T:
            self.count += 1
            try:
                return await call(*args, **kwargs)
            finally:
                self.count -= 1
                self._answered.set()

        return counted

    async def async_wait_answered(self) -> None:
        """Wait until none is under way."""
        while self.count:
            self._answered = anyio.Event()
            await self._answered.wait()


async def async_settle() -> None:
    """Let loopback traffic of this loop go on until what it leads to has come about."""
    for _ in range(SETTLE_PASSES):
        await anyio.lowlevel.checkpoint()


async def async_drive_until(
    timers: DrivenTimerService,
    condition: Callable[[], bool],
    calls: CallsUnderWay,
    step_seconds: float = 0.01,
    steps: int = 6000,
) -> None:
    """Move the clock on until a condition holds, and never past a call under way.

    The clock goes from one due time to the next, and what that leads to is over before
    the next one. Driven by real time, it would pass a call's timeout while the call is
    on its way over a socket of a busy machine.
    """
    for _ in range(steps):
        if condition():
            return
        left = timers.next_due() - timers.monotonic()
        await timers.async_advance(max(0.0, min(step_seconds, left)))
        await async_settle()
        await calls.async_wait_answered()
    raise AssertionError("the condition never held")


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
            await async_settle()

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(drive)
        yield
        tasks.cancel_scope.cancel()
