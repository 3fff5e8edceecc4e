"""Serve requests that other entries forward here."""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable
from typing import Any, Protocol

import anyio
import msgspec
from returns.result import Failure, Result

from ...helpers.logging import get_logger
from ..entry.models import Ran, RequestFacts, RequestRefusal
from ..entry.protocols import OutgoingRequest, WorkerAnswer
from ..templates.protocols import Directory, Resolved
from .codec import MsgpackCodec
from .const import CHUNK_BYTES, MAXIMUM_HOPS
from .exceptions import PeerBodyTruncatedError, PeerMessageError
from .framing import async_receive_bytes
from .models import (
    AnswerFrame,
    AnswerHead,
    ForwardHead,
    ForwardRefusal,
    RequestFrame,
)

_LOGGER = get_logger(__name__)


class ForwardedRequestServer(Protocol):
    """Serve a request that another entry received."""

    async def async_serve(
        self, facts: RequestFacts, request: OutgoingRequest
    ) -> Result[WorkerAnswer, RequestRefusal]:
        """Return the beginning of the answer, or the refusal."""
        ...


class ForwardReceiver:
    """Answer the streams of forwarded requests.

    :param find_entry: returns what serves requests, once it is set up.
    :param find_directory: returns what resolves organisations, once it is set up.
    :param clock: returns monotonic seconds.
    """

    def __init__(
        self,
        find_entry: Callable[[], ForwardedRequestServer | None],
        find_directory: Callable[[], Directory | None],
        clock: Callable[[], float],
        maximum_deadline_seconds: float,
    ) -> None:
        self._find_entry = find_entry
        self._find_directory = find_directory
        self._clock = clock
        self._maximum_deadline_seconds = maximum_deadline_seconds
        self._codec = MsgpackCodec()

    async def async_answer(self, stream: Any) -> None:
        """Answer one stream."""
        try:
            first = await self._async_receive(stream)
        except PeerMessageError as error:
            await self._async_refuse(stream, error.code, Ran.NO, error.detail)
            return
        if first is None or first.head is None:
            await self._async_refuse(stream, PeerMessageError.code, Ran.NO)
            return
        await self._async_serve(stream, first.head, first)

    async def _async_serve(
        self, stream: Any, head: ForwardHead, first: RequestFrame
    ) -> None:
        entry = self._find_entry()
        directory = self._find_directory()
        if entry is None or directory is None:
            await self._async_refuse(stream, "not-ready", Ran.NO)
            return
        if head.hops > MAXIMUM_HOPS or not head.remaining_seconds > 0:
            await self._async_refuse(stream, "forward-refused", Ran.NO)
            return
        resolved = directory.resolve(head.organisation, head.service)
        if isinstance(resolved, Failure):
            refusal = resolved.failure()
            await self._async_refuse(stream, refusal.code, refusal.ran, refusal.detail)
            return
        facts = self._facts(head, resolved.unwrap())
        request = OutgoingRequest(
            head.method, head.target, head.headers, self._body(stream, first)
        )
        result = await entry.async_serve(facts, request)
        if isinstance(result, Failure):
            refusal = result.failure()
            await self._async_refuse(stream, refusal.code, refusal.ran, refusal.detail)
            return
        await _async_stream(stream, result.unwrap())

    def _facts(self, head: ForwardHead, resolved: Resolved) -> RequestFacts:
        # The sender may hold an older or newer configuration, and its clocks are its
        # own: only names and a duration are taken over, the rest is looked up here.
        now = self._clock()
        remaining = min(head.remaining_seconds, self._maximum_deadline_seconds)
        return RequestFacts(
            request_id=head.request_id,
            organisation=head.organisation,
            service=head.service,
            pool=resolved.binding.pool,
            parameters=resolved.organisation.parameters,
            urgency=resolved.binding.urgency,
            idempotent=head.idempotent,
            arrived=now,
            deadline=now + remaining,
            idempotency_key=head.idempotency_key,
            request_digest=head.request_digest,
            hops=head.hops,
        )

    def _body(self, stream: Any, first: RequestFrame) -> bytes | AsyncIterator[bytes]:
        if first.last:
            return first.chunk
        return self._async_chunks(stream, first)

    async def _async_chunks(
        self, stream: Any, first: RequestFrame
    ) -> AsyncIterator[bytes]:
        if first.chunk:
            yield first.chunk
        while True:
            frame = await self._async_receive(stream)
            if frame is None:
                raise PeerBodyTruncatedError()
            if frame.chunk:
                yield frame.chunk
            if frame.last:
                return

    async def _async_receive(self, stream: Any) -> RequestFrame | None:
        data = await async_receive_bytes(stream._stream)
        if data is None:
            return None
        try:
            frame: RequestFrame = self._codec.decode(data, RequestFrame)
        except (msgspec.MsgspecError, ValueError, RecursionError) as error:
            raise PeerMessageError(str(error)) from error
        return frame

    async def _async_refuse(
        self, stream: Any, code: str, ran: Ran, detail: str = ""
    ) -> None:
        _LOGGER.info("forwarded_request_refused", code=code, ran=ran)
        refusal = ForwardRefusal(code, ran, detail)
        await _async_write(stream, AnswerFrame(refusal=refusal, last=True))


async def _async_stream(stream: Any, answer: WorkerAnswer) -> None:
    # The last frame is sent only after the worker's body was whole: if it raises, the
    # stream ends without one, and the entry that asked tells its caller of an error
    # rather than of a short success.
    head = AnswerHead(answer.status, answer.headers)
    try:
        await _async_write(stream, AnswerFrame(head=head))
        async for chunk in answer.chunks:
            for start in range(0, len(chunk), CHUNK_BYTES):
                piece = bytes(chunk[start : start + CHUNK_BYTES])
                await _async_write(stream, AnswerFrame(chunk=piece))
    finally:
        await _async_close(answer.chunks)
    await _async_write(stream, AnswerFrame(last=True))


async def _async_close(chunks: AsyncIterator[bytes]) -> None:
    # A caller that went away ends this stream in the middle; the worker's connection
    # has to be given up with it, or it stays open until its deadline.
    close = getattr(chunks, "aclose", None)
    if close is not None:
        with anyio.CancelScope(shield=True):
            await close()


async def _async_write(stream: Any, frame: AnswerFrame) -> None:
    await stream.send_message(msgspec.Raw(msgspec.msgpack.encode(frame)))
