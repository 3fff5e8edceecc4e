"""Test calls to the store through peers while it fails for one entry node alone."""

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
from mustardward.platform.http import HttpResponse

pytestmark = pytest.mark.anyio

BASE = "http://store:1"
APPEND = RelayedCall("POST", "/append", {"seq": "1"}, b"x", 0.7)
READ = RelayedCall("GET", "/read", {}, None, 5.0, 0.5)
SERVED = HttpResponse(200, b"ok", CIMultiDictProxy(CIMultiDict()))
BUSY = HttpResponse(503, b"", CIMultiDictProxy(CIMultiDict()))
Result = HttpResponse | CallRefusedError | CallUnknownError


@dataclass
class _Http:
    """Answer direct calls with a preset result."""

    result: Result = SERVED
    calls: list[str] = field(default_factory=list)

    async def async_call(self, method: str, url: str, **_: object) -> HttpResponse:
        self.calls.append(f"{method} {url}")
        if isinstance(self.result, HttpResponse):
            return self.result
        raise self.result


@dataclass
class _Peers:
    """Answer for all peers with a preset outcome."""

    outcome: PeerOutcome = field(default_factory=lambda: PeerOutcome(None, False))
    requests: list[PeerRequest] = field(default_factory=list)

    async def async_forward(
        self, request: PeerRequest, answer_timeout_seconds: float
    ) -> PeerOutcome:
        self.requests.append(request)
        return self.outcome


@dataclass
class RelayHarness:
    """A relay with fake direct and peer calls."""

    http: _Http = field(default_factory=_Http)
    peers_http: _Http = field(default_factory=_Http)
    peers: _Peers = field(default_factory=_Peers)
    timers: DrivenTimerService = field(default_factory=DrivenTimerService)
    store_reachable: bool = False
    relay: StoreRelay = field(init=False)

    def __post_init__(self) -> None:
        async def async_probe() -> bool:
            return self.store_reachable

        self.relay = StoreRelay(
            self.http,  # type: ignore[arg-type]
            self.peers_http,  # type: ignore[arg-type]
            BASE,
            self.peers,  # type: ignore[arg-type]
            self.timers,
            async_probe,
        )

    async def async_call(self, call: RelayedCall = APPEND) -> HttpResponse:
        return await self.relay.async_call(
            call.method,
            BASE + call.path,
            timeout_seconds=call.timeout_seconds,
            body=call.body,
            params=call.params,
            read_timeout_seconds=call.silence_seconds,
        )

    def serve_by_peers(self) -> None:
        self.peers.outcome = PeerOutcome(PeerReply(200, b"by peer"), False)


def relay_request(call: RelayedCall) -> PeerRequest:
    return PeerRequest(RELAY_METHOD, "", "", msgspec.msgpack.encode(call), 1.0)


async def test_peers_are_not_used_while_the_store_answers() -> None:
    harness = RelayHarness()
    assert (await harness.async_call()).body == b"ok"
    assert harness.peers.requests == []


@pytest.mark.parametrize(
    "result", [BUSY, CallRefusedError("cut"), CallUnknownError("silent")]
)
async def test_owner_that_the_store_refuses_appends_through_a_peer(
    result: Result,
) -> None:
    """Guard against a deposed owner and about 35 jobs that are late at once.

    The store refuses the owner alone. Without another path to it, the owner misses its
    renewals, and 1.3 s later another entry node claims the shard.
    """
    harness = RelayHarness(_Http(result))
    harness.serve_by_peers()
    assert (await harness.async_call()).body == b"by peer"
    sent = msgspec.msgpack.decode(harness.peers.requests[0].body, type=RelayedCall)
    assert sent == APPEND
    # Later calls do not wait for the timeout of a direct call first.
    assert (await harness.async_call()).body == b"by peer"
    assert len(harness.http.calls) == 1


async def test_direct_calls_resume_once_the_store_is_reachable() -> None:
    harness = RelayHarness(_Http(BUSY))
    harness.serve_by_peers()
    await harness.async_call()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(harness.relay.async_run)
        await anyio.wait_all_tasks_blocked()
        await harness.timers.async_advance(PROBE_INTERVAL_SECONDS)
        await anyio.wait_all_tasks_blocked()
        assert harness.relay.relaying
        harness.store_reachable = True
        await harness.timers.async_advance(PROBE_INTERVAL_SECONDS)
        await anyio.wait_all_tasks_blocked()
        assert not harness.relay.relaying
        tasks.cancel_scope.cancel()


async def test_peers_are_not_asked_with_each_retry_during_an_outage() -> None:
    harness = RelayHarness(_Http(BUSY))
    for _ in range(5):
        assert (await harness.async_call()).status == 503
    assert len(harness.peers.requests) == 1
    harness.timers.pause(RELAY_PAUSE_SECONDS)
    assert (await harness.async_call()).status == 503
    assert len(harness.peers.requests) == 2


async def test_append_that_a_peer_may_have_made_has_an_unknown_outcome() -> None:
    """Guard against a job that runs although its caller was refused."""
    harness = RelayHarness(_Http(BUSY), peers=_Peers(PeerOutcome(None, True)))
    with pytest.raises(CallUnknownError):
        await harness.async_call()


async def test_read_unanswered_by_a_peer_fails_with_the_direct_error() -> None:
    harness = RelayHarness(
        _Http(CallRefusedError("cut")), peers=_Peers(PeerOutcome(None, True))
    )
    with pytest.raises(CallRefusedError):
        await harness.async_call(READ)


async def test_direct_call_is_tried_when_peers_lose_the_store() -> None:
    harness = RelayHarness(_Http(BUSY))
    harness.serve_by_peers()
    await harness.async_call()
    harness.peers.outcome = PeerOutcome(None, False)
    harness.http.result = SERVED
    assert (await harness.async_call()).body == b"ok"
    assert not harness.relay.relaying


async def test_call_for_a_peer_is_made_once_and_only_directly() -> None:
    harness = RelayHarness()
    reply = await harness.relay.async_answer_peer(relay_request(APPEND))
    assert (reply.status, reply.body, reply.confirmed) == (200, b"ok", True)
    assert harness.peers_http.calls == ["POST http://store:1/append"]
    harness.peers_http.result = harness.http.result = BUSY
    assert not (await harness.relay.async_answer_peer(relay_request(APPEND))).confirmed
    assert harness.peers.requests == []
    harness.serve_by_peers()
    await harness.async_call()
    calls_made = len(harness.peers_http.calls)
    assert not (await harness.relay.async_answer_peer(relay_request(APPEND))).confirmed
    assert len(harness.peers_http.calls) == calls_made


@pytest.mark.parametrize(("call", "status"), [(APPEND, 504), (READ, 503)])
async def test_peer_reports_whether_an_append_may_have_been_made(
    call: RelayedCall, status: int
) -> None:
    harness = RelayHarness(peers_http=_Http(CallUnknownError("silent")))
    reply = await harness.relay.async_answer_peer(relay_request(call))
    assert (reply.status, reply.confirmed) == (status, False)


async def test_calls_for_peers_use_separate_connections() -> None:
    """Guard against appends of this node that wait behind the long polls of peers."""
    harness = RelayHarness()
    await harness.relay.async_answer_peer(relay_request(READ))
    assert harness.http.calls == []
    harness.relay._peer_calls_in_flight = MAX_RELAYED_CALLS
    reply = await harness.relay.async_answer_peer(relay_request(READ))
    assert not reply.confirmed
    assert len(harness.peers_http.calls) == 1
