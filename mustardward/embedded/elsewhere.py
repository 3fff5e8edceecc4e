"""Run a part of a platform in a thread of its own, with a loop of its own."""

from __future__ import annotations

import asyncio
import threading
from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager, asynccontextmanager
from typing import TypeVar

T = TypeVar("T")


@asynccontextmanager
async def async_elsewhere(
    context: AbstractAsyncContextManager[T],
) -> AsyncIterator[T]:
    """Enter a context in a thread, which goes on while this loop is held up."""
    entered: list[T] = []
    ready = threading.Event()
    over = threading.Event()

    async def async_run() -> None:
        async with context as value:
            entered.append(value)
            ready.set()
            await asyncio.to_thread(over.wait)

    thread = threading.Thread(target=asyncio.run, args=(async_run(),))
    thread.start()
    await asyncio.to_thread(ready.wait)
    try:
        yield entered[0]
    finally:
        over.set()
        await asyncio.to_thread(thread.join)
