"""Read a caller's body, held whole while it is small and streamed when it is not."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

from ...exceptions import BodyTooLargeError, CallerGoneError

Receive = Callable[[], Awaitable[dict[str, Any]]]


class BodyReader:
    """Read one body from an ASGI ``receive`` and count what came.

    :param limit: the longest body allowed, in bytes.
    """

    def __init__(self, receive: Receive, limit: int) -> None:
        self._receive = receive
        self._limit = limit
        self._read = 0
        self._ended = False

    @property
    def ended(self) -> bool:
        """Tell whether all of the body was read."""
        return self._ended

    def end(self) -> None:
        """Take it that there is no body, and read none."""
        self._ended = True

    async def async_chunk(self) -> bytes:
        """Return the next piece; empty once the body has ended.

        :raises BodyTooLargeError: if more came than allowed.
        :raises CallerGoneError: if the caller went away before the end.
        """
        while not self._ended:
            message = await self._receive()
            if message["type"] == "http.disconnect":
                raise CallerGoneError("body not whole")
            chunk: bytes = message.get("body", b"")
            self._ended = not message.get("more_body", False)
            self._read += len(chunk)
            if self._read > self._limit:
                raise BodyTooLargeError(f"limit={self._limit}")
            if chunk:
                return chunk
        return b""

    async def async_hold(self, bound: int) -> bytes:
        """Return the body up to about ``bound`` bytes; see ``ended`` for the rest."""
        first = await self.async_chunk()
        if self._ended:
            return first
        chunks = [first]
        held = len(first)
        while not self._ended and held <= bound:
            chunk = await self.async_chunk()
            chunks.append(chunk)
            held += len(chunk)
        return b"".join(chunks)


class StreamedBody:
    """Send what was held and then the rest, once.

    :param held: the bytes already read.
    """

    def __init__(self, reader: BodyReader, held: bytes) -> None:
        self._reader = reader
        self._held = held
        self._begun = False

    @property
    def begun(self) -> bool:
        """Tell whether an attempt has taken some of it, so that none can again."""
        return self._begun

    def __aiter__(self) -> StreamedBody:
        """Return itself."""
        return self

    async def __anext__(self) -> bytes:
        """Return the next piece."""
        self._begun = True
        chunk, self._held = self._held, b""
        if not chunk:
            chunk = await self._reader.async_chunk()
        if not chunk:
            raise StopAsyncIteration
        return chunk
