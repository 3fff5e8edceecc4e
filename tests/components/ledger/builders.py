"""Run the ledger's parts for the tests of what is built on them."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio

from mustardward.components.ledger.appender import GroupAppender


@asynccontextmanager
async def async_appending(appender: GroupAppender) -> AsyncIterator[None]:
    """Let an appender append for as long as the block lasts."""
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(appender.async_run)
        yield
        tasks.cancel_scope.cancel()
