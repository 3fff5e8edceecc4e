"""Check forwarded requests over real loopback connections."""

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
from mustardward.components.peers.const import MAXIMUM_HOPS
from mustardward.components.peers.exceptions import PeerAnswerTruncatedError
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
            answer = result.unwrap()
            answer.chunks = _whole([chunk async for chunk in answer.chunks])
        return result


async def _whole(chunks: list[bytes]) -> AsyncIterator[bytes]:
    for chunk in chunks:
        yield chunk


async def test_answer_is_streamed_back_whole() -> None:
    entry = RecordingEntry(chunks=(b"x" * 200_000, b"", b"end"))
    result = await _async_forward(entry, build_facts(), build_request(b"body"))
    answer = result.unwrap()
    assert (answer.status, answer.headers) == (201, ((b"x-a", b"b"),))
    assert b"".join([c async for c in answer.chunks]) == b"x" * 200_000 + b"end"


async def test_facts_are_derived_anew_at_the_receiver() -> None:
    """Serve by the receiver's configuration and clock, never by the sender's.

    Symptom: a forwarded request runs in a pool it may no longer use, or times out at
    once. Sequence: an entry with an older configuration and another boot time forwards
    it. Cause: pool, parameters and deadline taken over as they came.
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
    body = _whole([b"a" * 100_000, b"", b"b"])
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
async def test_refusal_keeps_its_claim(ran: Ran, outcome: AttemptOutcome) -> None:
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
    "facts", [build_facts(hops=MAXIMUM_HOPS), build_facts(remaining=-1.0)]
)
async def test_hops_and_deadline_are_checked_before_sending(
    facts: RequestFacts,
) -> None:
    entry = RecordingEntry()
    result = await _async_forward(entry, facts, build_request())
    assert result.failure().outcome is AttemptOutcome.NOT_SENT
    assert not entry.served


async def test_peer_without_entry_says_not_run() -> None:
    async with running_peers("a") as a, running_peers("b", None) as b:
        result = await a.async_forward(
            build_member("b", b.address), build_facts(), build_request()
        )
    assert result == Failure(FailedAttempt(AttemptOutcome.REFUSED, "not-ready"))


async def test_leaving_peer_says_not_run() -> None:
    entry = RecordingEntry()
    async with running_peers("a") as a, running_peers("b", entry, leaving=True) as b:
        result = await a.async_forward(
            build_member("b", b.address), build_facts(), build_request()
        )
    assert result == Failure(FailedAttempt(AttemptOutcome.REFUSED, "leaving"))
    assert entry.served == []


async def test_unload_lets_an_answer_come_to_its_end() -> None:
    """Cut no forwarded answer off at a planned stop.

    Symptom: a caller of another data centre gets half an answer during a release.
    Sequence: the entry has drained and is unloaded while the last frames are written.
    Cause: the server closed at once.
    """

    class SlowEntry(RecordingEntry):
        async def _chunks(self) -> AsyncIterator[bytes]:
            yield b"one"
            stopping.set()
            await anyio.sleep(0.1)
            yield b"two"

    async def async_read(answer: WorkerResponse) -> None:
        await anyio.sleep(0.2)
        whole.extend([chunk async for chunk in answer.chunks])

    whole: list[bytes] = []
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
    assert whole == [b"one", b"two"]


async def test_answer_cut_off_is_never_a_short_success() -> None:
    """Raise when the peer's worker ended its answer too early.

    Symptom: a caller gets half a batch record under status 201. Sequence: the worker's
    connection breaks behind the peer, the peer's stream ends. Cause: the end of the
    stream taken for the end of the answer.
    """
    entry = RecordingEntry(broken_after=1)
    with pytest.raises(PeerAnswerTruncatedError):
        await _async_forward(entry, build_facts(), build_request())


async def test_peer_lost_after_sending_leaves_the_outcome_unknown() -> None:
    """Never call a request "not run" whose head has left.

    Symptom: a turning order runs twice. Sequence: the peer dispatches the request and
    is killed before it answers; the sender tries elsewhere. Cause: a broken connection
    taken for "not sent".
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


async def test_deadline_ends_a_silent_peer_with_unknown() -> None:
    class SilentEntry(RecordingEntry):
        async def async_serve(
            self, facts: RequestFacts, request: OutgoingRequest
        ) -> Result[WorkerResponse, RequestRefusal]:
            await anyio.sleep(30)
            return await super().async_serve(facts, request)

    facts = build_facts(remaining=1.0)
    result = await _async_forward(SilentEntry(), facts, build_request())
    assert result.failure().outcome is AttemptOutcome.UNKNOWN


async def test_caller_that_goes_away_ends_the_workers_answer() -> None:
    """Give the worker's connection up with the caller's.

    Symptom: workers run out of connections. Sequence: a caller of another data centre
    goes away in the middle of a long answer. Cause: only the stream between the entries
    ending with it.
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
        answer = (
            await a.async_forward(member, build_facts(), build_request())
        ).unwrap()
        assert await anext(answer.chunks)
        await answer.chunks.aclose()  # type: ignore[attr-defined]
        with anyio.fail_after(30):
            await ended.wait()


async def test_answer_closed_in_the_middle_does_not_end_plainly() -> None:
    """Raise when somebody reads on after a close.

    Symptom: a short answer under status 200. Sequence: a deadline closes the answer
    while it streams, and the reader asks for the next piece. Cause: the end of
    iteration meaning both "whole" and "closed".
    """
    entry = RecordingEntry()
    async with running_peers("a") as a, running_peers("b", entry) as b:
        member = build_member("b", b.address)
        answer = (
            await a.async_forward(member, build_facts(), build_request())
        ).unwrap()
        await answer.chunks.aclose()  # type: ignore[attr-defined]
        with pytest.raises(PeerAnswerTruncatedError):
            await anext(answer.chunks)


async def test_connection_that_leads_nowhere_is_given_up(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Notice a cut by pings instead of by each request's deadline.

    Symptom: for minutes every request forwarded to one entry ends as unknown at its
    deadline. Sequence: a firewall forgets the connection and drops its packets. Cause:
    TCP takes it for open until its retransmissions give up.
    """
    monkeypatch.setattr(channels, "KEEPALIVE_SECONDS", 0.1)
    monkeypatch.setattr(channels, "KEEPALIVE_TIMEOUT_SECONDS", 0.1)

    async def async_swallow(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while await reader.read(65536):
            pass
        writer.close()

    hole = await asyncio.start_server(async_swallow, "127.0.0.1", 0)
    host, port = hole.sockets[0].getsockname()
    async with running_peers("a") as a:
        member = build_member("b", f"{host}:{port}")
        with anyio.fail_after(30):
            facts = build_facts(remaining=60.0)
            result = await a.async_forward(member, facts, build_request())
    hole.close()
    assert result.failure().outcome is AttemptOutcome.UNKNOWN
