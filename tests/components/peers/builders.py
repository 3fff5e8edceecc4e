"""Provide builders and fakes for peers connected over loopback."""

from __future__ import annotations

import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

from returns.result import Failure, Result, Success

from mustardward.components.entry.models import (
    Ran,
    RequestFacts,
    RequestRefusal,
)
from mustardward.components.entry.protocols import OutgoingRequest, WorkerResponse
from mustardward.components.membership.models import Member, MemberStatus
from mustardward.components.peers.grpc_peers import GrpcPeers
from mustardward.components.peers.protocols import peer_message
from mustardward.components.peers.receiver import ForwardReceiver
from mustardward.components.peers.tls import (
    create_client_context,
    create_server_context,
)
from mustardward.components.templates.protocols import ResolvedService
from mustardward.settings.models import TlsSettings
from mustardward.state.models.templates import (
    Organisation,
    Overrides,
    Parameters,
    ServiceBinding,
    Urgency,
)

CALL_TIMEOUT_SECONDS = 20.0
"""Timeout of calls that have to succeed even on a busy machine."""

PARAMETERS = Parameters(
    services=(ServiceBinding("orders", "brass", Urgency.URGENT),),
    urgency=Urgency.URGENT,
)


@dataclass(frozen=True, slots=True)
class EchoReply:
    """Reply to an echo request."""

    sender: str
    text: str


@peer_message("test.echo", EchoReply)
@dataclass(frozen=True, slots=True)
class Echo:
    """Request the same text in the reply."""

    text: str
    size: int = 0


def build_member(
    name: str, address: str = "127.0.0.1:1", data_centre: str = "tas-1"
) -> Member:
    return Member(name, data_centre, address, 1, MemberStatus.ALIVE)


def build_facts(
    hops: int = 0, remaining: float = 5.0, idempotent: bool = False
) -> RequestFacts:
    now = time.monotonic()
    return RequestFacts(
        request_id="request-1",
        organisation="derwent",
        service="orders",
        pool="stale-pool",
        parameters=Parameters(),
        urgency=Urgency.LONG,
        idempotent=idempotent,
        arrived=now,
        deadline=now + remaining,
        idempotency_key="key-1",
        request_digest="digest-1",
        hops=hops,
    )


def build_request(body: bytes | AsyncIterator[bytes] = b"") -> OutgoingRequest:
    headers = ((b"content-type", b"text/plain"),)
    return OutgoingRequest("POST", "/orders?x=1", headers, body)


class FixedDirectory:
    """Resolve one organisation with one service."""

    def resolve(
        self, organisation: str, service: str
    ) -> Result[ResolvedService, RequestRefusal]:
        if (organisation, service) != ("derwent", "orders"):
            return Failure(RequestRefusal("unknown-service", 404, Ran.NO, ""))
        found = Organisation("derwent", "t", 1, 1, Overrides(), PARAMETERS)
        return Success(ResolvedService(found, PARAMETERS.services[0]))


@dataclass(eq=False)
class RecordingEntry:
    """Serve forwarded requests with a configured response and record them."""

    refusal: RequestRefusal | None = None
    chunks: tuple[bytes, ...] = (b"one", b"two")
    fails_after_chunks: int | None = None
    served: list[tuple[RequestFacts, OutgoingRequest, bytes]] = field(
        default_factory=list
    )

    async def async_serve(
        self, facts: RequestFacts, request: OutgoingRequest
    ) -> Result[WorkerResponse, RequestRefusal]:
        body = request.body
        complete = (
            body if isinstance(body, bytes) else b"".join([c async for c in body])
        )
        self.served.append((facts, request, complete))
        if self.refusal is not None:
            return Failure(self.refusal)
        return Success(WorkerResponse(201, ((b"x-a", b"b"),), self._chunks()))

    async def _chunks(self) -> AsyncIterator[bytes]:
        for index, chunk in enumerate(self.chunks):
            if index == self.fails_after_chunks:
                raise ConnectionResetError
            yield chunk


@asynccontextmanager
async def running_peers(
    name: str,
    entry: RecordingEntry | None = None,
    tls: TlsSettings | None = None,
    leaving: bool = False,
) -> AsyncIterator[GrpcPeers]:
    receiver = ForwardReceiver(
        lambda: entry, FixedDirectory, lambda: leaving, time.monotonic, 300.0
    )
    context = create_client_context(tls) if tls else None
    peers = GrpcPeers(name, receiver, time.monotonic, context)
    await peers.async_start("127.0.0.1", 0, create_server_context(tls) if tls else None)
    try:
        yield peers
    finally:
        await peers.async_stop()
