"""Advance a driven clock in step with loopback traffic on the same event loop."""

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
"""Event loop iterations after each step of the clock. They suffice to process pending
loopback traffic of this loop, on a busy machine as on an idle one."""

P = ParamSpec("P")
T = TypeVar("T")


@dataclass(slots=True)
class CallsInFlight:
    """Count the calls in flight."""

    count: int = 0
    _answered: anyio.Event = field(default_factory=anyio.Event)

    def wrap(self, call: Callable[P, Awaitable[T]]) -> Callable[P, Awaitable[T]]:
        """Return a wrapper that counts the call while it is in flight."""

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
        """Wait until no call is in flight."""
        while self.count:
            self._answered = anyio.Event()
            await self._answered.wait()


async def async_settle() -> None:
    """Run the event loop until its pending loopback traffic is processed."""
    for _ in range(SETTLE_PASSES):
        await anyio.lowlevel.checkpoint()


async def async_drive_until(
    timers: DrivenTimerService,
    condition: Callable[[], bool],
    calls: CallsInFlight,
    step_seconds: float = 0.01,
    steps: int = 6000,
) -> None:
    """Advance the clock until a condition holds, but never while a call is in flight.

    The clock moves from one due timer to the next, and the effects of each are
    processed before the next step. With real time, calls over sockets could time out on
    a busy machine.

    :raises AssertionError: if the condition does not hold after all steps.
    """
    for _ in range(steps):
        if condition():
            return
        remaining = timers.next_due() - timers.monotonic()
        await timers.async_advance(max(0.0, min(step_seconds, remaining)))
        await async_settle()
        await calls.async_wait_answered()
    raise AssertionError("condition was never met")


class DrivenLoopTimers:
    """Provide the timers of a driven clock, with each subscriber in its own task.

    A subscriber that itself waits for the clock would deadlock if the caller that
    advances the clock had to wait for the subscriber.
    """

    def __init__(self, clock: DrivenTimerService, tasks: TaskGroup) -> None:
        self._clock = clock
        self._tasks = tasks

    def monotonic(self) -> float:
        return self._clock.monotonic()

    def boottime(self) -> float:
        return self._clock.boottime()

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

    def paused_seconds_since(self, since: float) -> float:
        return self._clock.paused_seconds_since(since)


@asynccontextmanager
async def async_driven(
    timers: DrivenTimerService, step_seconds: float = 0.005
) -> AsyncIterator[None]:
    """Advance the clock in small steps in the background, alternating with traffic.

    All traffic is on the same loop, so a busy machine slows down the clock as well, and
    the outcome stays the same.
    """

    async def drive() -> None:
        while True:
            await timers.async_advance(step_seconds)
            await async_settle()

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(drive)
        yield
        tasks.cancel_scope.cancel()
