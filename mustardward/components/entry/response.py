"""Hold a worker's answer while it streams, and end it exactly once."""

from __future__ import annotations

from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Final

import anyio
import httpx

from ...exceptions import PeerError, TruncatedAnswerError
from .connections import WorkerConnection, WorkerConnectionPool
from .const import HELD_ANSWER_BYTES
from .headers import find_header
from .protocols import WorkerResponse

RESPONSE_ERRORS: Final = (TruncatedAnswerError, PeerError)
"""What the pieces of an answer raise when it ended too early."""

EndCallback = Callable[[bool, bytes | None], None]


class WorkerBody:
    """Read the body of a worker's answer from its lane.

    :param response: the answer whose head was read.
    """

    def __init__(
        self,
        response: httpx.Response,
        lanes: WorkerConnectionPool,
        lane: WorkerConnection,
    ) -> None:
        stream = response.stream
        assert isinstance(stream, httpx.AsyncByteStream)
        self._stream = stream
        self._parts = stream.__aiter__()
        self._lanes = lanes
        self._lane: WorkerConnection | None = lane

    def __aiter__(self) -> WorkerBody:
        """Return itself."""
        return self

    async def __anext__(self) -> bytes:
        """Return the next piece.

        :raises TruncatedAnswerError: if the worker ended too early.
        """
        try:
            return await self._parts.__anext__()
        except StopAsyncIteration:
            await self._async_end()
            raise
        except httpx.TransportError as error:
            await self.aclose()
            raise TruncatedAnswerError(type(error).__name__) from error

    async def aclose(self) -> None:
        """Close the connection, unless the body was read to its end.

        A connection that was left in the middle of an answer would give the rest of
        it to the next caller.
        """
        lane, self._lane = self._lane, None
        if lane is not None:
            await self._async_discard(lane)

    async def _async_end(self) -> None:
        lane, self._lane = self._lane, None
        if lane is None:
            return
        try:
            await self._stream.aclose()
        except BaseException:
            await self._async_discard(lane)
            raise
        self._lanes.give_back(lane)

    async def _async_discard(self, lane: WorkerConnection) -> None:
        with anyio.CancelScope(shield=True):
            try:
                await self._stream.aclose()
            finally:
                await self._lanes.async_discard(lane)


class TrackedBody:
    """Pass a body on and tell once how it ended.

    :param keep_bytes: longest body to keep a copy of; negative to keep none.
    """

    def __init__(
        self, parts: AsyncIterator[bytes], keep_bytes: int, on_end: EndCallback
    ) -> None:
        self._parts = parts
        self._on_end = on_end
        self._room = keep_bytes
        self._kept: list[bytes] = []
        self._over = False

    def __aiter__(self) -> TrackedBody:
        """Return itself."""
        return self

    async def __anext__(self) -> bytes:
        """Return the next piece.

        :raises TruncatedAnswerError: if the worker ended too early.
        """
        try:
            chunk = await self._parts.__anext__()
        except StopAsyncIteration:
            self._end(True)
            raise
        except RESPONSE_ERRORS:
            self._end(False)
            raise
        if self._room >= 0:
            self._keep(chunk)
        return chunk

    async def aclose(self) -> None:
        """Close the source; an end that was not reached counts as a failure."""
        self._end(False)
        await async_close_chunks(self._parts)

    def _keep(self, chunk: bytes) -> None:
        self._room -= len(chunk)
        if self._room >= 0:
            self._kept.append(chunk)
        else:
            self._kept.clear()

    def _end(self, whole: bool) -> None:
        if self._over:
            return
        self._over = True
        kept = b"".join(self._kept) if whole and self._room >= 0 else None
        self._on_end(whole, kept)


class BufferedBody:
    """Give a body that is already whole."""

    def __init__(self, body: bytes) -> None:
        self._body = body

    def __aiter__(self) -> BufferedBody:
        """Return itself."""
        return self

    async def __anext__(self) -> bytes:
        """Return the body, then end."""
        if not self._body:
            raise StopAsyncIteration
        body, self._body = self._body, b""
        return body


def should_buffer(answer: WorkerResponse) -> bool:
    """Tell whether an answer declares a length that is held until it is whole."""
    length = find_header(answer.headers, b"content-length")
    return length is not None and length.isdigit() and int(length) <= HELD_ANSWER_BYTES


async def async_close_chunks(parts: AsyncIterator[bytes]) -> None:
    """Close a source of pieces if it can be closed."""
    close: Callable[[], Awaitable[None]] | None = getattr(parts, "aclose", None)
    if close is not None:
        await close()


async def async_close_response(answer: WorkerResponse) -> None:
    """Give up an answer, whether its body was read or not."""
    await async_close_chunks(answer.chunks)
