"""Open connections that send what no well-behaved caller sends."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass
from itertools import repeat
from typing import Final

import anyio
from h2.config import H2Configuration
from h2.connection import H2Connection

from mustardward.components.forwarding.const import PEER_RPC_PATH

MAX_FRAME_BYTES: Final = 16_384
SETTINGS_ACK: Final = b"\0\0\0\4\1\0\0\0\0"
CHUNK_BYTES: Final = 65_536
CLOSE_DELAY_SECONDS: Final = 0.2
SEND_TIMEOUT_SECONDS: Final = 5.0
"""A listener that reads no more keeps its sender waiting, which then stops."""


@dataclass(frozen=True, slots=True)
class Crowd:
    """Callers that all send the same.

    :param first: sent once after the connection is open.
    :param repeated: sent again and again.
    :param max_bytes: a caller stops sending after so many, and stays connected.
    """

    callers: int
    first: bytes = b""
    repeated: bytes = b""
    max_bytes: int = 0


def endless_peer_message(callers: int, max_bytes: int) -> Crowd:
    """Return callers of the gRPC service between entries, with a message of 4 GB."""
    client = H2Connection(H2Configuration(client_side=True))
    client.initiate_connection()
    headers = [
        (":method", "POST"),
        (":scheme", "http"),
        (":path", PEER_RPC_PATH),
        (":authority", "entry"),
        ("content-type", "application/grpc+msgpack"),
        ("te", "trailers"),
    ]
    client.send_headers(1, headers)
    prefix = _data_frame(b"\0" + b"\xff" * 4)
    first = client.data_to_send() + SETTINGS_ACK + prefix
    return Crowd(callers, first, _data_frame(b"a" * MAX_FRAME_BYTES), max_bytes)


def _data_frame(payload: bytes) -> bytes:
    """Return an HTTP/2 frame of the first stream."""
    return len(payload).to_bytes(3, "big") + b"\0\0" + b"\0\0\0\1" + payload


@asynccontextmanager
async def async_crowd(address: str, crowd: Crowd) -> AsyncIterator[None]:
    """Let a crowd connect and send; keep it connected until the block ends.

    The block begins when each caller has sent its bytes, was disconnected, or has
    sent for ``SEND_TIMEOUT_SECONDS``.
    """
    writers: list[asyncio.StreamWriter] = []
    try:
        async with anyio.create_task_group() as tasks:
            for _ in repeat(None, crowd.callers):
                tasks.start_soon(_async_call, address, crowd, writers)
        yield
    finally:
        for writer in writers:
            writer.transport.abort()
        await anyio.sleep(CLOSE_DELAY_SECONDS)


async def _async_call(
    address: str, crowd: Crowd, writers: list[asyncio.StreamWriter]
) -> None:
    host, _, port = address.rpartition(":")
    with suppress(OSError), anyio.move_on_after(SEND_TIMEOUT_SECONDS):
        _, writer = await asyncio.open_connection(host, int(port))
        writers.append(writer)
        writer.write(crowd.first)
        sent = len(crowd.first)
        while sent < crowd.max_bytes and not writer.is_closing():
            writer.write(crowd.repeated)
            sent += len(crowd.repeated)
            await writer.drain()
