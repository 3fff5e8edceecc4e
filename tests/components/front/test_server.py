"""Test that an entry that leaves cuts no caller off, over real connections."""

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

MOST_SECONDS = 20.0
GRACE_SECONDS = 2.0


class SlowAnswering:
    """Answer each caller after a time, as an entry that is short of processor does."""

    def __init__(self, seconds: float) -> None:
        self.seconds = seconds
        self.deadlines: list[float] = []
        self.front: Any = self
        self.configuration: Any = self
        self.config = None

    async def async_answer(self, request: Request) -> Reply:
        """Return an empty answer, later."""
        self.deadlines.append(request.deadline)
        await anyio.sleep(self.seconds)
        return Reply(200, b"{}")


@asynccontextmanager
async def async_serve(failover: Any) -> AsyncIterator[tuple[FrontServer, str]]:
    """Yield a server, and the address that it listens on."""
    async with anyio.create_task_group() as tasks:
        server = FrontServer(failover, LoopTimerService(tasks), lambda: True)
        await server.async_listen("127.0.0.1:0", "127.0.0.1:0")
        yield server, f"http://{server.addresses[0]}"
        await server.async_close(0.0)
        tasks.cancel_scope.cancel()


async def test_a_request_that_comes_while_an_entry_closes_is_answered() -> None:
    """Closing waits for what arrives on connections that are still open.

    Symptom: a caller's connection ends without an answer around planned work.
    Sequence: an entry that was told to stop finds nothing in work and begins to
    close; a request reaches it at that moment, and takes longer than the tenth of a
    second that was left for it. Cause: nothing in work was taken for nothing to come.
    """
    with anyio.fail_after(MOST_SECONDS):
        async with async_serve(SlowAnswering(0.3)) as (server, address):
            async with httpx.AsyncClient() as client:
                await client.get(address)
                server.drain_within(GRACE_SECONDS)
                statuses: list[int] = []

                async def async_ask() -> None:
                    statuses.append((await client.get(address)).status_code)

                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(server.async_close, GRACE_SECONDS)
                    await anyio.sleep(0.05)
                    tasks.start_soon(async_ask)
                assert statuses == [200]


async def test_who_asks_a_leaving_entry_is_answered_before_it_ends() -> None:
    """A caller's patience may reach beyond the end of the process."""
    with anyio.fail_after(MOST_SECONDS):
        failover = SlowAnswering(0.0)
        async with async_serve(failover) as (server, address):
            async with httpx.AsyncClient() as client:
                before = server.timers.monotonic()
                server.drain_within(GRACE_SECONDS)
                response = await client.get(address)
                assert response.headers["connection"] == "close"
                assert failover.deadlines[0] <= before + GRACE_SECONDS + 0.1
