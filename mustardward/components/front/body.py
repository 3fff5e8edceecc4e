"""Read the bodies of callers' requests up to a limit."""

from __future__ import annotations

from aiohttp import web

from ...exceptions import MustardwardError


class BodyTooLargeError(MustardwardError):
    """Raised when a body exceeds the limit; the rest of it is not read."""

    code = "body-too-large"


async def async_read_body(request: web.BaseRequest, max_bytes: int) -> bytes:
    """Return the body of a request.

    :raises BodyTooLargeError: as soon as it is known to exceed ``max_bytes``.
    :raises ConnectionError: if the connection is closed before its end.
    """
    if not request.can_read_body:
        return b""
    if (request.content_length or 0) > max_bytes:
        raise BodyTooLargeError(f"most={max_bytes}")
    body = bytearray()
    while chunk := await request.content.readany():
        body += chunk
        if len(body) > max_bytes:
            raise BodyTooLargeError(f"most={max_bytes}")
        if request.transport is None and not request.content.is_eof():
            raise ConnectionResetError("the client disconnected")
    return bytes(body)
