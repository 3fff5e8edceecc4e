"""Serve an ASGI application with hypercorn on the running loop.

Injected faults act below HTTP (they reset connections and write stray bytes), so the
scope of each request holds its connection.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any, Final

import anyio
from hypercorn.asyncio.worker_context import WorkerContext
from hypercorn.config import Config

from ..helpers.connection import HttpConnection

CONNECTION_STATE: Final = "connection"
SHUTDOWN_GRACE_SECONDS: Final = 0.05
"""Time for responses in progress; longer ones, such as long polls, are cut."""


class RawConnection:
    """Connection on which a fault can act below HTTP.

    :param writer: stream of the connection.
    """

    def __init__(self, writer: asyncio.StreamWriter) -> None:
        self._writer = writer

    def write(self, data: bytes) -> None:
        """Write bytes outside any response."""
        self._writer.write(data)

    def abort(self) -> None:
        """Reset the connection and discard unsent data."""
        self._writer.transport.abort()


class Connections:
    """Count the open connections of one server."""

    def __init__(self) -> None:
        self._open: set[RawConnection] = set()

    def __len__(self) -> int:
        """Return how many connections are open."""
        return len(self._open)

    def add(self, connection: RawConnection) -> None:
        """Count a connection."""
        self._open.add(connection)

    def discard(self, connection: RawConnection) -> None:
        """Count a connection no more."""
        self._open.discard(connection)

    def abort_all(self) -> None:
        """Reset every connection, as a reboot does."""
        for connection in list(self._open):
            connection.abort()


def get_connection(scope: Any) -> RawConnection | None:
    """Return the connection that a request came by, if this module serves it."""
    connection: RawConnection | None = scope.get("state", {}).get(CONNECTION_STATE)
    return connection


@asynccontextmanager
async def async_serve(
    app: Any,
    host: str = "127.0.0.1",
    port: int = 0,
    connections: Connections | None = None,
) -> AsyncIterator[str]:
    """Serve ``app`` until the block ends and yield its ``host:port``.

    :param port: 0 selects a free port.
    """
    config = _config()
    context = WorkerContext(None)
    open_connections = connections if connections is not None else Connections()
    tasks: set[asyncio.Task[Any]] = set()

    async def handle(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        if task is not None:
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        connection = RawConnection(writer)
        open_connections.add(connection)
        state = {CONNECTION_STATE: connection}
        try:
            await HttpConnection(app, config, context, reader, writer, state)
        except asyncio.CancelledError:
            # asyncio's stream callback asks each finished handler for its exception
            # and prints a traceback for a cancelled one, so it must end normally.
            connection.abort()
        finally:
            open_connections.discard(connection)

    server = await asyncio.start_server(handle, host, port, backlog=config.backlog)
    bound = server.sockets[0].getsockname()
    try:
        yield f"{bound[0]}:{bound[1]}"
    finally:
        with anyio.CancelScope(shield=True):
            await context.terminated.set()
            server.close()
            await _async_finish(tasks)


async def _async_finish(tasks: set[asyncio.Task[Any]]) -> None:
    if not tasks:
        return
    _, unfinished = await asyncio.wait(set(tasks), timeout=SHUTDOWN_GRACE_SECONDS)
    for task in unfinished:
        task.cancel()
    await asyncio.gather(*unfinished, return_exceptions=True)


def _config() -> Config:
    config = Config()
    config.accesslog = None
    config.errorlog = None
    config.include_server_header = False
    config.include_date_header = False
    config.keep_alive_timeout = 60.0
    return config
