"""Serve requests that other entries forward to this one."""

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
from .const import CHUNK_BYTES, END_OF_STREAM_TIMEOUT_SECONDS, MAX_HOPS
from .exceptions import PeerBodyTruncatedError, PeerMessageError
from .framing import async_receive_bytes
from .models import (
    ForwardHead,
    ForwardRefusal,
    RequestFrame,
    ResponseFrame,
    ResponseHead,
)

_LOGGER = get_logger(__name__)


class ForwardedRequestServer(Protocol):
    """Serve a request that another entry received."""

    async def async_serve(
        self, facts: RequestFacts, request: OutgoingRequest
    ) -> Result[WorkerResponse, RequestRefusal]:
        """Return the response with its body still to be streamed, or the refusal."""
        ...


class ForwardReceiver:
    """Handle the streams of forwarded requests.

    :param find_entry: returns the server of requests, or ``None`` before its setup.
    :param find_directory: returns the directory, or ``None`` before its setup.
    :param is_leaving: returns whether this entry accepts no new requests.
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
        self._active_requests = 0
        self._idle: anyio.Event | None = None

    async def async_wait_idle(self) -> None:
        """Wait until all forwarded requests are done; each one has a deadline."""
        if self._active_requests:
            self._idle = anyio.Event()
            await self._idle.wait()

    async def async_answer(self, stream: Any) -> None:
        """Handle the stream of one forwarded request."""
        self._active_requests += 1
        try:
            await self._async_handle(stream)
        finally:
            self._active_requests -= 1
            if self._idle is not None and not self._active_requests:
                self._idle.set()

    async def _async_handle(self, stream: Any) -> None:
        try:
            first = await self._async_receive_frame(stream)
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
        if head.hops > MAX_HOPS or not head.remaining_seconds > 0:
            await self._async_refuse(stream, "forward-refused", Ran.NO)
            return
        resolved = directory.resolve(head.organisation, head.service)
        if isinstance(resolved, Failure):
            refusal = resolved.failure()
            await self._async_refuse(stream, refusal.code, refusal.ran, refusal.detail)
            return
        facts = self._build_facts(head, resolved.unwrap())
        request = OutgoingRequest(
            head.method, head.target, head.headers, self._get_body(stream, first)
        )
        result = await entry.async_serve(facts, request)
        if isinstance(result, Failure):
            refusal = result.failure()
            await self._async_refuse(stream, refusal.code, refusal.ran, refusal.detail)
            return
        await _async_send_response(stream, result.unwrap())
        await _async_wait_until_received(stream, facts.deadline - self._clock())

    def _build_facts(
        self, head: ForwardHead, resolved: ResolvedService
    ) -> RequestFacts:
        # The sender's configuration may be older or newer and its clocks are unrelated:
        # only names and a duration are taken from it, the rest is looked up here.
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

    def _get_body(
        self, stream: Any, first: RequestFrame
    ) -> bytes | AsyncIterator[bytes]:
        if first.last:
            return first.chunk
        return self._async_read_chunks(stream, first)

    async def _async_read_chunks(
        self, stream: Any, first: RequestFrame
    ) -> AsyncIterator[bytes]:
        if first.chunk:
            yield first.chunk
        while True:
            frame = await self._async_receive_frame(stream)
            if frame is None:
                raise PeerBodyTruncatedError()
            if frame.chunk:
                yield frame.chunk
            if frame.last:
                return

    async def _async_receive_frame(self, stream: Any) -> RequestFrame | None:
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
        await _async_send_frame(stream, ResponseFrame(refusal=refusal, last=True))
        await _async_wait_until_received(stream, 0.0)


async def _async_send_response(stream: Any, response: WorkerResponse) -> None:
    # ``last`` is set only after the worker's complete body. Otherwise the peer is told
    # that the response is truncated, and its caller gets an error, not a short success.
    await _async_send_frame(
        stream, ResponseFrame(head=ResponseHead(response.status, response.headers))
    )
    try:
        complete = await _async_send_chunks(stream, response.chunks)
    finally:
        # A caller that disconnects ends this stream early. The worker's connection has
        # to be closed with it, or it stays open until the deadline.
        await async_close_response(response)
    await _async_send_frame(stream, ResponseFrame(last=complete, cut=not complete))


async def _async_send_chunks(stream: Any, chunks: AsyncIterator[bytes]) -> bool:
    while True:
        try:
            chunk = await anext(chunks, None)
        except Exception as error:
            _LOGGER.warning("forwarded_response_truncated", error=type(error).__name__)
            return False
        if chunk is None:
            return True
        for start in range(0, len(chunk), CHUNK_BYTES):
            part = bytes(chunk[start : start + CHUNK_BYTES])
            await _async_send_frame(stream, ResponseFrame(chunk=part))


async def _async_wait_until_received(stream: Any, remaining: float) -> None:
    # The peer ends the stream once it has the complete response. If this entry closed
    # the connection earlier, grpclib would discard the data that the peer has not read
    # yet, and a planned stop would truncate responses.
    with anyio.move_on_after(max(0.0, remaining) + END_OF_STREAM_TIMEOUT_SECONDS):
        while await stream._stream.recv_data(1):
            pass


async def _async_send_frame(stream: Any, frame: ResponseFrame) -> None:
    await stream.send_message(msgspec.Raw(msgspec.msgpack.encode(frame)))
