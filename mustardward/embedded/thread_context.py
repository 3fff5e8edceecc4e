"""Run an asynchronous context in a separate thread with its own event loop."""

from __future__ import annotations

import asyncio
import threading
from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager, asynccontextmanager
from typing import TypeVar

ContextT = TypeVar("ContextT")


@asynccontextmanager
async def async_run_in_thread(
    context: AbstractAsyncContextManager[ContextT],
) -> AsyncIterator[ContextT]:
    """Enter a context in another thread, which runs while this loop is blocked."""
    entered: list[ContextT] = []
    ready = threading.Event()
    stopped = threading.Event()

    async def async_run() -> None:
        async with context as value:
            entered.append(value)
            ready.set()
            await asyncio.to_thread(stopped.wait)

    thread = threading.Thread(target=asyncio.run, args=(async_run(),))
    thread.start()
    await asyncio.to_thread(ready.wait)
    try:
        yield entered[0]
    finally:
        stopped.set()
        await asyncio.to_thread(thread.join)
