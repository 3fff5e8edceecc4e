"""Test forwarded requests over loopback connections."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

import anyio
import pytest
from returns.result import Failure, Result, Success

from mustardward.components.entry.models import (
    AttemptOutcome,
    Ran,
    RequestFacts,
    RequestRefusal,
)
from mustardward.components.entry.protocols import (
    FailedAttempt,
    OutgoingRequest,
    WorkerResponse,
)
from mustardward.components.peers.const import MAX_HOPS
from mustardward.components.peers.exceptions import PeerResponseTruncatedError
from mustardward.helpers import peer_channels as channels
from mustardward.state.models.templates import Urgency

from .builders import (
    PARAMETERS,
    RecordingEntry,
    build_facts,
    build_member,
    build_request,
    running_peers,
)

pytestmark = pytest.mark.anyio


async def _async_forward(
    entry: RecordingEntry, facts: RequestFacts, request: OutgoingRequest
) -> Result[WorkerResponse, FailedAttempt]:
    async with running_peers("a") as a, running_peers("b", entry) as b:
        result = await a.async_forward(build_member("b", b.address), facts, request)
        if isinstance(result, Success):
            response = result.unwrap()
            response.chunks = _iterate([chunk async for chunk in response.chunks])
        return result


async def _iterate(chunks: list[bytes]) -> AsyncIterator[bytes]:
    for chunk in chunks:
        yield chunk


async def test_response_is_streamed_back_completely() -> None:
    entry = RecordingEntry(chunks=(b"x" * 200_000, b"", b"end"))
    result = await _async_forward(entry, build_facts(), build_request(b"body"))
    response = result.unwrap()
    assert (response.status, response.headers) == (201, ((b"x-a", b"b"),))
    assert b"".join([c async for c in response.chunks]) == b"x" * 200_000 + b"end"


async def test_facts_are_resolved_by_the_receiver() -> None:
    """Guard against a request that runs in a wrong pool or times out at once.

    The sender may have an older configuration and another boot time, so its pool,
    parameters and absolute deadline do not apply at the receiver.
    """
    entry = RecordingEntry()
    await _async_forward(entry, build_facts(remaining=30.0), build_request(b"body"))
    facts, request, body = entry.served[0]
    assert (facts.pool, facts.parameters, facts.urgency) == (
        "brass",
        PARAMETERS,
        Urgency.URGENT,
    )
    assert 20.0 < facts.deadline - facts.arrived <= 30.0
    assert (facts.hops, facts.idempotent, facts.idempotency_key) == (1, False, "key-1")
    assert (request.method, request.target, body) == ("POST", "/orders?x=1", b"body")


async def test_body_is_streamed_to_the_receiver() -> None:
    entry = RecordingEntry()
    body = _iterate([b"a" * 100_000, b"", b"b"])
    result = await _async_forward(entry, build_facts(), build_request(body))
    assert isinstance(result, Success)
    assert entry.served[0][2] == b"a" * 100_000 + b"b"


@pytest.mark.parametrize(
    ("ran", "outcome"),
    [
        (Ran.NO, AttemptOutcome.REFUSED),
        (Ran.UNKNOWN, AttemptOutcome.UNKNOWN),
        (Ran.YES, AttemptOutcome.UNKNOWN),
    ],
)
async def test_refusal_keeps_its_execution_state(
    ran: Ran, outcome: AttemptOutcome
) -> None:
    entry = RecordingEntry(refusal=RequestRefusal("queue-full", 503, ran, "full"))
    result = await _async_forward(entry, build_facts(), build_request())
    assert result == Failure(FailedAttempt(outcome, "queue-full"))


async def test_unreachable_peer_means_not_sent() -> None:
    async with running_peers("a") as a:
        result = await a.async_forward(
            build_member("b", "127.0.0.1:1"), build_facts(), build_request()
        )
    assert result.failure().outcome is AttemptOutcome.NOT_SENT


@pytest.mark.parametrize(
    "facts", [build_facts(hops=MAX_HOPS), build_facts(remaining=-1.0)]
)
async def test_hops_and_deadline_are_checked_before_sending(
    facts: RequestFacts,
) -> None:
    entry = RecordingEntry()
    result = await _async_forward(entry, facts, build_request())
    assert result.failure().outcome is AttemptOutcome.NOT_SENT
    assert not entry.served


async def test_peer_without_entry_refuses_as_not_run() -> None:
    async with running_peers("a") as a, running_peers("b", None) as b:
        result = await a.async_forward(
            build_member("b", b.address), build_facts(), build_request()
        )
    assert result == Failure(FailedAttempt(AttemptOutcome.REFUSED, "not-ready"))


async def test_leaving_peer_refuses_as_not_run() -> None:
    entry = RecordingEntry()
    async with running_peers("a") as a, running_peers("b", entry, leaving=True) as b:
        result = await a.async_forward(
            build_member("b", b.address), build_facts(), build_request()
        )
    assert result == Failure(FailedAttempt(AttemptOutcome.REFUSED, "leaving"))
    assert entry.served == []


async def test_unload_waits_for_the_end_of_a_response() -> None:
    """Guard against responses truncated by a planned stop.

    The entry has drained and is unloaded while the last frames of a forwarded response
    are written; its server must not close before the peer has received them.
    """

    class SlowEntry(RecordingEntry):
        async def _chunks(self) -> AsyncIterator[bytes]:
            yield b"one"
            stopping.set()
            await anyio.sleep(0.1)
            yield b"two"

    async def async_read(response: WorkerResponse) -> None:
        await anyio.sleep(0.2)
        received.extend([chunk async for chunk in response.chunks])

    received: list[bytes] = []
    stopping = anyio.Event()
    async with running_peers("a") as a:
        async with running_peers("b", SlowEntry()) as b:
            member = build_member("b", b.address)
            result = await a.async_forward(member, build_facts(), build_request())
            await stopping.wait()
            reader = anyio.create_task_group()
            await reader.__aenter__()
            reader.start_soon(async_read, result.unwrap())
        await reader.__aexit__(None, None, None)
    assert received == [b"one", b"two"]


async def test_truncated_response_is_never_a_short_success() -> None:
    """Guard against a caller that gets half a body with status 201.

    The worker's connection breaks at the peer, and the peer's stream ends. The end of
    the stream alone does not mean that the response is complete.
    """
    entry = RecordingEntry(fails_after_chunks=1)
    with pytest.raises(PeerResponseTruncatedError):
        await _async_forward(entry, build_facts(), build_request())


async def test_peer_lost_after_sending_leaves_the_outcome_unknown() -> None:
    """Guard against a request that runs twice.

    The peer dispatches the request and is killed before it responds. If the broken
    connection counted as "not sent", the sender would retry elsewhere.
    """

    class HangingEntry(RecordingEntry):
        async def async_serve(
            self, facts: RequestFacts, request: OutgoingRequest
        ) -> Result[WorkerResponse, RequestRefusal]:
            started.set()
            await anyio.sleep(30)
            return await super().async_serve(facts, request)

    started = anyio.Event()
    results: list[Result[WorkerResponse, FailedAttempt]] = []
    async with running_peers("a") as a:
        async with running_peers("b", HangingEntry()) as b:
            member = build_member("b", b.address)

            async def async_one() -> None:
                request = build_request(b"order")
                results.append(await a.async_forward(member, build_facts(), request))

            group = anyio.create_task_group()
            await group.__aenter__()
            group.start_soon(async_one)
            await started.wait()
            await b._server.async_stop()
        await group.__aexit__(None, None, None)
    assert results[0].failure().outcome is AttemptOutcome.UNKNOWN


async def test_unresponsive_peer_leaves_the_outcome_unknown() -> None:
    class UnresponsiveEntry(RecordingEntry):
        async def async_serve(
            self, facts: RequestFacts, request: OutgoingRequest
        ) -> Result[WorkerResponse, RequestRefusal]:
            await anyio.sleep(30)
            return await super().async_serve(facts, request)

    facts = build_facts(remaining=1.0)
    result = await _async_forward(UnresponsiveEntry(), facts, build_request())
    assert result.failure().outcome is AttemptOutcome.UNKNOWN


async def test_disconnected_caller_ends_the_workers_response() -> None:
    """Guard against workers that run out of connections.

    A caller of another data centre disconnects during a long response. The connection
    to the worker has to be closed as well as the stream between the entries.
    """

    class EndlessEntry(RecordingEntry):
        async def _chunks(self) -> AsyncIterator[bytes]:
            try:
                while True:
                    yield b"x" * 1000
                    await anyio.sleep(0.001)
            finally:
                ended.set()

    ended = anyio.Event()
    async with running_peers("a") as a, running_peers("b", EndlessEntry()) as b:
        member = build_member("b", b.address)
        response = (
            await a.async_forward(member, build_facts(), build_request())
        ).unwrap()
        assert await anext(response.chunks)
        await response.chunks.aclose()  # type: ignore[attr-defined]
        with anyio.fail_after(30):
            await ended.wait()


async def test_reading_after_an_early_close_raises() -> None:
    """Guard against a truncated response with status 200.

    A deadline closes the response while it is streamed, and the reader asks for the
    next chunk. The end of the iteration must not mean "closed" as well as "complete".
    """
    entry = RecordingEntry()
    async with running_peers("a") as a, running_peers("b", entry) as b:
        member = build_member("b", b.address)
        response = (
            await a.async_forward(member, build_facts(), build_request())
        ).unwrap()
        await response.chunks.aclose()  # type: ignore[attr-defined]
        with pytest.raises(PeerResponseTruncatedError):
            await anext(response.chunks)


async def test_dead_connection_is_closed_by_keepalive(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guard against requests to one entry that all time out for minutes.

    A firewall drops the state of the connection and its packets. TCP considers it open
    until its retransmissions give up, so keepalive pings have to detect it earlier.
    """
    monkeypatch.setattr(channels, "KEEPALIVE_SECONDS", 0.1)
    monkeypatch.setattr(channels, "KEEPALIVE_TIMEOUT_SECONDS", 0.1)

    async def async_discard(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while await reader.read(65536):
            pass
        writer.close()

    blackhole = await asyncio.start_server(async_discard, "127.0.0.1", 0)
    host, port = blackhole.sockets[0].getsockname()
    async with running_peers("a") as a:
        member = build_member("b", f"{host}:{port}")
        with anyio.fail_after(30):
            facts = build_facts(remaining=60.0)
            result = await a.async_forward(member, facts, build_request())
    blackhole.close()
    assert result.failure().outcome is AttemptOutcome.UNKNOWN
