"""Wait for an event no longer than the timer service says."""

from __future__ import annotations

import anyio

from .timer import TimerService


async def async_wait_for(
    event: anyio.Event, timers: TimerService, seconds: float
) -> bool:
    """Wait for an event up to ``seconds``; tell whether it happened."""
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
