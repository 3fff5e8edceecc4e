"""Iterate over the response to a forwarded request."""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack
from typing import Any, Final

import anyio
import msgspec
from grpclib.exceptions import GRPCError

from ...helpers.logging import get_logger
from ...helpers.msgpack_codec import MsgpackCodec
from ...helpers.peer_cancellation import uncancel_on_error
from .client import TRANSPORT_ERRORS
from .const import END_OF_STREAM_TIMEOUT_SECONDS
from .exceptions import PeerMessageError, PeerResponseTruncatedError
from .framing import async_receive_bytes
from .models import ResponseFrame

_LOGGER = get_logger(__name__)

STREAM_ERRORS: Final = (*TRANSPORT_ERRORS, GRPCError, msgspec.MsgspecError)
"""Exceptions raised when a stream is lost or its data is invalid."""


class ResponseChunks:
    """Iterate over a forwarded response's body and close the stream at its end.

    :param stack: exit stack to close when the response ends.
    :raises PeerResponseTruncatedError: from iteration, if the response is truncated.
    """

    def __init__(
        self,
        stream: Any,
        stack: AsyncExitStack,
        deadline: float,
        clock: Callable[[], float],
    ) -> None:
        self._stream = stream
        self._stack = stack
        self._deadline = deadline
        self._clock = clock
        self._codec = MsgpackCodec()
        self._pending: ResponseFrame | None = None
        self._finished = False
        self._complete = False

    @property
    def stream(self) -> Any:
        """Return grpclib's stream."""
        return self._stream

    def push_back(self, frame: ResponseFrame) -> None:
        """Make iteration start with a frame that was received already."""
        self._pending = frame

    def __aiter__(self) -> AsyncIterator[bytes]:
        """Return the iterator itself."""
        return self

    async def __anext__(self) -> bytes:
        """Return the next non-empty chunk."""
        while not self._finished:
            frame = self._pending or await self._async_receive_next()
            self._pending = None
            if frame.cut:
                await self.aclose()
                raise PeerResponseTruncatedError("the worker's response was truncated")
            if frame.last:
                await self._async_end_stream()
            if frame.chunk:
                return frame.chunk
        if not self._complete:
            # The stream was closed before its end, for example at a deadline. A reader
            # that continues would take StopAsyncIteration for a complete response.
            raise PeerResponseTruncatedError("the response was closed before its end")
        raise StopAsyncIteration

    async def aclose(self, complete: bool = False) -> None:
        """Close the stream and cancel the response unless it is complete."""
        if not self._finished:
            self._finished = True
            self._complete = complete
            with anyio.CancelScope(shield=True):
                await async_close_stream(self._stream, self._stack, complete)

    async def _async_end_stream(self) -> None:
        # Ending the request side tells the peer that the response was received.
        with anyio.move_on_after(END_OF_STREAM_TIMEOUT_SECONDS, shield=True):
            try:
                with uncancel_on_error():
                    await self._stream.end()
            except STREAM_ERRORS:
                _LOGGER.debug("peer_closed_stream_early")
        await self.aclose(complete=True)

    async def async_receive_frame(self) -> ResponseFrame:
        """Return the next frame.

        :raises PeerMessageError: if the stream ended before the last frame.
        """
        if not self._stream._recv_initial_metadata_done:
            await self._stream.recv_initial_metadata()
        with self._stream._wrapper:
            data = await async_receive_bytes(self._stream._stream)
        if data is None:
            # Raises the peer's gRPC status, if there is one, which is more specific.
            await self._stream.recv_trailing_metadata()
            raise PeerMessageError("stream ended before its last frame")
        frame: ResponseFrame = self._codec.decode(data, ResponseFrame)
        return frame

    async def _async_receive_next(self) -> ResponseFrame:
        try:
            remaining = max(0.0, self._deadline - self._clock())
            with uncancel_on_error(), anyio.fail_after(remaining):
                return await self.async_receive_frame()
        except STREAM_ERRORS as error:
            await self.aclose()
            raise PeerResponseTruncatedError(type(error).__name__) from error
        except BaseException:
            await self.aclose()
            raise


async def async_close_stream(
    stream: Any, stack: AsyncExitStack, complete: bool = False
) -> None:
    """Close a stream, or a partly opened one, without waiting for the peer."""
    # grpclib's stream waits for trailers on exit, and an unreachable peer never sends
    # them: the request would hang past its deadline. So the stream is reset and marked
    # as cancelled first.
    try:
        if stream is not None:
            if stream._stream.closable and not complete:
                stream._stream.reset_nowait()
            stream._cancel_done = True
        with uncancel_on_error():
            await stack.aclose()
    except STREAM_ERRORS:
        return
