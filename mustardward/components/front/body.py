"""Read the bodies of callers' requests up to a limit."""

from __future__ import annotations

from typing import Final

import anyio
from aiohttp import web

from ...exceptions import MustardwardError

BODY_TIMEOUT_SECONDS: Final = 30.0
MIN_BODY_BYTES_PER_SECOND: Final = 62_500
"""Rate at which a body of any permitted size has enough time."""


class BodyTooLargeError(MustardwardError):
    """Raised when a body exceeds the limit; the rest of it is not read."""

    code = "body-too-large"


class BodyTimeoutError(MustardwardError):
    """Raised when a body does not end in time."""

    code = "body-timeout"


def body_timeout_seconds(max_bytes: int) -> float:
    """Return the time limit of bodies of up to ``max_bytes``."""
    return BODY_TIMEOUT_SECONDS + max_bytes / MIN_BODY_BYTES_PER_SECOND


async def async_read_body(
    request: web.BaseRequest, max_bytes: int, timeout_seconds: float
) -> bytes:
    """Return the body of a request.

    :raises BodyTooLargeError: as soon as it is known to exceed ``max_bytes``.
    :raises BodyTimeoutError: if it has no end after ``timeout_seconds``.
    :raises ConnectionError: if the connection is closed before its end.
    """
    if not request.can_read_body:
        return b""
    if (request.content_length or 0) > max_bytes:
        raise BodyTooLargeError(f"most={max_bytes}")
    if request.content.is_eof():
        return await _async_read(request, max_bytes)
    with anyio.move_on_after(timeout_seconds):
        return await _async_read(request, max_bytes)
    raise BodyTimeoutError(f"seconds={timeout_seconds:.1f}")


async def _async_read(request: web.BaseRequest, max_bytes: int) -> bytes:
    body = bytearray()
    while chunk := await request.content.readany():
        body += chunk
        if len(body) > max_bytes:
            raise BodyTooLargeError(f"most={max_bytes}")
        if request.transport is None and not request.content.is_eof():
            raise ConnectionResetError("the client disconnected")
    return bytes(body)
