"""Reach what ASGI has no word for: whether a caller is gone, and a reset."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import h2.errors


async def async_abort_stream(send: Callable[[dict[str, Any]], Awaitable[None]]) -> None:
    """Reset an HTTP/2 stream; over HTTP/1.1 leave the break to the server.

    The application returns without ending its answer. Over HTTP/1.1 hypercorn then
    closes the connection in the middle of the body, which every client notices. Over
    HTTP/2 it forgets the stream and says nothing: the caller would wait for the rest
    until its own timeout. ASGI has no word for a reset, so this reaches through the
    bound method ``send`` to the connection; with another server nothing happens.
    """
    stream = getattr(send, "__self__", None)
    protocol = getattr(getattr(stream, "send", None), "__self__", None)
    reset = getattr(getattr(protocol, "connection", None), "reset_stream", None)
    flush = getattr(protocol, "_flush", None)
    if stream is None or reset is None or flush is None:
        return
    reset(stream.stream_id, error_code=h2.errors.ErrorCodes.INTERNAL_ERROR)
    await flush()


def is_gone(send: Callable[[dict[str, Any]], Awaitable[None]]) -> bool:
    """Tell whether the caller's connection or stream was closed.

    hypercorn drops what is sent to a caller that went away, without a sign. A large
    answer would be read from its worker to the end, for nobody.
    """
    return getattr(getattr(send, "__self__", None), "closed", False) is True
