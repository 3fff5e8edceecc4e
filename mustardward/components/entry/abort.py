"""Reach what ASGI has no word for: whether a caller is gone, and a reset.

hypercorn hands the application a bound method ``send``; behind it stand the stream, the
protocol and the connection's writer. With another server nothing is found, and nothing
happens.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import h2.errors

Send = Callable[[dict[str, Any]], Awaitable[None]]


async def async_abort_stream(send: Send) -> None:
    """Reset a stream of HTTP/2, or the connection of HTTP/1.1.

    Left to itself, hypercorn forgets an HTTP/2 stream whose application returns early,
    and the caller waits for the rest until its own timeout. Over HTTP/1.1 it closes
    the connection, but first waits until the caller has taken what was written: one
    that reads nothing would hold up the end of the process.
    """
    stream = getattr(send, "__self__", None)
    protocol = _owner(stream, "send")
    connection = getattr(protocol, "connection", None)
    reset = getattr(connection, "reset_stream", None)
    if stream is not None and protocol is not None and reset is not None:
        reset(stream.stream_id, error_code=h2.errors.ErrorCodes.INTERNAL_ERROR)
        await protocol._flush()
        return
    writer = getattr(_owner(protocol, "send"), "writer", None)
    if writer is not None:
        writer.transport.abort()


def is_gone(send: Send) -> bool:
    """Tell whether the caller's connection or stream was closed.

    hypercorn drops what is sent to a caller that went away, without a sign. A large
    answer would be read from its worker to the end, for nobody.
    """
    return getattr(getattr(send, "__self__", None), "closed", False) is True


def _owner(target: Any, method: str) -> Any:
    return getattr(getattr(target, method, None), "__self__", None)


class _LateStreams(dict[int, Any]):
    """Know streams by number, and take data for those that are over in silence."""

    def __missing__(self, stream_id: int) -> _OverStream:
        return _OverStream()


class _OverStream:
    """Be a stream that is over."""

    async def handle(self, event: Any) -> None:
        """Drop what came."""


def tolerate_late_data(send: Send) -> None:
    """Let an HTTP/2 caller go on sending a body whose stream is answered.

    hypercorn looks the stream up for each piece of data, and fails as a whole where it
    is gone: every other request on the connection would be cut. It shows as requests
    that are cut whenever another upload of the same caller is refused.
    """
    protocol = _owner(getattr(send, "__self__", None), "send")
    streams = getattr(protocol, "streams", None)
    if protocol is not None and type(streams) is dict:
        protocol.streams = _LateStreams(streams)
