"""Iterate over the answer to a forwarded request."""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack
from typing import Any, Final

import anyio
import msgspec
from grpclib.exceptions import GRPCError

from ...helpers.logging import get_logger
from ...helpers.msgpack_codec import MsgpackCodec
from .cancellation import settled_cancellations
from .client import TRANSPORT_ERRORS
from .const import LAST_FRAMES_SECONDS
from .exceptions import PeerAnswerTruncatedError, PeerMessageError
from .framing import async_receive_bytes
from .models import AnswerFrame

_LOGGER = get_logger(__name__)

STREAM_FAILURES: Final = (*TRANSPORT_ERRORS, GRPCError, msgspec.MsgspecError)
"""What the transport raises when a stream is lost or not understood."""


class AnswerChunks:
    """Iterate over a forwarded answer's body and close the stream after it.

    :param stack: what to leave when the answer ends.
    :raises PeerAnswerTruncatedError: from iteration, if the answer was cut off.
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
        self._pending: AnswerFrame | None = None
        self._finished = False
        self._whole = False

    @property
    def stream(self) -> Any:
        """Return grpclib's stream."""
        return self._stream

    def put_back(self, frame: AnswerFrame) -> None:
        """Let iteration begin with a frame that was received already."""
        self._pending = frame

    def __aiter__(self) -> AsyncIterator[bytes]:
        """Return the iterator itself."""
        return self

    async def __anext__(self) -> bytes:
        """Return the next piece that is not empty."""
        while not self._finished:
            frame = self._pending or await self._async_next()
            self._pending = None
            if frame.cut:
                await self.aclose()
                raise PeerAnswerTruncatedError("the worker's answer was cut off")
            if frame.last:
                await self._async_end()
            if frame.chunk:
                return frame.chunk
        if not self._whole:
            # Closed in the middle, by a deadline perhaps: who goes on to read would
            # take a plain end for the end of the answer.
            raise PeerAnswerTruncatedError("the answer was closed before its end")
        raise StopAsyncIteration

    async def aclose(self, whole: bool = False) -> None:
        """Close the stream; the peer stops answering unless it was taken whole."""
        if not self._finished:
            self._finished = True
            self._whole = whole
            with anyio.CancelScope(shield=True):
                await async_close_stream(self._stream, self._stack, whole)

    async def _async_end(self) -> None:
        # The end of our side tells the peer that the answer was taken whole.
        with anyio.move_on_after(LAST_FRAMES_SECONDS, shield=True):
            try:
                with settled_cancellations():
                    await self._stream.end()
            except STREAM_FAILURES:
                _LOGGER.debug("peer_left_before_the_end")
        await self.aclose(whole=True)

    async def async_receive(self) -> AnswerFrame:
        """Return the next frame.

        :raises PeerMessageError: if the stream ended instead.
        """
        if not self._stream._recv_initial_metadata_done:
            await self._stream.recv_initial_metadata()
        with self._stream._wrapper:
            data = await async_receive_bytes(self._stream._stream)
        if data is None:
            # A status of the peer says more than the mere end.
            await self._stream.recv_trailing_metadata()
            raise PeerMessageError("stream ended without its last frame")
        frame: AnswerFrame = self._codec.decode(data, AnswerFrame)
        return frame

    async def _async_next(self) -> AnswerFrame:
        try:
            remaining = max(0.0, self._deadline - self._clock())
            with settled_cancellations(), anyio.fail_after(remaining):
                return await self.async_receive()
        except STREAM_FAILURES as error:
            await self.aclose()
            raise PeerAnswerTruncatedError(type(error).__name__) from error
        except BaseException:
            await self.aclose()
            raise


async def async_close_stream(
    stream: Any, stack: AsyncExitStack, whole: bool = False
) -> None:
    """Leave a stream, or what was opened for one, without waiting for the peer."""
    # Leaving grpclib's stream waits for trailers, which never come from a peer that
    # was cut off: the request would hang past its deadline. So the stream is reset,
    # and marked as such, first.
    try:
        if stream is not None:
            if stream._stream.closable and not whole:
                stream._stream.reset_nowait()
            stream._cancel_done = True
        with settled_cancellations():
            await stack.aclose()
    except STREAM_FAILURES:
        return
