"""Helpers for tests that need a running ledger appender."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio

from mustardward.components.ledger.appender import GroupAppender


@asynccontextmanager
async def async_appending(appender: GroupAppender) -> AsyncIterator[None]:
    """Run an appender in the background of the block."""
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(appender.async_run)
        yield
        tasks.cancel_scope.cancel()
