"""Write answers and refusals to a caller."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from functools import partial
from typing import Any, Final

import anyio

from ...exceptions import CallerGoneError, MustardwardError
from .abort import async_abort_stream, is_gone, tolerate_late_data
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
    """Write one answer to one caller."""

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
        self._keeps_alive = scope["http_version"].startswith("1")
        self._started = False
        self._unread = False
        self._ended = anyio.Event()

    @property
    def started(self) -> bool:
        """Tell whether the caller has got a status already."""
        return self._started

    async def async_answer(self, answer: WorkerResponse, body_read: bool) -> None:
        """Pass a worker's answer on, small ones in one piece.

        :param body_read: whether nothing of the request's body is left to come.
        :raises TruncatedAnswerError: if the worker ended too early.
        :raises CallerGoneError: if the caller went away in the middle of a stream.
        """
        await self._async_write(body_read, partial(self._async_pass_on, answer))

    async def async_refuse(self, refusal: RequestRefusal, body_read: bool) -> None:
        """Write a refusal at once, though the caller may still be sending."""
        await self._async_write(body_read, partial(self._async_problem, refusal))

    async def async_abort(self) -> None:
        """Break the answer off, so that the caller can't take it for a whole one."""
        await async_abort_stream(self._send)

    async def _async_write(
        self, body_read: bool, write: Callable[[], Awaitable[None]]
    ) -> None:
        if body_read:
            await write()
            return
        # The server's queue of body pieces is bounded and nobody reads it any more:
        # ending the answer would wait for room in it, for ever. So the rest is read
        # and dropped beside.
        self._unread = True
        tolerate_late_data(self._send)
        failed: MustardwardError | None = None
        async with anyio.create_task_group() as group:
            group.start_soon(self._async_discard)
            try:
                await write()
            except MustardwardError as error:
                failed = error
                group.cancel_scope.cancel()
        if failed is not None:
            raise failed

    async def _async_pass_on(self, answer: WorkerResponse) -> None:
        headers = [
            *answer.headers,
            (b"mw-request-id", self._request_id.encode()),
        ]
        if should_buffer(answer):
            # Whole already, or held until it is: what breaks off then still shows as
            # a clear refusal instead of a cut connection.
            body = b"".join([chunk async for chunk in answer.chunks])
            await self._async_start(answer.status, headers)
            await self._async_end(body)
            return
        await self._async_start(answer.status, headers)
        async for chunk in answer.chunks:
            if is_gone(self._send):
                raise CallerGoneError("answer not taken")
            await self._async_piece(chunk)
        await self._async_end(b"")

    async def _async_problem(self, refusal: RequestRefusal) -> None:
        body = problem_body(refusal, self._request_id)
        headers = list(problem_headers(refusal, self._request_id, len(body)))
        await self._async_start(refusal.status, headers)
        await self._async_end(body)

    async def _async_start(
        self, status: int, headers: list[tuple[bytes, bytes]]
    ) -> None:
        if self._keeps_alive and (self._unread or self._health.leaving):
            headers.append(_CLOSE)
        self._started = True
        await self._send(
            {"type": "http.response.start", "status": status, "headers": headers}
        )

    async def _async_piece(self, chunk: bytes) -> None:
        await self._send(
            {"type": "http.response.body", "body": chunk, "more_body": True}
        )

    async def _async_end(self, body: bytes) -> None:
        if self._unread:
            # Closing a connection with unread bytes resets it, which can take the
            # answer away from a caller that still sends. So it may go on for a while.
            await self._async_piece(body)
            body = b""
            with anyio.move_on_after(LINGER_SECONDS):
                await self._ended.wait()
        await self._send({"type": "http.response.body", "body": body})

    async def _async_discard(self) -> None:
        while True:
            message = await self._receive()
            gone = message["type"] == "http.disconnect"
            if gone or not message.get("more_body", False):
                self._ended.set()
            if gone:
                return
