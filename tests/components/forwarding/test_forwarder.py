"""Test queries to other entry nodes over real connections."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio
import pytest

from mustardward.components.forwarding.models import PeerReply, PeerRequest
from mustardward.components.forwarding.peer_selector import PeerSelector
from mustardward.components.forwarding.services import Forwarder, async_serve_peers
from mustardward.components.ledger.ledger import Ledger
from mustardward.components.ledger.models import NodeRecord
from mustardward.helpers.timer import LoopTimerService
from tests.fakes.state_processes import free_port

pytestmark = pytest.mark.anyio

QUERY_SECONDS = 0.1
HANG_SECONDS = 30.0


async def _async_hang(request: PeerRequest) -> PeerReply:
    await anyio.sleep(HANG_SECONDS)
    return PeerReply(200, b"")


@asynccontextmanager
async def a_forwarder_to_a_hanging_peer() -> AsyncIterator[Forwarder]:
    address = f"127.0.0.1:{free_port()}"
    ledger = Ledger()
    ledger.nodes["b"] = NodeRecord(address, "z1", 1.0)
    async with anyio.create_task_group() as tasks:
        timers = LoopTimerService(tasks)
        forwarder = Forwarder(ledger, timers, PeerSelector("me", "z1"))
        tasks.start_soon(async_serve_peers, address, _async_hang, timers)
        await _async_wait_listening(address)
        yield forwarder
        tasks.cancel_scope.cancel()


async def _async_wait_listening(address: str) -> None:
    host, _, port = address.rpartition(":")
    with anyio.fail_after(2.0):
        while True:
            try:
                stream = await anyio.connect_tcp(host, int(port))
            except OSError:
                await anyio.sleep(0.01)
                continue
            await stream.aclose()
            return


async def test_unanswered_query_does_not_end_the_process_of_a_claim() -> None:
    """Guard against an entry that ends by itself while it claims the shard.

    A claim reads the log through a peer in the host task of a task group, whose scope
    is cancelled afterwards. The peer does not answer in time.
    """
    query = PeerRequest("OWNER", "b", "", b"", QUERY_SECONDS)
    replies: list[PeerReply | None] = []

    async def async_claim(forwarder: Forwarder) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(anyio.sleep_forever)
            replies.append(await forwarder.async_send_to_node("b", query))
            tasks.cancel_scope.cancel()

    async with a_forwarder_to_a_hanging_peer() as forwarder:
        claim = asyncio.create_task(async_claim(forwarder))
        await asyncio.wait([claim])
        assert not claim.cancelled()
        assert claim.result() is None
        assert replies == [None]
