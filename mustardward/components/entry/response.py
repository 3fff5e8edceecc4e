"""Stream the body of a worker's response and report its end exactly once."""

from __future__ import annotations

from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Final

import anyio
import httpx

from ...exceptions import PeerError, TruncatedAnswerError
from .connections import WorkerConnection, WorkerConnectionPool
from .const import MAX_BUFFERED_RESPONSE_BYTES
from .headers import find_header
from .protocols import WorkerResponse

RESPONSE_ERRORS: Final = (TruncatedAnswerError, PeerError)
"""Errors raised by the chunks of a truncated response."""

EndCallback = Callable[[bool, bytes | None], None]


class WorkerBody:
    """The body of a worker's response, read from its connection.

    :param response: the response whose head was read.
    """

    def __init__(
        self,
        response: httpx.Response,
        pool: WorkerConnectionPool,
        connection: WorkerConnection,
    ) -> None:
        stream = response.stream
        assert isinstance(stream, httpx.AsyncByteStream)
        self._stream = stream
        self._chunks = stream.__aiter__()
        self._pool = pool
        self._connection: WorkerConnection | None = connection

    def __aiter__(self) -> WorkerBody:
        """Return itself."""
        return self

    async def __anext__(self) -> bytes:
        """Return the next chunk.

        :raises TruncatedAnswerError: if the response is truncated.
        """
        try:
            return await self._chunks.__anext__()
        except StopAsyncIteration:
            await self._async_end()
            raise
        except httpx.TransportError as error:
            await self.aclose()
            raise TruncatedAnswerError(type(error).__name__) from error

    async def aclose(self) -> None:
        """Close the connection, unless the body was read to its end.

        A connection reused in the middle of a response would give the rest of it to
        the next caller.
        """
        connection, self._connection = self._connection, None
        if connection is not None:
            await self._async_discard(connection)

    async def _async_end(self) -> None:
        connection, self._connection = self._connection, None
        if connection is None:
            return
        try:
            await self._stream.aclose()
        except BaseException:
            await self._async_discard(connection)
            raise
        self._pool.release(connection)

    async def _async_discard(self, connection: WorkerConnection) -> None:
        with anyio.CancelScope(shield=True):
            try:
                await self._stream.aclose()
            finally:
                await self._pool.async_discard(connection)


class TrackedBody:
    """Forward a body and report once whether it was complete.

    :param max_copy_bytes: maximum size of a body to keep a copy of; negative for none.
    """

    def __init__(
        self, chunks: AsyncIterator[bytes], max_copy_bytes: int, on_end: EndCallback
    ) -> None:
        self._chunks = chunks
        self._on_end = on_end
        self._remaining_bytes = max_copy_bytes
        self._copied_chunks: list[bytes] = []
        self._ended = False

    def __aiter__(self) -> TrackedBody:
        """Return itself."""
        return self

    async def __anext__(self) -> bytes:
        """Return the next chunk.

        :raises TruncatedAnswerError: if the response is truncated.
        """
        try:
            chunk = await self._chunks.__anext__()
        except StopAsyncIteration:
            self._end(True)
            raise
        except RESPONSE_ERRORS:
            self._end(False)
            raise
        if self._remaining_bytes >= 0:
            self._copy_chunk(chunk)
        return chunk

    async def aclose(self) -> None:
        """Close the source; a body not read to its end is reported as incomplete."""
        self._end(False)
        await async_close_chunks(self._chunks)

    def _copy_chunk(self, chunk: bytes) -> None:
        self._remaining_bytes -= len(chunk)
        if self._remaining_bytes >= 0:
            self._copied_chunks.append(chunk)
        else:
            self._copied_chunks.clear()

    def _end(self, complete: bool) -> None:
        if self._ended:
            return
        self._ended = True
        body_copy = (
            b"".join(self._copied_chunks)
            if complete and self._remaining_bytes >= 0
            else None
        )
        self._on_end(complete, body_copy)


class BufferedBody:
    """A body that was read completely."""

    def __init__(self, body: bytes) -> None:
        self._body = body

    def __aiter__(self) -> BufferedBody:
        """Return itself."""
        return self

    async def __anext__(self) -> bytes:
        """Return the whole body once."""
        if not self._body:
            raise StopAsyncIteration
        body, self._body = self._body, b""
        return body


def should_buffer(response: WorkerResponse) -> bool:
    """Return whether a response declares a length that is small enough to buffer."""
    length = find_header(response.headers, b"content-length")
    return (
        length is not None
        and length.isdigit()
        and int(length) <= MAX_BUFFERED_RESPONSE_BYTES
    )


async def async_close_chunks(chunks: AsyncIterator[bytes]) -> None:
    """Close a source of chunks if it can be closed."""
    close: Callable[[], Awaitable[None]] | None = getattr(chunks, "aclose", None)
    if close is not None:
        await close()


async def async_close_response(response: WorkerResponse) -> None:
    """Close a response, whether its body was read or not."""
    await async_close_chunks(response.chunks)
