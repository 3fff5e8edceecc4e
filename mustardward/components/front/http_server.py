"""Serve HTTP to clients that may send anything.

aiohttp limits each line of a head and the number of lines, but not the head as a whole,
and reads empty lines before a request without a limit.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable
from contextlib import suppress
from http import HTTPStatus
from typing import Any, Final

from aiohttp import web
from aiohttp.http_exceptions import HttpProcessingError, LineTooLong
from aiohttp.streams import EMPTY_PAYLOAD, StreamReader

from ...platform import callers
from ...platform.models import CallerLimits
from .connections import SOCKET_BUFFER_BYTES, ConnectionTable
from .const import JSON_CONTENT_TYPE

MAX_UNFINISHED_HEADS: Final = 2
"""Bytes of an unfinished head, in heads of the maximum size: the request line and empty
lines before it are not part of ``max-header-bytes``."""

READ_BYTES: Final = 32_768
"""Bytes read at once. All readable connections are read in one turn of the loop, before
any that is closed for it frees its memory."""

PAUSED_BYTES: Final = 4 * SOCKET_BUFFER_BYTES
"""Memory of a connection that is not read because its requests or their bodies wait:
its socket buffer and the part of a body that was read ahead."""

FIELD_OVERHEAD_BYTES: Final = 4
"""Colon, space and line end of a header field."""

HEAD_TOO_LARGE_BODY: Final = callers.encode_error("head-too-large", "max-header-bytes")
MALFORMED_BODY: Final = callers.encode_error("malformed-request", "not valid HTTP")
HEAD_TOO_LARGE_RESPONSE: Final = (
    b"HTTP/1.1 431 Request Header Fields Too Large\r\n"
    b"Content-Type: %b\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%b"
) % (JSON_CONTENT_TYPE.encode(), len(HEAD_TOO_LARGE_BODY), HEAD_TOO_LARGE_BODY)

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


class LimitedServer(web.Server):
    """HTTP server that limits its connections and the heads of requests.

    :param connections: connections of all servers of this process.
    :param limits: returns the limits in force.
    """

    def __init__(
        self,
        handler: Handler,
        connections: ConnectionTable,
        limits: Callable[[], CallerLimits],
        **options: Any,
    ) -> None:
        async def async_handle(request: web.BaseRequest) -> web.StreamResponse:
            if _head_bytes(request) > limits().max_header_bytes:
                return _head_too_large_response()
            connection = request.protocol
            assert isinstance(connection, LimitedConnection)
            connection.update_unfinished()
            if request.content.is_eof():
                connections.mark_busy(connection)
            try:
                response = await handler(request)
            finally:
                connections.mark_idle(connection)
            if not request.content.is_eof():
                response.force_close()
                connection.discard_rest()
            return response

        super().__init__(async_handle, access_log=None, **options)
        self.table = connections
        self.limits = limits

    def __call__(self) -> LimitedConnection:
        """Return the protocol of a new connection."""
        most = self.limits().max_header_bytes
        return LimitedConnection(
            self,
            loop=self._loop,
            max_line_size=most,
            max_field_size=most,
            **self._kwargs,
        )


class LimitedConnection(web.RequestHandler):
    """Connection that closes when its client sends too much without a request."""

    __slots__ = ("_held_bytes", "_payload", "_refused", "_server", "_unfinished_bytes")

    def __init__(self, server: LimitedServer, **options: Any) -> None:
        super().__init__(server, **options)
        self._server = server
        self._payload: StreamReader = EMPTY_PAYLOAD
        self._refused = False
        self._unfinished_bytes = 0
        self._held_bytes = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count the connection; it may be closed at once."""
        super().connection_made(transport)
        transport.max_size = READ_BYTES  # type: ignore[attr-defined]
        self._server.table.add(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Stop counting the connection."""
        self._server.table.remove(self)
        # The connection is part of reference cycles and outlives its end.
        self._messages.clear()
        super().connection_lost(exc)

    def abort(self) -> None:
        """Close the connection at once, even if data is still to be sent."""
        transport = self.transport
        self.force_close()
        if transport is not None:
            transport.abort()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, and refuse a head that exceeds the limit."""
        if self._refused:
            return
        parsed_count = self._request_count
        is_head = self._payload.is_eof()
        super().data_received(data)
        if self._request_count > parsed_count:
            self._record_parsed()
            self._record_body(len(data))
        elif is_head:
            self._record_head(len(data))
        else:
            self._record_body(self._unfinished_bytes + len(data))
        self.update_unfinished()

    def discard_rest(self) -> None:
        """Keep nothing of what still arrives before the connection is closed."""
        self._refused = True
        self._unfinished_bytes = 0
        self.update_unfinished()

    def update_unfinished(self) -> None:
        """Count the memory that incomplete and waiting requests hold."""
        held = self._unfinished_bytes
        if self._reading_paused or self._buffer_paused:
            held += PAUSED_BYTES
        if len(self._messages) > 1:
            held += len(self._messages) * self._server.limits().max_header_bytes
        if held != self._held_bytes:
            self._held_bytes = held
            self._server.table.set_unfinished(self, held)

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = HTTPStatus.INTERNAL_SERVER_ERROR,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Return the response to a malformed request, without what it contained."""
        if isinstance(exc, ConnectionError):
            # The body refers to it, and its frames to the bytes read so far.
            exc.__traceback__ = None
            raise ConnectionError("the client disconnected")
        if not isinstance(exc, HttpProcessingError | web.RequestPayloadError):
            return super().handle_error(request, status, exc, message)
        if request.writer.output_size > 0:
            raise ConnectionError("a response was sent already")
        if isinstance(exc, LineTooLong):
            return _head_too_large_response()
        return _error_response(HTTPStatus.BAD_REQUEST, MALFORMED_BODY)

    def _resume_transport_reading(self) -> None:
        super()._resume_transport_reading()
        self.update_unfinished()

    def _record_head(self, size_bytes: int) -> None:
        """Record bytes that did not complete a head."""
        self._unfinished_bytes += size_bytes
        most = MAX_UNFINISHED_HEADS * self._server.limits().max_header_bytes
        if self._unfinished_bytes > most:
            self._refuse()

    def _record_body(self, size_bytes: int) -> None:
        """Record the size of the last request so far."""
        if self._payload.is_eof():
            self._unfinished_bytes = 0
            self._server.table.mark_busy(self)
        else:
            self._unfinished_bytes = size_bytes

    def _record_parsed(self) -> None:
        """Record that received bytes completed a head or were malformed."""
        if not self._messages:
            return
        message, self._payload = self._messages[-1]
        error = getattr(message, "exc", None)
        if error is not None:
            # Its frames hold the received bytes and are part of a reference cycle.
            error.__traceback__ = None
            self._stop_reading()

    def _refuse(self) -> None:
        self._stop_reading()
        if self._waiter is None:
            # A response is in progress; the connection closes after it.
            self.close()
            return
        if self.transport is not None:
            self.transport.write(HEAD_TOO_LARGE_RESPONSE)
        self.force_close()

    def _stop_reading(self) -> None:
        self._refused = True
        if self.transport is not None:
            self.transport.pause_reading()


def site_of(
    runner: web.ServerRunner, host: str, port: int, connections: ConnectionTable
) -> web.SockSite:
    """Return a listener whose connections have bounded socket buffers.

    :raises OSError: if the address can't be used.
    """
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        with suppress(OSError):
            # The kernel reserves twice as much as is asked for.
            size = SOCKET_BUFFER_BYTES // 2
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)
        listener.bind((host, port))
    except OSError:
        listener.close()
        raise
    backlog = connections.limits.listen_backlog
    return web.SockSite(runner, listener, backlog=backlog)


def _head_bytes(request: web.BaseRequest) -> int:
    """Return the size of a request's header fields."""
    fields = request.raw_headers
    size = sum(len(name) + len(value) for name, value in fields)
    return size + FIELD_OVERHEAD_BYTES * len(fields)


def _head_too_large_response() -> web.Response:
    status = HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
    return _error_response(status, HEAD_TOO_LARGE_BODY)


def _error_response(status: HTTPStatus, body: bytes) -> web.Response:
    """Return an error after which the connection is closed."""
    response = web.Response(status=status, body=body, content_type=JSON_CONTENT_TYPE)
    response.force_close()
    return response
