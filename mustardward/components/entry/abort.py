"""Reset streams and detect disconnects, which ASGI has no messages for.

hypercorn passes the application a bound method ``send``, through which the stream, the
protocol and the connection's writer are reachable. With another server nothing is
found, and these functions do nothing.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import h2.errors

Send = Callable[[dict[str, Any]], Awaitable[None]]


async def async_abort_stream(send: Send) -> None:
    """Reset a stream of HTTP/2, or the connection of HTTP/1.1.

    By default, hypercorn drops an HTTP/2 stream whose application returns early without
    a reset, and the caller waits for the rest until its own timeout. Over HTTP/1.1 it
    closes the connection, but first waits until the caller has read what was written: a
    caller that reads nothing would block the shutdown of the process.
    """
    stream = getattr(send, "__self__", None)
    protocol = _bound_owner(stream, "send")
    connection = getattr(protocol, "connection", None)
    reset = getattr(connection, "reset_stream", None)
    if stream is not None and protocol is not None and reset is not None:
        reset(stream.stream_id, error_code=h2.errors.ErrorCodes.INTERNAL_ERROR)
        await protocol._flush()
        return
    writer = getattr(_bound_owner(protocol, "send"), "writer", None)
    if writer is not None:
        writer.transport.abort()


def is_disconnected(send: Send) -> bool:
    """Return whether the caller's connection or stream is closed.

    hypercorn silently drops data sent to a disconnected caller. Without this check a
    large response would be read from its worker to the end for no one.
    """
    return getattr(getattr(send, "__self__", None), "closed", False) is True


def _bound_owner(target: Any, method: str) -> Any:
    return getattr(getattr(target, method, None), "__self__", None)


class _TolerantStreams(dict[int, Any]):
    """Map stream ids to streams, with a no-op stream for unknown ids."""

    def __missing__(self, stream_id: int) -> _ClosedStream:
        return _ClosedStream()


class _ClosedStream:
    """A no-op stand-in for a closed stream."""

    async def handle(self, event: Any) -> None:
        """Ignore the event."""


def tolerate_late_data(send: Send) -> None:
    """Ignore data that an HTTP/2 caller sends on a stream with a complete response.

    hypercorn looks up the stream of each data frame and closes the whole connection if
    it is unknown, which would abort every other request of that caller whenever one of
    its uploads is refused early.
    """
    protocol = _bound_owner(getattr(send, "__self__", None), "send")
    streams = getattr(protocol, "streams", None)
    if protocol is not None and type(streams) is dict:
        protocol.streams = _TolerantStreams(streams)
