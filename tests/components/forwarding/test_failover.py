"""Test the replies of an entry node that may be unable to reach the log."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio
import pytest

from mustardward.components.forwarding.const import (
    HEDGE_DELAY_SECONDS,
    ISOLATED_RETRY_SECONDS,
    OWNER_METHOD,
    PEER_BACKOFF_SECONDS,
)
from mustardward.components.forwarding.failover import FailoverHandler
from mustardward.components.forwarding.models import PeerReply, PeerRequest
from mustardward.components.forwarding.peer_selector import PeerSelector
from mustardward.components.forwarding.relay import StoreRelay
from mustardward.components.forwarding.services import PeerOutcome
from mustardward.components.front.models import Reply, Request
from mustardward.components.ledger.const import (
    KEY_OWNER,
    PREFIX_PROGRESS,
    PREFIX_REPORTED,
    TOPIC,
)
from mustardward.components.ledger.ledger import encode
from mustardward.components.ledger.models import JobState, OwnerRecord, Progress
from mustardward.standin.estate.store import StoreMode
from tests.components.ledger.builders import async_appending

from ..front.builders import BODY, HOST, JOB, PREFIX, FrontHarness

pytestmark = pytest.mark.anyio

NODES = {
    "a": ("a:1", "z1"),
    "b": ("b:1", "z1"),
    "c": ("c:1", "z2"),
    "me": ("m:1", "z1"),
}


class _Forwarder:
    """Answer for all peers with preset replies."""

    def __init__(self) -> None:
        self.outcome = PeerOutcome(None, False)
        self.requests: list[PeerRequest] = []
        self.node_reply: PeerReply | None = None
        self.node_queries: list[tuple[str, str, str]] = []

    def ranked_peers(self) -> list[tuple[str, str]]:
        return PeerSelector("me", "z1").ranked_peers({}, 0.0)

    async def async_send_to_node(
        self, name: str, request: PeerRequest
    ) -> PeerReply | None:
        self.node_queries.append((name, request.method, request.path))
        return self.node_reply

    async def async_forward(self, request: PeerRequest) -> PeerOutcome:
        self.requests.append(request)
        return self.outcome


class FailoverHarness(FrontHarness):
    """An entry node whose peers the test controls."""

    def __init__(self) -> None:
        super().__init__()
        self.forwarder = _Forwarder()
        self.failover = FailoverHandler(
            self.front,
            self.forwarder,  # type: ignore[arg-type]
            self.timers,
            StoreRelay(
                None,  # type: ignore[arg-type]
                None,  # type: ignore[arg-type]
                "",
                self.forwarder,  # type: ignore[arg-type]
                self.timers,
                None,  # type: ignore[arg-type]
            ),
        )

    async def async_post(self, seconds: float = 2.0) -> Reply:
        deadline = self.timers.monotonic() + seconds
        request = Request("POST", HOST, PREFIX + JOB, BODY, deadline)
        return await self.failover.async_answer(request)

    async def async_partition(self, mode: StoreMode = StoreMode.REFUSING) -> None:
        """Make the log fail, long enough to be detected."""
        self.store.mode = mode
        self.timers.pause(1.0)
        await self.follower.async_catch_up()
        self.timers.pause(1.0)


@asynccontextmanager
async def running_entry() -> AsyncIterator[FailoverHarness]:
    harness = FailoverHarness()
    await harness.async_configure()
    async with async_appending(harness.appender):
        yield harness


async def test_no_peer_is_asked_while_the_log_is_reachable() -> None:
    async with running_entry() as harness:
        assert (await harness.async_post()).status == 200
        assert harness.forwarder.requests == []


async def test_peer_reply_is_passed_on_while_the_log_is_unreachable() -> None:
    async with running_entry() as harness:
        await harness.async_partition()
        harness.forwarder.outcome = PeerOutcome(PeerReply(200, b"{}"), False)
        assert (await harness.async_post()).status == 200


async def test_callers_are_refused_at_once_without_log_and_peers() -> None:
    """Guard against callers that use up their deadline at a partitioned entry node.

    Its first append hangs with all others queued behind it until their deadlines, so
    that callers get 504 after 2.8 s and have 0.1 s left to retry elsewhere, although
    their jobs run.
    """
    async with running_entry() as harness:
        await harness.async_partition()
        before = harness.timers.monotonic()
        reply = await harness.async_post()
        assert reply.status == 503
        assert reply.retry_after is not None
        assert harness.timers.monotonic() == before
        harness.store.mode = StoreMode.SERVING
        await harness.timers.async_advance(5.0)
        assert harness.store.topic_end(TOPIC) == 0


async def test_request_that_a_peer_may_have_accepted_is_not_refused() -> None:
    async with running_entry() as harness:
        await harness.async_partition()
        harness.forwarder.outcome = PeerOutcome(None, True)
        assert (await harness.async_post()).status == 504


async def test_request_whose_append_hangs_is_forwarded_too() -> None:
    async with running_entry() as harness:
        harness.store.mode = StoreMode.LOSING_RESPONSES
        harness.forwarder.outcome = PeerOutcome(PeerReply(200, b"{}"), False)
        with anyio.fail_after(HEDGE_DELAY_SECONDS + 2.0):
            assert (await harness.async_post()).status == 200
        assert len(harness.forwarder.requests) == 1


async def test_caller_with_little_time_left_is_served() -> None:
    async with running_entry() as harness:
        assert (await harness.async_post(seconds=0.05)).status == 200


async def test_peer_without_the_log_reports_so() -> None:
    async with running_entry() as harness:
        await harness.async_partition()
        peer_request = PeerRequest("POST", HOST, PREFIX + JOB, BODY, 1.0)
        reply = await harness.failover.async_answer_peer(peer_request)
        assert not reply.confirmed


async def test_query_about_the_owner_is_answered_without_the_log() -> None:
    """Guard against an owner that is deposed since it can't read the log for a moment.

    Its authority outlasts that.
    """
    async with running_entry() as harness:
        queries: list[PeerRequest] = []

        async def async_answer(request: PeerRequest) -> PeerReply:
            queries.append(request)
            return PeerReply(200, b"valid")

        harness.failover.answer_owner_query = async_answer
        await harness.async_partition()
        query = PeerRequest(OWNER_METHOD, "me", "", b"", 0.3)
        assert await harness.failover.async_answer_peer(query) == PeerReply(
            200, b"valid"
        )
        assert queries == [query]


async def test_query_about_the_owner_is_refused_by_an_entry_without_one() -> None:
    """Guard against an entry whose answer is taken for that of an owner."""
    async with running_entry() as harness:
        query = PeerRequest(OWNER_METHOD, "me", "", b"", 0.3)
        reply = await harness.failover.async_answer_peer(query)
        assert reply.status != 200
        assert reply.body != b"valid"


def test_peers_of_other_data_centres_are_asked_first() -> None:
    selector = PeerSelector("me", "z1")
    order = [name for name, _ in selector.ranked_peers(NODES, 0.0)]
    assert order[0] == "c"
    assert sorted(order) == ["a", "b", "c"]


def test_failed_peer_is_left_out_for_the_backoff_time() -> None:
    selector = PeerSelector("me", "z1")
    selector.back_off("c", 0.0)
    assert "c" not in dict(selector.ranked_peers(NODES, PEER_BACKOFF_SECONDS / 2))
    assert "c" in dict(selector.ranked_peers(NODES, PEER_BACKOFF_SECONDS * 2))


async def test_node_does_not_answer_by_an_older_version_than_a_peer_did() -> None:
    """Guard against replies by version 6 and, two seconds later, by version 2.

    The store refuses an entry node, and a peer answers for it by a newer configuration.
    Then the store refuses all nodes, no peer answers, and the node falls back to the
    old configuration that it read itself, unless it remembers its peers' versions.
    """
    async with running_entry() as harness:
        await harness.async_partition()
        harness.forwarder.outcome = PeerOutcome(PeerReply(200, b"{}", version=6), False)
        request = Request("GET", HOST, PREFIX, b"", harness.timers.monotonic() + 1.0)
        assert (await harness.failover.async_answer(request)).status == 200
        harness.forwarder.outcome = PeerOutcome(None, False)
        assert (await harness.failover.async_answer(request)).status == 503
        harness.store.mode = StoreMode.SERVING
        await harness.async_configure(6)
        assert (await harness.failover.async_answer(request)).status == 200


async def test_peer_with_an_older_version_than_the_sender_does_not_answer() -> None:
    """Guard against a removed queue that is served again 0.8 s later.

    Two entry nodes are partitioned intermittently. One has read version 7, and while it
    is partitioned again forwards a request to the other one, which is at version 3.
    """
    async with running_entry() as harness:
        await harness.async_configure(3)
        peer_request = PeerRequest("POST", HOST, PREFIX + JOB, BODY, 1.0, version=7)
        reply = await harness.failover.async_answer_peer(peer_request)
        assert (reply.status, reply.confirmed) == (503, False)
        assert JOB not in harness.ledger.jobs and harness.store.topic_end(TOPIC) == 0
        await harness.async_configure(7)
        assert (await harness.failover.async_answer_peer(peer_request)).status == 200
        # Forwarded requests carry the newest version read here or used by a peer.
        await harness.async_partition()
        await harness.async_post()
        assert harness.forwarder.requests[-1].version == 7
        harness.timers.pause(ISOLATED_RETRY_SECONDS)
        harness.forwarder.outcome = PeerOutcome(PeerReply(200, b"{}", version=9), False)
        await harness.async_post()
        await harness.async_post()
        assert harness.forwarder.requests[-1].version == 9


async def test_peer_reply_contains_the_version_used() -> None:
    async with running_entry() as harness:
        await harness.async_configure(4)
        peer_request = PeerRequest("GET", HOST, PREFIX, b"", 1.0)
        assert (await harness.failover.async_answer_peer(peer_request)).version == 4


async def async_get(harness: FailoverHarness) -> bytes:
    """Return the body of the reply to a query for the job."""
    deadline = harness.timers.monotonic() + 2.0
    request = Request("GET", HOST, PREFIX + JOB, b"", deadline)
    return (await harness.failover.async_answer(request)).body


@asynccontextmanager
async def entry_without_log() -> AsyncIterator[FailoverHarness]:
    """Yield a node that accepted a job, is not the owner, and lost the log."""
    async with running_entry() as harness:
        owner = OwnerRecord(1, "claim", "b", 1)
        harness.store.append(TOPIC, [(KEY_OWNER, encode(owner))])
        assert (await harness.async_post()).status == 200
        harness.timers.pause(0.2)
        assert await harness.follower.async_catch_up()
        await harness.async_partition()
        yield harness


async def test_callers_are_refused_at_once_if_no_peer_can_reach_the_log() -> None:
    """Guard against callers that run out of time while peers are tried in vain.

    The store is down and a data centre is partitioned. If each request tries the peers
    in turn, each partitioned one costs 0.3 s. Peers must be tried once per interval
    instead of once per request.
    """
    async with running_entry() as harness:
        await harness.async_partition()
        for _ in range(5):
            assert (await harness.async_post()).status == 503
        assert len(harness.forwarder.requests) == 1
        harness.timers.pause(ISOLATED_RETRY_SECONDS)
        harness.forwarder.outcome = PeerOutcome(PeerReply(200, b"{}"), False)
        for _ in range(3):
            assert (await harness.async_post()).status == 200
        assert len(harness.forwarder.requests) == 4


async def test_completion_is_reported_only_after_it_is_stored() -> None:
    """Guard against a job that runs again after it was reported as done.

    Its ends are known to the owner and to peers, but not to the log.
    """
    async with entry_without_log() as harness:
        harness.forwarder.node_reply = PeerReply(200, b"")
        done = encode(Progress(JobState.DONE))
        harness.store.append(TOPIC, [(PREFIX_PROGRESS + JOB, done)])
        assert b"queued" in await async_get(harness)
        assert harness.forwarder.node_queries == []
        harness.store.mode = StoreMode.SERVING
        harness.timers.pause(1.0)
        assert await harness.follower.async_catch_up()
        assert b"done" in await async_get(harness)
        await harness.async_partition()
        assert b"done" in await async_get(harness)


@pytest.mark.parametrize("method", ["ENDED", "WITNESS"])
async def test_no_completion_is_confirmed_to_an_older_build(method: str) -> None:
    """Guard against an older node that reports a completion before it is stored."""
    async with running_entry() as harness:
        assert (await harness.async_post()).status == 200
        done = encode(Progress(JobState.DONE))
        harness.store.append(TOPIC, [(PREFIX_PROGRESS + JOB, done)])
        query = PeerRequest(method, "", JOB, b"", 1.0)
        for _ in range(2):
            reply = await harness.failover.async_answer_peer(query)
            assert reply.status == 404
            assert await harness.follower.async_catch_up()
        await harness.async_partition()
        assert (await harness.failover.async_answer_peer(query)).status == 404
        keys = [record.key for record in harness.store.records_from(TOPIC, 0)]
        assert PREFIX_REPORTED + JOB not in keys
