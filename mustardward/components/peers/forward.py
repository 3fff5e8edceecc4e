"""Forward a caller's request to another entry and stream the answer back."""

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
from ...helpers.peer_channels import ChannelPool, Purpose
from ..entry.models import AttemptOutcome, Ran, RequestFacts
from ..entry.protocols import FailedAttempt, OutgoingRequest, WorkerResponse
from ..membership.models import Member
from .answer import STREAM_FAILURES, AnswerChunks, async_close_stream
from .cancellation import settled_cancellations
from .client import translate_status
from .const import CHUNK_BYTES, FORWARD_PATH, MAXIMUM_HOPS, METADATA_SENDER
from .exceptions import PeerMessageError, PeerRefusedError
from .models import ForwardHead, ForwardRefusal, RequestFrame


class Forwarder:
    """Open forwarded requests.

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
        """Let another entry serve a request; return when the answer's head is there."""
        if facts.hops >= MAXIMUM_HOPS:
            return _failed(AttemptOutcome.NOT_SENT, "too-many-hops")
        remaining = facts.deadline - self._clock()
        if remaining <= 0:
            return _failed(AttemptOutcome.NOT_SENT, "deadline-exceeded")
        stack = AsyncExitStack()
        try:
            with settled_cancellations():
                stream = await self._async_open(member, facts.deadline, stack)
        except PeerError as error:
            await async_close_stream(None, stack)
            return _failed(AttemptOutcome.NOT_SENT, error.code)
        except STREAM_FAILURES as error:
            await async_close_stream(None, stack)
            return _failed(AttemptOutcome.NOT_SENT, type(error).__name__)
        except BaseException:
            await async_close_stream(None, stack)
            raise
        chunks = AnswerChunks(stream, stack, facts.deadline, self._clock)
        try:
            answer = await self._async_exchange(member, chunks, facts, request)
        except BaseException:
            await chunks.aclose()
            raise
        if isinstance(answer, Failure):
            await chunks.aclose()
        return answer

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
        except STREAM_FAILURES:
            lease.retire()
            raise
        return stream

    async def _async_exchange(
        self,
        member: Member,
        chunks: AnswerChunks,
        facts: RequestFacts,
        request: OutgoingRequest,
    ) -> Result[WorkerResponse, FailedAttempt]:
        # From the first byte of the head on, the peer may have dispatched the request,
        # whatever becomes of the stream: only the peer's own word makes it "not run".
        try:
            remaining = facts.deadline - self._clock()
            with settled_cancellations(), anyio.fail_after(remaining):
                await _async_send(
                    chunks.stream, _head(facts, request, remaining), request.body
                )
                frame = await chunks.async_receive()
        except GRPCError as error:
            return _failed(*_judge(error, member))
        except STREAM_FAILURES as error:
            return _failed(AttemptOutcome.UNKNOWN, type(error).__name__)
        if frame.refusal is not None:
            return _refused(frame.refusal)
        if frame.head is None:
            return _failed(AttemptOutcome.UNKNOWN, PeerMessageError.code)
        chunks.put_back(frame)
        return Success(WorkerResponse(frame.head.status, frame.head.headers, chunks))


async def _async_send(
    stream: Any, head: ForwardHead, body: bytes | AsyncIterator[bytes]
) -> None:
    if isinstance(body, bytes) and len(body) <= CHUNK_BYTES:
        frame = RequestFrame(head=head, chunk=body, last=True)
        await stream.send_message(frame)
        return
    await stream.send_message(RequestFrame(head=head))
    async for chunk in _pieces(body):
        await stream.send_message(RequestFrame(chunk=chunk))
    await stream.send_message(RequestFrame(last=True))


async def _pieces(body: bytes | AsyncIterator[bytes]) -> AsyncIterator[bytes]:
    if isinstance(body, bytes):
        for start in range(0, len(body), CHUNK_BYTES):
            yield body[start : start + CHUNK_BYTES]
        return
    async for chunk in body:
        for start in range(0, len(chunk), CHUNK_BYTES):
            yield chunk[start : start + CHUNK_BYTES]


def _head(
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


def _judge(error: GRPCError, member: Member) -> tuple[AttemptOutcome, str]:
    failure = translate_status(error, member)
    if isinstance(failure, PeerRefusedError):
        return AttemptOutcome.REFUSED, error.message or failure.code
    return AttemptOutcome.UNKNOWN, failure.code


def _refused(refusal: ForwardRefusal) -> Failure[FailedAttempt]:
    if refusal.ran == Ran.NO:
        return _failed(AttemptOutcome.REFUSED, refusal.code)
    return _failed(AttemptOutcome.UNKNOWN, refusal.code)


def _failed(outcome: AttemptOutcome, cause: str) -> Failure[FailedAttempt]:
    return Failure(FailedAttempt(outcome, cause))
