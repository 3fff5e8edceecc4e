"""Serve requests that other entries forward here."""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable
from typing import Any, Protocol

import anyio
import msgspec
from returns.result import Failure, Result

from ...helpers.logging import get_logger
from ...helpers.msgpack_codec import MsgpackCodec
from ..entry.models import Ran, RequestFacts, RequestRefusal
from ..entry.protocols import OutgoingRequest, WorkerResponse
from ..entry.response import async_close_response
from ..templates.protocols import Directory, ResolvedService
from .const import CHUNK_BYTES, LAST_FRAMES_SECONDS, MAXIMUM_HOPS
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
    ) -> Result[WorkerResponse, RequestRefusal]:
        """Return the beginning of the answer, or the refusal."""
        ...


class ForwardReceiver:
    """Answer the streams of forwarded requests.

    :param find_entry: returns what serves requests, once it is set up.
    :param find_directory: returns what resolves organisations, once it is set up.
    :param is_leaving: tells whether this entry takes no new work.
    :param clock: returns monotonic seconds.
    """

    def __init__(
        self,
        find_entry: Callable[[], ForwardedRequestServer | None],
        find_directory: Callable[[], Directory | None],
        is_leaving: Callable[[], bool],
        clock: Callable[[], float],
        maximum_deadline_seconds: float,
    ) -> None:
        self._find_entry = find_entry
        self._find_directory = find_directory
        self._is_leaving = is_leaving
        self._clock = clock
        self._maximum_deadline_seconds = maximum_deadline_seconds
        self._codec = MsgpackCodec()
        self._running = 0
        self._idle: anyio.Event | None = None

    async def async_wait_idle(self) -> None:
        """Wait until no forwarded request is being served; each has its deadline."""
        if self._running:
            self._idle = anyio.Event()
            await self._idle.wait()

    async def async_answer(self, stream: Any) -> None:
        """Answer one stream."""
        self._running += 1
        try:
            await self._async_answer(stream)
        finally:
            self._running -= 1
            if self._idle is not None and not self._running:
                self._idle.set()

    async def _async_answer(self, stream: Any) -> None:
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
        if self._is_leaving():
            await self._async_refuse(stream, "leaving", Ran.NO)
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
        await _async_wait_taken(stream, facts.deadline - self._clock())

    def _facts(self, head: ForwardHead, resolved: ResolvedService) -> RequestFacts:
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
        await _async_wait_taken(stream, 0.0)


async def _async_stream(stream: Any, answer: WorkerResponse) -> None:
    # The last frame is sent only after the worker's body was whole. Otherwise the peer
    # hears that it is cut off, and its caller gets an error, never a short success.
    await _async_write(
        stream, AnswerFrame(head=AnswerHead(answer.status, answer.headers))
    )
    try:
        whole = await _async_copy(stream, answer.chunks)
    finally:
        # A caller that went away ends this stream in the middle; the worker's
        # connection has to be given up with it, or it stays open till its deadline.
        await async_close_response(answer)
    await _async_write(stream, AnswerFrame(last=whole, cut=not whole))


async def _async_copy(stream: Any, chunks: AsyncIterator[bytes]) -> bool:
    while True:
        try:
            chunk = await anext(chunks, None)
        except Exception as error:
            _LOGGER.warning("forwarded_answer_cut", error=type(error).__name__)
            return False
        if chunk is None:
            return True
        for start in range(0, len(chunk), CHUNK_BYTES):
            piece = bytes(chunk[start : start + CHUNK_BYTES])
            await _async_write(stream, AnswerFrame(chunk=piece))


async def _async_wait_taken(stream: Any, remaining: float) -> None:
    # The peer ends the stream when it has the whole answer. If this entry closed the
    # connection before, grpclib would throw away what the peer has not read yet, and
    # a planned stop would cut answers off.
    with anyio.move_on_after(max(0.0, remaining) + LAST_FRAMES_SECONDS):
        while await stream._stream.recv_data(1):
            pass


async def _async_write(stream: Any, frame: AnswerFrame) -> None:
    await stream.send_message(msgspec.Raw(msgspec.msgpack.encode(frame)))
