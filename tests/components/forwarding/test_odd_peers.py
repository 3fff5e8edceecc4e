"""Test that peers whose records or answers are odd are left out."""

from __future__ import annotations

import math
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio
import pytest

from mustardward.components.forwarding.models import PeerRequest
from mustardward.components.forwarding.peer_selector import PeerSelector
from mustardward.components.forwarding.services import Forwarder
from mustardward.components.ledger.const import PREFIX_NODE
from mustardward.components.ledger.ledger import Ledger, encode
from mustardward.components.ledger.models import NodeRecord
from mustardward.helpers.timer import LoopTimerService
from mustardward.platform.store import KeyedRecord

pytestmark = pytest.mark.anyio

REQUEST = PeerRequest("GET", "", "", b"", 0.5)
ODD_ADDRESSES = [
    "",
    "127.0.0.1",
    "127.0.0.1:-1",
    "127.0.0.1:0",
    "127.0.0.1:65536",
    "127.0.0.1:" + "9" * 5000,
    "127.0.0.1:²",
    "[::1]:80",
    "a..b:80",
    "a\0b:80",
    "a\r\nb:80",
    "é" * 64 + ":80",
]


@asynccontextmanager
async def async_a_forwarder(ledger: Ledger) -> AsyncIterator[Forwarder]:
    """Run the timers of a forwarder during the block."""
    async with anyio.create_task_group() as tasks:
        timers = LoopTimerService(tasks)
        yield Forwarder(ledger, timers, PeerSelector("entry-1", "z"))
        tasks.cancel_scope.cancel()


def store_node(ledger: Ledger, record: NodeRecord) -> None:
    """Apply the record of an entry node."""
    key = f"{PREFIX_NODE}entry-2"
    ledger.apply(KeyedRecord(1, key, encode(record)))


@pytest.mark.parametrize("address", ODD_ADDRESSES)
async def test_a_peer_without_a_usable_address_ends_no_call(address: str) -> None:
    """Guard against an entry node that ends when it calls a peer of another writer."""
    ledger = Ledger()
    store_node(ledger, NodeRecord(address, "z\r\n", 1.0))
    async with async_a_forwarder(ledger) as forwarder:
        assert (await forwarder.async_forward(REQUEST)).reply is None
        assert await forwarder.async_send_to_node("entry-2", REQUEST) is None
        assert (await forwarder.async_send_watched("entry-2", REQUEST)).reply is None


@pytest.mark.parametrize("address", ["127.0.0.1:1", "255.255.255.255:1", "224.0.0.1:1"])
async def test_a_peer_that_cannot_be_reached_is_backed_off(address: str) -> None:
    ledger = Ledger()
    store_node(ledger, NodeRecord(address, "z\r\n", 1.0))
    async with async_a_forwarder(ledger) as forwarder:
        assert (await forwarder.async_forward(REQUEST)).reply is None
        assert forwarder.is_backed_off("entry-2")


@pytest.mark.parametrize("speed", [math.inf, math.nan, -1.0, 0.0, 1e308])
def test_a_peer_with_an_impossible_speed_replaces_no_record(speed: float) -> None:
    """Guard against entry nodes that all wait for a faster one that does not exist."""
    ledger = Ledger()
    known = NodeRecord("127.0.0.1:80", "z", 2.0)
    store_node(ledger, known)
    store_node(ledger, NodeRecord("127.0.0.1:80", "z", speed))
    assert ledger.nodes == {"entry-2": known}
