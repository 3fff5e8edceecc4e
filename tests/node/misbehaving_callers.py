"""Open connections that send what no well-behaved caller sends."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass
from itertools import repeat
from typing import Final

import anyio

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
