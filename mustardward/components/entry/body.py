"""Read a caller's body, buffered if it is small and streamed otherwise."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

from ...exceptions import BodyTooLargeError, CallerGoneError

Receive = Callable[[], Awaitable[dict[str, Any]]]


class BodyReader:
    """Read one body from an ASGI ``receive`` and enforce its size limit.

    :param limit: the maximum body size in bytes.
    """

    def __init__(self, receive: Receive, limit: int) -> None:
        self._receive = receive
        self._limit = limit
        self._received_bytes = 0
        self._ended = False

    @property
    def ended(self) -> bool:
        """Return whether the body was read completely."""
        return self._ended

    def mark_empty(self) -> None:
        """Treat the request as one without a body."""
        self._ended = True

    async def async_read_chunk(self) -> bytes:
        """Return the next chunk; empty once the body has ended.

        :raises BodyTooLargeError: if the body exceeds its limit.
        :raises CallerGoneError: if the caller disconnected before the end.
        """
        while not self._ended:
            message = await self._receive()
            if message["type"] == "http.disconnect":
                raise CallerGoneError("body incomplete")
            chunk: bytes = message.get("body", b"")
            self._ended = not message.get("more_body", False)
            self._received_bytes += len(chunk)
            if self._received_bytes > self._limit:
                raise BodyTooLargeError(f"limit={self._limit}")
            if chunk:
                return chunk
        return b""

    async def async_buffer(self, max_bytes: int) -> bytes:
        """Return about ``max_bytes`` of the body; ``ended`` tells if that is all."""
        first = await self.async_read_chunk()
        if self._ended:
            return first
        chunks = [first]
        buffered = len(first)
        while not self._ended and buffered <= max_bytes:
            chunk = await self.async_read_chunk()
            chunks.append(chunk)
            buffered += len(chunk)
        return b"".join(chunks)


class StreamedBody:
    """Iterate over the buffered bytes and then the rest of the body, once.

    :param buffered: the bytes already read.
    """

    def __init__(self, reader: BodyReader, buffered: bytes) -> None:
        self._reader = reader
        self._buffered = buffered
        self._started = False

    @property
    def started(self) -> bool:
        """Return whether the body was partly consumed and can't be sent again."""
        return self._started

    def __aiter__(self) -> StreamedBody:
        """Return itself."""
        return self

    async def __anext__(self) -> bytes:
        """Return the next chunk."""
        self._started = True
        chunk, self._buffered = self._buffered, b""
        if not chunk:
            chunk = await self._reader.async_read_chunk()
        if not chunk:
            raise StopAsyncIteration
        return chunk
