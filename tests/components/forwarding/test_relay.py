"""Test calls to the store through peers, while it turns one entry alone away."""

from __future__ import annotations

from dataclasses import dataclass, field

import anyio
import msgspec
import pytest
from multidict import CIMultiDict, CIMultiDictProxy

from mustardward.components.forwarding.const import (
    MAX_RELAYED_CALLS,
    PROBE_INTERVAL_SECONDS,
    RELAY_METHOD,
    RELAY_PAUSE_SECONDS,
)
from mustardward.components.forwarding.models import (
    PeerReply,
    PeerRequest,
    RelayedCall,
)
from mustardward.components.forwarding.relay import StoreRelay
from mustardward.components.forwarding.services import PeerOutcome
from mustardward.helpers.timer import DrivenTimerService
from mustardward.platform.exceptions import CallRefusedError, CallUnknownError
from mustardward.platform.http import Answer

pytestmark = pytest.mark.anyio

BASE = "http://store:1"
APPEND = RelayedCall("POST", "/append", {"seq": "1"}, b"x", 0.7)
READ = RelayedCall("GET", "/read", {}, None, 5.0, 0.5)
SERVED = Answer(200, b"ok", CIMultiDictProxy(CIMultiDict()))
BUSY = Answer(503, b"", CIMultiDictProxy(CIMultiDict()))
Result = Answer | CallRefusedError | CallUnknownError


@dataclass
class _Http:
    """Answer direct calls as the test says."""

    result: Result = SERVED
    calls: list[str] = field(default_factory=list)

    async def async_call(self, method: str, url: str, **_: object) -> Answer:
        self.calls.append(f"{method} {url}")
        if isinstance(self.result, Answer):
            return self.result
        raise self.result


@dataclass
class _Peers:
    """Answer for all peers as the test says."""

    outcome: PeerOutcome = field(default_factory=lambda: PeerOutcome(None, False))
    asked: list[PeerRequest] = field(default_factory=list)

    async def async_forward(
        self, request: PeerRequest, answer_timeout_seconds: float
    ) -> PeerOutcome:
        self.asked.append(request)
        return self.outcome


@dataclass
class RelayBench:
    """Hold an entry's ways to the store."""

    http: _Http = field(default_factory=_Http)
    peers_http: _Http = field(default_factory=_Http)
    peers: _Peers = field(default_factory=_Peers)
    timers: DrivenTimerService = field(default_factory=DrivenTimerService)
    reached: bool = False
    relay: StoreRelay = field(init=False)

    def __post_init__(self) -> None:
        async def async_probe() -> bool:
            return self.reached

        self.relay = StoreRelay(
            self.http,  # type: ignore[arg-type]
            self.peers_http,  # type: ignore[arg-type]
            BASE,
            self.peers,  # type: ignore[arg-type]
            self.timers,
            async_probe,
        )

    async def async_call(self, call: RelayedCall = APPEND) -> Answer:
        return await self.relay.async_call(
            call.method,
            BASE + call.path,
            timeout_seconds=call.timeout_seconds,
            body=call.body,
            params=call.params,
            silence_seconds=call.silence_seconds,
        )

    def serve_by_peers(self) -> None:
        self.peers.outcome = PeerOutcome(PeerReply(200, b"by peer"), False)


def peer_asks(call: RelayedCall) -> PeerRequest:
    return PeerRequest(RELAY_METHOD, "", "", msgspec.msgpack.encode(call), 1.0)


async def test_with_the_store_no_peer_is_asked() -> None:
    bench = RelayBench()
    assert (await bench.async_call()).body == b"ok"
    assert bench.peers.asked == []


@pytest.mark.parametrize(
    "result", [BUSY, CallRefusedError("cut"), CallUnknownError("silent")]
)
async def test_an_owner_that_the_store_turns_away_appends_through_a_peer(
    result: Result,
) -> None:
    """Renew and store ends by another way, rather than fall silent.

    Symptom: some 35 jobs are late at once, and an owner is deposed. Sequence: the store
    turns the owner alone away; 1.3 s later another entry claims. Cause: the owner knew
    one way to the store.
    """
    bench = RelayBench(_Http(result))
    bench.serve_by_peers()
    assert (await bench.async_call()).body == b"by peer"
    sent = msgspec.msgpack.decode(bench.peers.asked[0].body, type=RelayedCall)
    assert sent == APPEND
    # Each further call would wait for the direct way's timeout first.
    assert (await bench.async_call()).body == b"by peer"
    assert len(bench.http.calls) == 1


