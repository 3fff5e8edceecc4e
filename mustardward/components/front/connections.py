"""Keep the connections of clients within the limits of the process."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Final, Protocol

from ...helpers.instruments import CONNECTIONS_CLOSED
from ...helpers.logging import get_logger
from ...platform.boot import BootLimits

_LOGGER = get_logger(__name__)

RESERVED_FDS: Final = 200
"""Descriptors that sockets can't use."""

CLIENT_SHARE: Final = 0.5
"""Share of the sockets for clients; the others are for workers, peers and the store."""

BUSY_CLIENT_SHARE: Final = 0.75
"""The same while all clients wait for responses, so that none can be closed."""

SOCKET_BUFFER_BYTES: Final = 65_536
"""Received bytes that the kernel keeps for a connection; they count as memory of the
process. Enough for 5 Mbit/s over a round trip of 100 ms."""

SOCKET_MEMORY_SHARE: Final = 0.25
"""Share of the process's memory for socket buffers."""

MAX_LISTEN_BACKLOG: Final = 512
ACCEPT_SHARE: Final = 0.25
"""Share of the connections that may be accepted before the first of them is counted."""

UNFINISHED_MEMORY_SHARE: Final = 0.125
"""Share of the process's memory for requests that are not complete."""

LOG_INTERVAL_CLOSED: Final = 1000
"""One log line for so many closed connections."""


class Connection(Protocol):
    """Connection of a client."""

    def abort(self) -> None:
        """Close the connection at once."""


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """Limits of all connections of clients together.

    :param max_connections: above it, a connection without a request is closed for each
        new one.
    :param max_busy_connections: above it, new connections are closed.
    :param max_unfinished_bytes: above it, the connection with the oldest incomplete
        request is closed.
    """

    max_connections: int
    max_busy_connections: int
    max_unfinished_bytes: int

    @property
    def listen_backlog(self) -> int:
        """Return the length of a listener's queue of new connections."""
        return min(MAX_LISTEN_BACKLOG, int(self.max_connections * ACCEPT_SHARE))


def connection_limits(limits: BootLimits) -> ConnectionLimits:
    """Return the limits of connections on an instance."""
    sockets = max(0, limits.max_fds - RESERVED_FDS)
    memory_bytes = limits.memory_mb * 2**20
    buffers = memory_bytes * SOCKET_MEMORY_SHARE / SOCKET_BUFFER_BYTES
    return ConnectionLimits(
        max(1, int(min(sockets * CLIENT_SHARE, buffers))),
        max(1, int(sockets * BUSY_CLIENT_SHARE)),
        int(memory_bytes * UNFINISHED_MEMORY_SHARE),
    )


@dataclass(slots=True, eq=False)
class ConnectionTable:
    """Connections of clients, and which of them to close when there are too many.

    Connections without a complete request go first, the oldest of those that never had
    one before the longest idle ones.
    """

    limits: ConnectionLimits
    _open: set[Connection] = field(default_factory=set)
    _new: dict[Connection, None] = field(default_factory=dict)
    _idle: dict[Connection, None] = field(default_factory=dict)
    _unfinished: dict[Connection, int] = field(default_factory=dict)
    _unfinished_bytes: int = 0
    _closed_count: int = 0

    def add(self, connection: Connection) -> None:
        """Add an open connection, and close one if there are too many."""
        self._open.add(connection)
        if len(self._open) > self.limits.max_connections:
            self._close_for(connection)
        if connection in self._open:
            self._new[connection] = None

    def remove(self, connection: Connection) -> None:
        """Remove a closed connection."""
        self._open.discard(connection)
        self._unfinished_bytes -= self._unfinished.pop(connection, 0)
        self.mark_busy(connection)

    def mark_busy(self, connection: Connection) -> None:
        """Record that a complete request was received."""
        self._new.pop(connection, None)
        self._idle.pop(connection, None)

    def mark_idle(self, connection: Connection) -> None:
        """Record that no request is in progress any more."""
        if connection in self._open:
            self._idle[connection] = None

    def set_unfinished(self, connection: Connection, size_bytes: int) -> None:
        """Record the memory that a connection holds for incomplete requests.

        A connection alone may hold any amount, since larger bodies may be allowed.
        """
        if connection not in self._open:
            return
        self._unfinished_bytes += size_bytes - self._unfinished.get(connection, 0)
        if size_bytes:
            self._unfinished[connection] = size_bytes
        else:
            self._unfinished.pop(connection, None)
        most = self.limits.max_unfinished_bytes
        while self._unfinished_bytes > most and len(self._unfinished) > 1:
            self._close(next(iter(self._unfinished)), "too-many-bytes")

    def _close_for(self, added: Connection) -> None:
        waiting = self._new or self._idle
        if waiting:
            self._close(next(iter(waiting)), "too-many")
        elif len(self._open) > self.limits.max_busy_connections:
            self._close(added, "too-many-busy")

    def _close(self, connection: Connection, reason: str) -> None:
        self.remove(connection)
        CONNECTIONS_CLOSED.labels(reason).inc()
        if self._closed_count % LOG_INTERVAL_CLOSED == 0:
            _LOGGER.warning(
                "connection_closed",
                reason=reason,
                closed=self._closed_count + 1,
                open=len(self._open),
                idle=len(self._idle),
                unfinished_bytes=self._unfinished_bytes,
            )
        self._closed_count += 1
        connection.abort()


def build_connections(limits: BootLimits | None = None) -> ConnectionTable:
    """Return an empty table for the limits of an instance."""
    return ConnectionTable(connection_limits(limits or BootLimits()))
