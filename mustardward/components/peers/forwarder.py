"""Forward a caller's request to another entry and stream the response back."""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack
from typing import Any

import anyio
import msgspec
from grpclib.const import Cardinality
from grpclib.exceptions import GRPCError
from returns.result import Failure, Result, Success

from ...exceptions import PeerError
from ...helpers.peer_cancellation import uncancel_on_error
from ...helpers.peer_channels import ChannelPool, Purpose
from ..entry.models import AttemptOutcome, Ran, RequestFacts
from ..entry.protocols import FailedAttempt, OutgoingRequest, WorkerResponse
from ..membership.models import Member
from .client import convert_grpc_error
from .const import CHUNK_BYTES, FORWARD_PATH, MAX_HOPS, METADATA_SENDER
from .exceptions import PeerMessageError, PeerRefusedError
from .models import ForwardHead, ForwardRefusal, RequestFrame
from .response import STREAM_ERRORS, ResponseChunks, async_close_stream


class Forwarder:
    """Forward requests to other entries.

    :param clock: returns monotonic seconds.
    """

    def __init__(
        self, sender: str, channels: ChannelPool, clock: Callable[[], float]
    ) -> None:
        self._sender = sender
        self._channels = channels
        self._clock = clock

    async def async_forward(
        self, member: Member, facts: RequestFacts, request: OutgoingRequest
    ) -> Result[WorkerResponse, FailedAttempt]:
        """Forward a request and return once the response's head has arrived."""
        if facts.hops >= MAX_HOPS:
            return _build_failure(AttemptOutcome.NOT_SENT, "too-many-hops")
        remaining = facts.deadline - self._clock()
        if remaining <= 0:
            return _build_failure(AttemptOutcome.NOT_SENT, "deadline-exceeded")
        stack = AsyncExitStack()
        try:
            with uncancel_on_error():
                stream = await self._async_open(member, facts.deadline, stack)
        except PeerError as error:
            await async_close_stream(None, stack)
            return _build_failure(AttemptOutcome.NOT_SENT, error.code)
        except STREAM_ERRORS as error:
            await async_close_stream(None, stack)
            return _build_failure(AttemptOutcome.NOT_SENT, type(error).__name__)
        except BaseException:
            await async_close_stream(None, stack)
            raise
        chunks = ResponseChunks(stream, stack, facts.deadline, self._clock)
        try:
            response = await self._async_exchange(member, chunks, facts, request)
        except BaseException:
            await chunks.aclose()
            raise
        if isinstance(response, Failure):
            await chunks.aclose()
        return response

    async def _async_open(
        self, member: Member, deadline: float, stack: AsyncExitStack
    ) -> Any:
        lease = await self._channels.async_acquire(member.address, Purpose.FORWARD)
        stack.callback(lease.release)
        stream = await stack.enter_async_context(
            lease.channel.request(
                FORWARD_PATH,
                Cardinality.STREAM_STREAM,
                RequestFrame,
                msgspec.Raw,
                metadata={METADATA_SENDER: self._sender},
            )
        )
        try:
            with anyio.fail_after(deadline - self._clock()):
                await stream.send_request()
        except STREAM_ERRORS:
            lease.retire()
            raise
        return stream

    async def _async_exchange(
        self,
        member: Member,
        chunks: ResponseChunks,
        facts: RequestFacts,
        request: OutgoingRequest,
    ) -> Result[WorkerResponse, FailedAttempt]:
        # Once the first byte of the head is sent, the peer may dispatch the request,
        # although the stream fails: only an explicit refusal means "not run".
        try:
            remaining = facts.deadline - self._clock()
            with uncancel_on_error(), anyio.fail_after(remaining):
                await _async_send_request(
                    chunks.stream, _build_head(facts, request, remaining), request.body
                )
                frame = await chunks.async_receive_frame()
        except GRPCError as error:
            return _build_failure(*_classify_error(error, member))
        except STREAM_ERRORS as error:
            return _build_failure(AttemptOutcome.UNKNOWN, type(error).__name__)
        if frame.refusal is not None:
            return _convert_refusal(frame.refusal)
        if frame.head is None:
            return _build_failure(AttemptOutcome.UNKNOWN, PeerMessageError.code)
        chunks.push_back(frame)
        return Success(WorkerResponse(frame.head.status, frame.head.headers, chunks))


async def _async_send_request(
    stream: Any, head: ForwardHead, body: bytes | AsyncIterator[bytes]
) -> None:
    if isinstance(body, bytes) and len(body) <= CHUNK_BYTES:
        frame = RequestFrame(head=head, chunk=body, last=True)
        await stream.send_message(frame)
        return
    await stream.send_message(RequestFrame(head=head))
    async for chunk in _split_into_chunks(body):
        await stream.send_message(RequestFrame(chunk=chunk))
    await stream.send_message(RequestFrame(last=True))


async def _split_into_chunks(
    body: bytes | AsyncIterator[bytes],
) -> AsyncIterator[bytes]:
    if isinstance(body, bytes):
        for start in range(0, len(body), CHUNK_BYTES):
            yield body[start : start + CHUNK_BYTES]
        return
    async for chunk in body:
        for start in range(0, len(chunk), CHUNK_BYTES):
            yield chunk[start : start + CHUNK_BYTES]


def _build_head(
    facts: RequestFacts, request: OutgoingRequest, remaining: float
) -> ForwardHead:
    return ForwardHead(
        request_id=facts.request_id,
        organisation=facts.organisation,
        service=facts.service,
        method=request.method,
        target=request.target,
        headers=request.headers,
        remaining_seconds=remaining,
        hops=facts.hops + 1,
        idempotent=facts.idempotent,
        idempotency_key=facts.idempotency_key,
        request_digest=facts.request_digest,
    )


def _classify_error(error: GRPCError, member: Member) -> tuple[AttemptOutcome, str]:
    failure = convert_grpc_error(error, member)
    if isinstance(failure, PeerRefusedError):
        return AttemptOutcome.REFUSED, error.message or failure.code
    return AttemptOutcome.UNKNOWN, failure.code


def _convert_refusal(refusal: ForwardRefusal) -> Failure[FailedAttempt]:
    if refusal.ran == Ran.NO:
        return _build_failure(AttemptOutcome.REFUSED, refusal.code)
    return _build_failure(AttemptOutcome.UNKNOWN, refusal.code)


def _build_failure(outcome: AttemptOutcome, cause: str) -> Failure[FailedAttempt]:
    return Failure(FailedAttempt(outcome, cause))
