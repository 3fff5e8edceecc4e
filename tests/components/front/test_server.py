"""Test that a draining entry node answers every request, over real connections."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import anyio
import httpx
import pytest

from mustardward.components.front.models import Reply, Request
from mustardward.components.front.server import FrontServer
from mustardward.helpers.timer import LoopTimerService

pytestmark = pytest.mark.anyio

TEST_TIMEOUT_SECONDS = 20.0
GRACE_SECONDS = 2.0


class SlowFailover:
    """Answer each caller after a delay, like a node that is short of processor time."""

    def __init__(self, seconds: float) -> None:
        self.seconds = seconds
        self.deadlines: list[float] = []
        self.front: Any = self
        self.configuration: Any = self
        self.config = None

    async def async_answer(self, request: Request) -> Reply:
        """Return an empty reply after the delay."""
        self.deadlines.append(request.deadline)
        await anyio.sleep(self.seconds)
        return Reply(200, b"{}")


@asynccontextmanager
async def async_serve(failover: Any) -> AsyncIterator[tuple[FrontServer, str]]:
    """Yield a server and its base URL."""
    async with anyio.create_task_group() as tasks:
        server = FrontServer(failover, LoopTimerService(tasks), lambda: True)
        await server.async_listen("127.0.0.1:0", "127.0.0.1:0")
        yield server, f"http://{server.addresses[0]}"
        await server.async_close(0.0)
        tasks.cancel_scope.cancel()


async def test_request_that_arrives_while_closing_is_answered() -> None:
    """Guard against connections closed without an answer during planned maintenance.

    A stopping entry node has no request in flight and starts to close. A request
    arrives at that moment, and takes longer than the tenth of a second left for it.
    """
    with anyio.fail_after(TEST_TIMEOUT_SECONDS):
        async with async_serve(SlowFailover(0.3)) as (server, url):
            async with httpx.AsyncClient() as client:
                await client.get(url)
                server.drain_within(GRACE_SECONDS)
                statuses: list[int] = []

                async def async_request() -> None:
                    statuses.append((await client.get(url)).status_code)

                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(server.async_close, GRACE_SECONDS)
                    await anyio.sleep(0.05)
                    tasks.start_soon(async_request)
                assert statuses == [200]


async def test_request_to_a_draining_node_gets_the_drain_deadline() -> None:
    """A caller's own deadline may be later than the end of the process."""
    with anyio.fail_after(TEST_TIMEOUT_SECONDS):
        failover = SlowFailover(0.0)
        async with async_serve(failover) as (server, url):
            async with httpx.AsyncClient() as client:
                before = server.timers.monotonic()
                server.drain_within(GRACE_SECONDS)
                response = await client.get(url)
                assert response.headers["connection"] == "close"
                assert failover.deadlines[0] <= before + GRACE_SECONDS + 0.1