async def test_the_direct_way_is_taken_again_once_it_is_open() -> None:
    bench = RelayBench(_Http(BUSY))
    bench.serve_by_peers()
    await bench.async_call()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(bench.relay.async_run)
        await anyio.wait_all_tasks_blocked()
        await bench.timers.async_advance(PROBE_INTERVAL_SECONDS)
        await anyio.wait_all_tasks_blocked()
        assert bench.relay.relaying
        bench.reached = True
        await bench.timers.async_advance(PROBE_INTERVAL_SECONDS)
        await anyio.wait_all_tasks_blocked()
        assert not bench.relay.relaying
        tasks.cancel_scope.cancel()


async def test_in_an_outage_peers_are_not_asked_with_each_retry() -> None:
    bench = RelayBench(_Http(BUSY))
    for _ in range(5):
        assert (await bench.async_call()).status == 503
    assert len(bench.peers.asked) == 1
    bench.timers.pause(RELAY_PAUSE_SECONDS)
    assert (await bench.async_call()).status == 503
    assert len(bench.peers.asked) == 2


async def test_an_append_that_a_peer_may_have_made_is_not_told_as_refused() -> None:
    """Else its caller is told that its job was not taken, though it runs."""
    bench = RelayBench(_Http(BUSY), peers=_Peers(PeerOutcome(None, True)))
    with pytest.raises(CallUnknownError):
        await bench.async_call()


async def test_a_read_that_a_peer_left_unanswered_fails_as_it_did_here() -> None:
    bench = RelayBench(
        _Http(CallRefusedError("cut")), peers=_Peers(PeerOutcome(None, True))
    )
    with pytest.raises(CallRefusedError):
        await bench.async_call(READ)


async def test_when_the_peers_lose_the_store_the_direct_way_is_tried() -> None:
    bench = RelayBench(_Http(BUSY))
    bench.serve_by_peers()
    await bench.async_call()
    bench.peers.outcome = PeerOutcome(None, False)
    bench.http.result = SERVED
    assert (await bench.async_call()).body == b"ok"
    assert not bench.relay.relaying


async def test_a_peers_call_is_made_once_and_only_on_the_direct_way() -> None:
    bench = RelayBench()
    reply = await bench.relay.async_answer_peer(peer_asks(APPEND))
    assert (reply.status, reply.body, reply.confirmed) == (200, b"ok", True)
    assert bench.peers_http.calls == ["POST http://store:1/append"]
    bench.peers_http.result = bench.http.result = BUSY
    assert not (await bench.relay.async_answer_peer(peer_asks(APPEND))).confirmed
    assert bench.peers.asked == []
    bench.serve_by_peers()
    await bench.async_call()
    made = len(bench.peers_http.calls)
    assert not (await bench.relay.async_answer_peer(peer_asks(APPEND))).confirmed
    assert len(bench.peers_http.calls) == made


@pytest.mark.parametrize(("call", "status"), [(APPEND, 504), (READ, 503)])
async def test_a_peer_says_whether_an_append_may_have_been_made(
    call: RelayedCall, status: int
) -> None:
    bench = RelayBench(peers_http=_Http(CallUnknownError("silent")))
    reply = await bench.relay.async_answer_peer(peer_asks(call))
    assert (reply.status, reply.confirmed) == (status, False)


async def test_peers_calls_take_no_connections_of_the_own_ones() -> None:
    """An append of this entry would else wait behind the long polls of others."""
    bench = RelayBench()
    await bench.relay.async_answer_peer(peer_asks(READ))
    assert bench.http.calls == []
    bench.relay._peer_calls_in_flight = MAX_RELAYED_CALLS
    reply = await bench.relay.async_answer_peer(peer_asks(READ))
    assert not reply.confirmed
    assert len(bench.peers_http.calls) == 1
