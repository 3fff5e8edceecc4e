"""Count the bytes between an entry and each platform service, by a local relay."""

from __future__ import annotations

from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from urllib.parse import urlsplit

import anyio
from anyio.abc import ByteStream, SocketAttribute, SocketStream

_METHODS = (b"GET ", b"POST ")


@dataclass(slots=True)
class CountedWay:
    """Hold the address of the relay and what went through it, both ways together.

    ``counts`` has the bytes by the first part of the path: ``log``, ``power``…
    """

    url: str
    counts: Counter[str] = field(default_factory=Counter)


@dataclass(slots=True)
class _Connection:
    """Remember which service the last request on a connection was for."""

    service: str = ""

    def note(self, data: bytes) -> None:
        """Look for the head of a request."""
        if data.startswith(_METHODS):
            path = data.split(b" ", 2)[1].decode(errors="replace")
            self.service = path.strip("/").split("/")[0].split("?")[0]


@asynccontextmanager
async def async_counted_way(url: str) -> AsyncIterator[CountedWay]:
    """Relay connections to ``url`` inside the block, and count their bytes."""
    target = urlsplit(url)
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(SocketAttribute.local_port)
    way = CountedWay(f"http://127.0.0.1:{port}")

    async def async_pass(
        source: ByteStream, sink: ByteStream, connection: _Connection
    ) -> None:
        try:
            async for data in source:
                connection.note(data)
                way.counts[connection.service] += len(data)
                await sink.send(data)
            await sink.send_eof()
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            return

    async def async_serve(client: SocketStream) -> None:
        server = await anyio.connect_tcp(str(target.hostname), target.port or 80)
        async with client, server, anyio.create_task_group() as both:
            connection = _Connection()
            both.start_soon(async_pass, client, server, connection)
            both.start_soon(async_pass, server, client, connection)

    async with listener, anyio.create_task_group() as group:
        group.start_soon(listener.serve, async_serve)
        yield way
        group.cancel_scope.cancel()
