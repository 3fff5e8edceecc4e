"""Make sequential HTTP/1.1 requests over one persistent connection.

An owner makes three calls for each task, so the overhead of a call limits how many
tasks it can start. An exchange therefore uses only a parser, a future and a timer.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import Final

import httptools

from ..exceptions import MustardwardError

LATE_TIMER_SECONDS: Final = 0.05
"""A timer that fires this much too late shows that the event loop was blocked."""


class ExchangeError(MustardwardError):
    """Raised when no complete response arrived; the call may have had its effect.

    :param closed_before_response: whether the server closed before sending any byte.
    """

    code = "exchange-failed"

    def __init__(self, detail: str, closed_before_response: bool = False) -> None:
        super().__init__(detail)
        self.closed_before_response = closed_before_response


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """HTTP response; headers are unchanged and in the received order."""

    status: int
    body: bytes
    headers: list[tuple[bytes, bytes]] = field(default_factory=list)

    def header(self, name: str) -> str:
        """Return a header's value or an empty string; names are case-insensitive."""
        wanted = name.lower().encode()
        for key, value in self.headers:
            if key.lower() == wanted:
                return value.decode("latin-1")
        return ""


class HttpConnection(asyncio.Protocol):
    """Client side of one persistent connection.

    A connection whose exchange failed is closed: otherwise a late response would be
    taken for that of the next request.
    """

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._waiter: asyncio.Future[HttpResponse] | None = None
        self._headers: list[tuple[bytes, bytes]] = []
        self._chunks: list[bytes] = []
        self._timer: asyncio.TimerHandle | None = None
        self._deadline = 0.0
        self._last_byte_at = 0.0
        self._silence_seconds: float | None = None
        self._extended = False
        self._response_started = False
        self._complete = True
        self.exchanges = 0
        self.idle_since = self._loop.time()

    @property
    def usable(self) -> bool:
        """Return whether the connection is open for another request."""
        return self._transport is not None and not self._transport.is_closing()

    def close(self) -> None:
        """Close the connection without flushing its buffers."""
        if self._transport is not None:
            self._transport.abort()

    async def async_exchange(
        self, request: bytes, timeout_seconds: float, read_timeout_seconds: float | None
    ) -> HttpResponse:
        """Send a request and return its response.

        :param read_timeout_seconds: maximum time without receiving a byte.
        :raises ExchangeError: if no complete response arrived in time.
        """
        if self._transport is None or self._transport.is_closing():
            raise ExchangeError("closed", closed_before_response=True)
        self.exchanges += 1
        self._headers = []
        self._chunks = []
        self._response_started = False
        self._complete = False
        self._extended = False
        self._silence_seconds = read_timeout_seconds
        self._waiter = self._loop.create_future()
        now = self._loop.time()
        self._last_byte_at = now
        self._deadline = now + timeout_seconds
        self._set_timer()
        self._transport.write(request)
        try:
            return await self._waiter
        finally:
            self._waiter = None
            if self._timer is not None:
                self._timer.cancel()
                self._timer = None
            if not self._complete:
                self.close()

    # Callbacks of asyncio.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of the opened connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Parse received bytes."""
        self._last_byte_at = self._loop.time()
        if self._waiter is None:
            # No exchange is in progress: the server is closing the connection, or
            # responds to an abandoned request.
            self.close()
            return
        self._response_started = True
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._fail(type(error).__name__)

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the exchange in progress."""
        self._transport = None
        detail = type(exc).__name__ if exc is not None else "disconnected"
        self._fail(detail, closed_before_response=not self._response_started)

    # Callbacks of the parser.

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header."""
        self._headers.append((name, value))

    def on_body(self, body: bytes) -> None:
        """Collect a part of the body."""
        self._chunks.append(body)

    def on_message_complete(self) -> None:
        """Complete the exchange with the parsed response."""
        if self._complete:
            # A second response to one request can't be assigned to any request.
            self.close()
            return
        self._complete = True
        status = self._parser.get_status_code()
        response = HttpResponse(status, b"".join(self._chunks), self._headers)
        self.idle_since = self._last_byte_at
        if not self._parser.should_keep_alive():
            self.close()
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(response)

    def _set_timer(self) -> None:
        at = self._deadline
        if self._silence_seconds is not None:
            at = min(at, self._last_byte_at + self._silence_seconds)
        self._timer = self._loop.call_at(at, self._check_timeout, at)

    def _check_timeout(self, scheduled_at: float) -> None:
        """Fail the exchange on a timeout, unless the event loop was blocked.

        A timer that fires late says nothing about the server, so the deadline is
        extended once by the delay. Without this, an owner whose loop was blocked for
        half a second treats all calls in flight as unanswered, and stops and restarts
        their tasks, which blocks the loop again.
        """
        now = self._loop.time()
        delay = now - scheduled_at
        if delay > LATE_TIMER_SECONDS and not self._extended:
            self._extended = True
            self._last_byte_at = max(self._last_byte_at, now)
            self._deadline = max(self._deadline, now + delay)
            self._set_timer()
            return
        stalled = (
            self._silence_seconds is not None
            and now >= self._last_byte_at + self._silence_seconds
        )
        if stalled or now >= self._deadline:
            self._fail("timeout")
            self.close()
            return
        self._set_timer()

    def _fail(self, detail: str, closed_before_response: bool = False) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_exception(ExchangeError(detail, closed_before_response))
