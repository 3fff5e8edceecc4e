"""Test the connection pool of a worker."""

from __future__ import annotations

import anyio
import pytest

from mustardward.components.entry.connections import (
    WorkerConnection,
    WorkerConnectionPool,
)
from mustardward.components.entry.const import WORKER_KEEPALIVE_SECONDS
from mustardward.helpers.timer import DrivenTimerService

pytestmark = pytest.mark.anyio


def acquire_all(pool: WorkerConnectionPool) -> list[WorkerConnection]:
    acquired = []
    while (connection := pool.acquire()) is not None:
        acquired.append(connection)
    return acquired


async def test_pool_size_is_limited_by_the_worker() -> None:
    pool = WorkerConnectionPool("127.0.0.1:1", 3, DrivenTimerService())
    acquired = acquire_all(pool)
    pool.release(acquired[0])
    assert len(acquired) == 3
    assert pool.acquire() is acquired[0]
    assert pool.acquire() is None


async def test_discarded_connection_is_released_if_its_close_is_cancelled() -> None:
    """Guard against leaked connections that block an idle worker.

    A request can end by its deadline while its connection is being closed, which
    cancels the close. The connection must be released before that await.
    """
    pool = WorkerConnectionPool("127.0.0.1:1", 1, DrivenTimerService())
    (connection,) = acquire_all(pool)
    with anyio.CancelScope() as scope:
        scope.cancel()
        await pool.async_discard(connection)
    assert pool.acquire() is not None


async def test_idle_connections_are_pruned() -> None:
    timers = DrivenTimerService()
    pool = WorkerConnectionPool("127.0.0.1:1", 2, timers)
    old, new = acquire_all(pool)
    pool.release(old)
    await timers.async_advance(WORKER_KEEPALIVE_SECONDS)
    pool.release(new)
    await timers.async_advance(1.0)
    await pool.async_prune()
    assert pool.idle_count == 1
    assert pool.acquire() is new
