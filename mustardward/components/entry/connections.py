"""Pool the connections to a worker, each used by one attempt at a time."""

from __future__ import annotations

import ssl
from typing import Final

import httpx

from ...helpers.timer import TimerService
from .const import WORKER_KEEPALIVE_SECONDS

_NO_TLS: Final = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
"""Shared, as loading CA certificates per connection would block the event loop."""

_LIMITS: Final = httpx.Limits(
    max_connections=1,
    max_keepalive_connections=1,
    keepalive_expiry=WORKER_KEEPALIVE_SECONDS,
)


class WorkerConnection:
    """One connection to a worker, opened on first use."""

    __slots__ = ("idle_since", "transport")

    def __init__(self) -> None:
        self.transport = httpx.AsyncHTTPTransport(
            verify=_NO_TLS, limits=_LIMITS, trust_env=False
        )
        self.idle_since = 0.0


class WorkerConnectionPool:
    """A pool of connections to one worker.

    A pool shared by all workers would scan every connection, and make a system call for
    each idle one, on every request. Only a connection whose response was read to its
    end is reused: any other is closed, since a late response on it would reach the next
    caller.

    :param address: the worker's host and port.
    :param max_connections: the number of connections that the worker accepts.
    """

    def __init__(
        self, address: str, max_connections: int, timers: TimerService
    ) -> None:
        self._url = httpx.URL(f"http://{address}/")
        self._max_connections = max_connections
        self._timers = timers
        self._idle: list[WorkerConnection] = []
        self._in_use_count = 0

    @property
    def url(self) -> httpx.URL:
        """Return the worker's base URL, parsed once."""
        return self._url

    @property
    def idle_count(self) -> int:
        """Return the number of idle connections."""
        return len(self._idle)

    @property
    def is_unused(self) -> bool:
        """Return whether the pool has neither connections in use nor idle ones."""
        return not self._idle and not self._in_use_count

    def acquire(self) -> WorkerConnection | None:
        """Return the last used idle connection or a new one; ``None`` at the limit."""
        if self._idle:
            self._in_use_count += 1
            return self._idle.pop()
        if self._in_use_count >= self._max_connections:
            return None
        self._in_use_count += 1
        return WorkerConnection()

    def release(self, connection: WorkerConnection) -> None:
        """Return a connection whose last response was complete to the pool."""
        self._in_use_count -= 1
        connection.idle_since = self._timers.monotonic()
        self._idle.append(connection)

    async def async_discard(self, connection: WorkerConnection) -> None:
        """Close a connection after an error or a cancellation."""
        # Decremented before the first await: a cancellation in between would count the
        # connection as in use forever and leave the worker with one fewer.
        self._in_use_count -= 1
        await connection.transport.aclose()

    async def async_prune(self) -> None:
        """Close connections that exceeded the idle timeout."""
        oldest = self._timers.monotonic() - WORKER_KEEPALIVE_SECONDS
        expired = [
            connection for connection in self._idle if connection.idle_since < oldest
        ]
        self._idle = [
            connection for connection in self._idle if connection.idle_since >= oldest
        ]
        for connection in expired:
            await connection.transport.aclose()

    async def async_close(self) -> None:
        """Close all idle connections."""
        idle_connections, self._idle = self._idle, []
        for connection in idle_connections:
            await connection.transport.aclose()
