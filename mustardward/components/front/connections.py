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

MAX_LISTEN_BACKLOG: Final = 512
ACCEPT_SHARE: Final = 0.25
"""Share of the connections that may be accepted before the first of them is counted."""

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
    """

    max_connections: int
    max_busy_connections: int

    @property
    def listen_backlog(self) -> int:
        """Return the length of a listener's queue of new connections."""
        return min(MAX_LISTEN_BACKLOG, int(self.max_connections * ACCEPT_SHARE))


def connection_limits(limits: BootLimits) -> ConnectionLimits:
    """Return the limits of connections on an instance."""
    sockets = max(0, limits.max_fds - RESERVED_FDS)
    return ConnectionLimits(
        max(1, int(sockets * CLIENT_SHARE)),
        max(1, int(sockets * BUSY_CLIENT_SHARE)),
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
        self.mark_busy(connection)

    def mark_busy(self, connection: Connection) -> None:
        """Record that a complete request was received."""
        self._new.pop(connection, None)
        self._idle.pop(connection, None)

    def mark_idle(self, connection: Connection) -> None:
        """Record that no request is in progress any more."""
        if connection in self._open:
            self._idle[connection] = None

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
            )
        self._closed_count += 1
        connection.abort()


def build_connections(limits: BootLimits | None = None) -> ConnectionTable:
    """Return an empty table for the limits of an instance."""
    return ConnectionTable(connection_limits(limits or BootLimits()))
