"""Write responses and refusals to a caller."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from functools import partial
from typing import Any, Final

import anyio

from ...exceptions import CallerGoneError, MustardwardError
from .abort import async_abort_stream, is_disconnected, tolerate_late_data
from .const import LINGER_SECONDS
from .health import EntryHealth
from .models import RequestRefusal
from .problem import problem_body, problem_headers
from .protocols import WorkerResponse
from .response import should_buffer

Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]

_CLOSE: Final = (b"connection", b"close")


class ResponseWriter:
    """Write one response to one caller."""

    def __init__(
        self,
        scope: dict[str, Any],
        receive: Receive,
        send: Send,
        request_id: str,
        health: EntryHealth,
    ) -> None:
        self._receive = receive
        self._send = send
        self._request_id = request_id
        self._health = health
        self._is_http1 = scope["http_version"].startswith("1")
        self._started = False
        self._body_unread = False
        self._body_ended = anyio.Event()

    @property
    def started(self) -> bool:
        """Return whether the response was started."""
        return self._started

    async def async_write_response(
        self, response: WorkerResponse, body_read: bool
    ) -> None:
        """Forward a worker's response, a small one in one piece.

        :param body_read: whether the request's body was read completely.
        :raises TruncatedAnswerError: if the worker's response is truncated.
        :raises CallerGoneError: if the caller disconnected during a streamed response.
        """
        await self._async_write(
            body_read, partial(self._async_forward_response, response)
        )

    async def async_write_refusal(
        self, refusal: RequestRefusal, body_read: bool
    ) -> None:
        """Write a refusal at once, even if the caller is still sending."""
        await self._async_write(body_read, partial(self._async_send_problem, refusal))

    async def async_abort(self) -> None:
        """Abort the response, so that the caller can't take it for a complete one."""
        await async_abort_stream(self._send)

    async def _async_write(
        self, body_read: bool, write: Callable[[], Awaitable[None]]
    ) -> None:
        if body_read:
            await write()
            return
        # The server's queue of body chunks is bounded and no longer read: ending the
        # response would wait forever for space in it. So the rest of the body is read
        # and discarded concurrently.
        self._body_unread = True
        tolerate_late_data(self._send)
        failed: MustardwardError | None = None
        async with anyio.create_task_group() as group:
            group.start_soon(self._async_drain_body)
            try:
                await write()
            except MustardwardError as error:
                failed = error
                group.cancel_scope.cancel()
        if failed is not None:
            raise failed

    async def _async_forward_response(self, response: WorkerResponse) -> None:
        headers = [
            *response.headers,
            (b"mw-request-id", self._request_id.encode()),
        ]
        if should_buffer(response):
            # Buffered before the head is sent, so that a truncated response becomes a
            # refusal instead of an aborted connection.
            body = b"".join([chunk async for chunk in response.chunks])
            await self._async_send_head(response.status, headers)
            await self._async_send_end(body)
            return
        await self._async_send_head(response.status, headers)
        async for chunk in response.chunks:
            if is_disconnected(self._send):
                raise CallerGoneError("response not read")
            await self._async_send_chunk(chunk)
        await self._async_send_end(b"")

    async def _async_send_problem(self, refusal: RequestRefusal) -> None:
        body = problem_body(refusal, self._request_id)
        headers = list(problem_headers(refusal, self._request_id, len(body)))
        await self._async_send_head(refusal.status, headers)
        await self._async_send_end(body)

    async def _async_send_head(
        self, status: int, headers: list[tuple[bytes, bytes]]
    ) -> None:
        if self._is_http1 and (self._body_unread or self._health.draining):
            headers.append(_CLOSE)
        self._started = True
        await self._send(
            {"type": "http.response.start", "status": status, "headers": headers}
        )

    async def _async_send_chunk(self, chunk: bytes) -> None:
        await self._send(
            {"type": "http.response.body", "body": chunk, "more_body": True}
        )

    async def _async_send_end(self, body: bytes) -> None:
        if self._body_unread:
            # Closing a connection with unread bytes resets it, and a caller that is
            # still sending can lose the response. So it may send on for a while.
            await self._async_send_chunk(body)
            body = b""
            with anyio.move_on_after(LINGER_SECONDS):
                await self._body_ended.wait()
        await self._send({"type": "http.response.body", "body": body})

    async def _async_drain_body(self) -> None:
        while True:
            message = await self._receive()
            disconnected = message["type"] == "http.disconnect"
            if disconnected or not message.get("more_body", False):
                self._body_ended.set()
            if disconnected:
                return
