"""Wait with a timeout on the timer service's clock."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TypeVar

import anyio

from .timer import TimerService

T = TypeVar("T")


async def async_wait_for(
    event: anyio.Event, timers: TimerService, seconds: float
) -> bool:
    """Wait for an event up to ``seconds``; return whether it is set."""
    if event.is_set():
        return True
    async with anyio.create_task_group() as group:

        async def expire() -> None:
            await timers.async_sleep(seconds)
            group.cancel_scope.cancel()

        group.start_soon(expire)
        await event.wait()
        group.cancel_scope.cancel()
    return event.is_set()


async def async_call_with_timeout(
    timers: TimerService, seconds: float, call: Callable[[], Awaitable[T]]
) -> T | None:
    """Return the result of a call, or None if it takes longer than ``seconds``."""
    results: list[T] = []
    async with anyio.create_task_group() as group:

        async def expire() -> None:
            await timers.async_sleep(seconds)
            group.cancel_scope.cancel()

        group.start_soon(expire)
        results.append(await call())
        group.cancel_scope.cancel()
    return results[0] if results else None
