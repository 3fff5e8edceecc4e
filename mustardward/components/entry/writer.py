"""Write answers and refusals to a caller."""

from __future__ import annotations

from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any, Final

import anyio

from ...exceptions import CallerGoneError
from .abort import async_abort_stream, is_gone
from .const import LINGER_SECONDS, RETRY_BUFFER_BYTES
from .headers import find_header
from .health import Health
from .models import RequestRefusal
from .problem import problem_body, problem_headers
from .protocols import WorkerAnswer

Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]

_CLOSE: Final = (b"connection", b"close")


class AnswerWriter:
    """Write one answer to one caller."""

    def __init__(
        self,
        scope: dict[str, Any],
        receive: Receive,
        send: Send,
        request_id: str,
        health: Health,
    ) -> None:
        self._receive = receive
        self._send = send
        self._request_id = request_id
        self._health = health
        self._keeps_alive = scope["http_version"].startswith("1")
        self._method: str = scope["method"]
        self._started = False
        self._ended = anyio.Event()

    @property
    def started(self) -> bool:
        """Tell whether the caller has got a status already."""
        return self._started

    async def async_answer(self, answer: WorkerAnswer) -> None:
        """Pass a worker's answer on, small ones in one piece.

        :raises TruncatedAnswerError: if the worker ended too early.
        :raises CallerGoneError: if the caller went away in the middle of a stream.
        """
        headers = [
            *answer.headers,
            (b"mw-request-id", self._request_id.encode()),
        ]
        length = find_header(answer.headers, b"content-length")
        if length is not None and _is_small(length):
            # Held until it is whole: a worker that breaks off then still shows as a
            # clear refusal instead of a cut connection.
            body = b"".join([chunk async for chunk in answer.chunks])
            await self._async_start(answer.status, headers)
            await self._send({"type": "http.response.body", "body": body})
            return
        await self._async_start(answer.status, headers)
        await self._async_stream(answer.chunks)

    async def async_refuse(self, refusal: RequestRefusal, body_read: bool) -> None:
        """Write a refusal at once, though the caller may still be sending."""
        body = problem_body(refusal, self._request_id)
        headers = list(problem_headers(refusal, self._request_id, len(body)))
        if body_read:
            await self._async_start(refusal.status, headers)
            await self._send({"type": "http.response.body", "body": body})
            return
        await self._async_refuse_unread(refusal.status, headers, body)

    async def async_abort(self) -> None:
        """Break the answer off, so that the caller can't take it for a whole one."""
        await async_abort_stream(self._send)

    async def _async_start(
        self, status: int, headers: list[tuple[bytes, bytes]]
    ) -> None:
        if self._keeps_alive and self._health.leaving:
            headers.append(_CLOSE)
        self._started = True
        await self._send(
            {"type": "http.response.start", "status": status, "headers": headers}
        )

    async def _async_stream(self, chunks: AsyncIterator[bytes]) -> None:
        async for chunk in chunks:
            if is_gone(self._send):
                raise CallerGoneError("answer not taken")
            await self._send(
                {"type": "http.response.body", "body": chunk, "more_body": True}
            )
        await self._send({"type": "http.response.body", "body": b""})

    async def _async_refuse_unread(
        self, status: int, headers: list[tuple[bytes, bytes]], body: bytes
    ) -> None:
        # The server's queue of body pieces is bounded and nobody reads it any more:
        # ending the answer would wait for room in it, for ever. And closing a
        # connection with unread bytes resets it, which can take the refusal away
        # from the caller. So the rest is read and dropped for a short while.
        if self._keeps_alive:
            headers.append(_CLOSE)
        async with anyio.create_task_group() as group:
            group.start_soon(self._async_discard)
            await self._async_start(status, headers)
            await self._send(
                {"type": "http.response.body", "body": body, "more_body": True}
            )
            with anyio.move_on_after(LINGER_SECONDS):
                await self._ended.wait()
            await self._send({"type": "http.response.body", "body": b""})

    async def _async_discard(self) -> None:
        while True:
            message = await self._receive()
            gone = message["type"] == "http.disconnect"
            if gone or not message.get("more_body", False):
                self._ended.set()
            if gone:
                return


def _is_small(length: bytes) -> bool:
    return length.isdigit() and int(length) <= RETRY_BUFFER_BYTES
