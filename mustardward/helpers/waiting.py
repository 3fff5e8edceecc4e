"""Wait for at most some seconds of the timer service."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TypeVar

import anyio

from .timer import TimerService

T = TypeVar("T")


async def async_wait_for(
    timers: TimerService, event: anyio.Event, seconds: float
) -> bool:
    """Wait until the event is set; tell whether it was in time."""
    if seconds <= 0 or event.is_set():
        return event.is_set()

    async def async_give_up() -> None:
        await timers.async_sleep(seconds)
        group.cancel_scope.cancel()

    async with anyio.create_task_group() as group:
        group.start_soon(async_give_up)
        await event.wait()
        group.cancel_scope.cancel()
    return event.is_set()


async def async_within(
    timers: TimerService, seconds: float, call: Callable[[], Awaitable[T]]
) -> T | None:
    """Return what a call gives, or nothing if it takes longer than ``seconds``."""
    answers: list[T] = []

    async def async_give_up() -> None:
        await timers.async_sleep(seconds)
        group.cancel_scope.cancel()

    async with anyio.create_task_group() as group:
        group.start_soon(async_give_up)
        answers.append(await call())
        group.cancel_scope.cancel()
    return answers[0] if answers else None
