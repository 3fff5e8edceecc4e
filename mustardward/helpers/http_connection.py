"""Carry one HTTP/1.1 exchange after the other over one kept connection.

An owner makes three calls for each task, so what a call costs beyond its bytes bounds
how many tasks one owner can start: a parser, a future and a timer, nothing more.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import Final

import httptools

from ..exceptions import MustardwardError

LATE_SECONDS: Final = 0.05
"""A timer that fires so much too late shows that this process was held up."""


class ExchangeError(MustardwardError):
    """Report that an answer did not come whole; the call may have had its effect.

    :param closed_unheard: whether the other side closed before any byte came.
    """

    code = "exchange-failed"

    def __init__(self, detail: str, closed_before_response: bool = False) -> None:
        super().__init__(detail)
        self.closed_before_response = closed_before_response


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """Hold one answer; its headers as they came, in their order."""

    status: int
    body: bytes
    headers: list[tuple[bytes, bytes]] = field(default_factory=list)

    def header(self, name: str) -> str:
        """Return a header's value, or nothing; its name in any case."""
        wanted = name.lower().encode()
        for key, value in self.headers:
            if key.lower() == wanted:
                return value.decode("latin-1")
        return ""


class HttpConnection(asyncio.Protocol):
    """Send a request, wait for its answer, and keep the connection for the next.

    A connection whose exchange failed is closed: a late answer would else be taken for
    that of the next request.
    """

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._waiter: asyncio.Future[HttpResponse] | None = None
        self._headers: list[tuple[bytes, bytes]] = []
        self._chunks: list[bytes] = []
        self._timer: asyncio.TimerHandle | None = None
        self._due_at = 0.0
        self._heard_at = 0.0
        self._silence_seconds: float | None = None
        self._excused = False
        self._began = False
        self._whole = True
        self.exchanges = 0
        self.idle_since = self._loop.time()

    @property
    def usable(self) -> bool:
        """Return whether another request may be sent."""
        return self._transport is not None and not self._transport.is_closing()

    def close(self) -> None:
        """Close at once."""
        if self._transport is not None:
            self._transport.abort()

    async def async_exchange(
        self, request: bytes, timeout_seconds: float, read_timeout_seconds: float | None
    ) -> HttpResponse:
        """Send a request and return its answer.

        :param silence_seconds: longest time in which no byte of the answer comes.
        :raises ExchangeError: if the answer did not come whole in time.
        """
        if self._transport is None or self._transport.is_closing():
            raise ExchangeError("closed", closed_before_response=True)
        self.exchanges += 1
        self._headers = []
        self._chunks = []
        self._began = False
        self._whole = False
        self._excused = False
        self._silence_seconds = read_timeout_seconds
        self._waiter = self._loop.create_future()
        now = self._loop.time()
        self._heard_at = now
        self._due_at = now + timeout_seconds
        self._set_timer()
        self._transport.write(request)
        try:
            return await self._waiter
        finally:
            self._waiter = None
            if self._timer is not None:
                self._timer.cancel()
                self._timer = None
            if not self._whole:
                self.close()

    # What the loop calls.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take in that the connection is open."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Parse what came."""
        self._heard_at = self._loop.time()
        if self._waiter is None:
            # Nobody asked: the other side closes, or answers what was given up.
            self.close()
            return
        self._began = True
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._fail(type(error).__name__)

    def connection_lost(self, exc: Exception | None) -> None:
        """Take in that the connection is gone."""
        self._transport = None
        detail = type(exc).__name__ if exc is not None else "disconnected"
        self._fail(detail, closed_before_response=not self._began)

    # What the parser calls.

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take one header in."""
        self._headers.append((name, value))

    def on_body(self, body: bytes) -> None:
        """Take a part of the body in."""
        self._chunks.append(body)

    def on_message_complete(self) -> None:
        """Hand the answer over."""
        if self._whole:
            # More than was asked for; whose answer it is nobody can tell.
            self.close()
            return
        self._whole = True
        status = self._parser.get_status_code()
        answer = HttpResponse(status, b"".join(self._chunks), self._headers)
        self.idle_since = self._heard_at
        if not self._parser.should_keep_alive():
            self.close()
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(answer)

    def _set_timer(self) -> None:
        at = self._due_at
        if self._silence_seconds is not None:
            at = min(at, self._heard_at + self._silence_seconds)
        self._timer = self._loop.call_at(at, self._look, at)

    def _look(self, planned_at: float) -> None:
        """Give up, unless bytes came meanwhile or this process was held up itself.

        Symptom without it: an owner that was held up for half a second took every
        call under way for unanswered, stopped what had begun, and began it elsewhere,
        which held it up again. A timer that fires late says nothing of the other
        side: it has the time that this process lost once more.
        """
        now = self._loop.time()
        late = now - planned_at
        if late > LATE_SECONDS and not self._excused:
            self._excused = True
            self._heard_at = max(self._heard_at, now)
            self._due_at = max(self._due_at, now + late)
            self._set_timer()
            return
        silent = (
            self._silence_seconds is not None
            and now >= self._heard_at + self._silence_seconds
        )
        if silent or now >= self._due_at:
            self._fail("timeout")
            self.close()
            return
        self._set_timer()

    def _fail(self, detail: str, closed_before_response: bool = False) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_exception(ExchangeError(detail, closed_before_response))
