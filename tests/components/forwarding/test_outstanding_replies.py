"""Test local replies that are given after a peer's reply by a newer version."""

from __future__ import annotations

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any

import anyio
import anyio.lowlevel
import pytest

from mustardward.components.forwarding.models import PeerReply, PeerRequest
from mustardward.components.forwarding.services import PeerOutcome
from mustardward.components.front.models import Reply, Request
from mustardward.components.ledger.appender import Record
from mustardward.components.ledger.const import PREFIX_JOB, PREFIX_PROGRESS, TOPIC
from mustardward.components.ledger.follower import TopicFollower
from mustardward.components.ledger.ledger import encode
from mustardward.components.ledger.models import JobState, Progress
from mustardward.platform.store import KEY_CONFIG, KeyedRecord, Producer

from ..front.builders import BODY, HOST, PREFIX, encode_config
from .test_failover import FailoverHarness, running_entry

pytestmark = pytest.mark.anyio

DROPPED_PREFIX = "/old/"
"""Dropped by the version that the peer has and this node hasn't read."""

FIRST_JOB = "00000000000000aa"
SECOND_JOB = "00000000000000bb"
SENT_LATER_SECONDS = 0.3
"""Longer than the time within which a request may still be handled as before."""


class SlowStore:
    """Answer appends once the store is fast again."""

    def __init__(self, harness: FailoverHarness) -> None:
        self._append = harness.appender.call
        self.fast = anyio.Event()
        harness.appender.call = self.async_append

    async def async_append(self, records: list[Record], producer: Producer) -> int:
        await self.fast.wait()
        return await self._append(records, producer)


class HeldPeer:
    """Handle the first request by a newer version, hold its reply, and no other one."""

    def __init__(self, harness: FailoverHarness) -> None:
        self.handled = anyio.Event()
        self.arrived = anyio.Event()
        harness.forwarder.async_forward = self.async_forward  # type: ignore[method-assign]

    async def async_forward(self, request: PeerRequest) -> PeerOutcome:
        if self.handled.is_set():
            await anyio.sleep_forever()
        self.handled.set()
        await self.arrived.wait()
        return PeerOutcome(PeerReply(200, b"{}", version=6), False)


async def test_request_for_a_dropped_queue_is_not_accepted_after_a_newer_reply() -> (
    None
):
    """Guard against a node that goes back to an older version in the eyes of callers.

    The request is sent after a peer has handled another one of this node by the newer
    version, and before the peer's reply arrives; it is answered after that reply.
    """
    async with running_entry() as harness:
        await harness.async_configure(2, PREFIX, DROPPED_PREFIX)
        peer = HeldPeer(harness)
        replies: dict[str, Reply] = {}

        async def async_post(path: str) -> None:
            deadline = harness.timers.monotonic() + 5.0
            request = Request("POST", HOST, path, BODY, deadline)
            replies[path] = await harness.failover.async_answer(request)

        first, second = PREFIX + FIRST_JOB, DROPPED_PREFIX + SECOND_JOB
        async with anyio.create_task_group() as tasks:
            store = SlowStore(harness)
            tasks.start_soon(async_post, first)
            await peer.handled.wait()
            harness.timers.pause(SENT_LATER_SECONDS)
            tasks.start_soon(async_post, second)
            await anyio.wait_all_tasks_blocked()
            peer.arrived.set()
            await anyio.wait_all_tasks_blocked()
            assert replies[first].status == 200
            assert second not in replies
            assert harness.failover._is_outdated()
            store.fast.set()
            for _ in range(20):
                await harness.timers.async_advance(0.05)
                await anyio.wait_all_tasks_blocked()
            tasks.cancel_scope.cancel()
    assert second not in replies or replies[second].status != 200


class NewerPeer:
    """Answer each request at once by a newer version, which has only one queue."""

    def __init__(self, harness: FailoverHarness, version: int = 6) -> None:
        self.version = version
        self.requests: list[PeerRequest] = []
        harness.forwarder.async_forward = self.async_forward  # type: ignore[method-assign]

    async def async_forward(self, request: PeerRequest) -> PeerOutcome:
        self.requests.append(request)
        status = 200 if request.path.startswith(PREFIX) else 404
        reply = PeerReply(status, b'{"pending":0}', version=self.version)
        return PeerOutcome(reply, False)


class Outstanding:
    """Requests to a node, one of which waits while a peer answers another one."""

    def __init__(self, harness: FailoverHarness) -> None:
        self.harness = harness
        self.replies: dict[str, Reply] = {}

    async def async_send(self, method: str, path: str) -> None:
        deadline = self.harness.timers.monotonic() + 5.0
        request = Request(method, HOST, path, BODY, deadline)
        self.replies[path] = await self.harness.failover.async_answer(request)

    async def async_settle(self) -> None:
        for _ in range(20):
            await self.harness.timers.async_advance(0.05)
            await anyio.wait_all_tasks_blocked()

    async def async_see_newer_version(self) -> None:
        """Let a peer answer another caller of the node by the newer version."""
        deadline = self.harness.timers.monotonic() + 5.0
        request = Request("GET", HOST, PREFIX, b"", deadline)
        outcome = await self.harness.failover.async_forward(request)
        assert outcome.reply is not None and outcome.reply.status == 200

    def stored(self) -> list[str]:
        records = self.harness.store.records_from(TOPIC, 0)
        return [record.key for record in records if record.key.startswith(PREFIX_JOB)]


@asynccontextmanager
async def outdated_entry() -> AsyncIterator[Outstanding]:
    """Yield an entry node on a slow store, at version 2."""
    async with running_entry() as harness:
        await harness.async_configure(2, PREFIX, DROPPED_PREFIX)
        yield Outstanding(harness)


def newer_record() -> KeyedRecord:
    return KeyedRecord(9, KEY_CONFIG, encode_config(6))


@pytest.mark.parametrize("newer_by", ["peer", "own"])
async def test_queued_job_of_a_dropped_queue_is_not_stored(newer_by: str) -> None:
    """Guard against jobs that run although their refusal could have been certain."""
    async with outdated_entry() as outstanding, anyio.create_task_group() as tasks:
        NewerPeer(outstanding.harness)
        store = SlowStore(outstanding.harness)
        first, second = DROPPED_PREFIX + FIRST_JOB, DROPPED_PREFIX + SECOND_JOB
        for path in (first, second):
            tasks.start_soon(outstanding.async_send, "POST", path)
            for _ in range(5):
                await anyio.lowlevel.checkpoint()
        if newer_by == "own":
            outstanding.harness.configuration.apply(newer_record())
        else:
            await outstanding.async_see_newer_version()
        store.fast.set()
        await outstanding.async_settle()
        # The first one was sent to the store already, so that it may run.
        assert outstanding.stored() == [PREFIX_JOB + FIRST_JOB]
        assert outstanding.replies[first].status == 504
        assert outstanding.replies[second].status == 404


async def test_stored_job_is_accepted_if_the_newer_version_has_its_queue() -> None:
    """Guard against callers who must ask again although nothing changed for them."""
    async with outdated_entry() as outstanding, anyio.create_task_group() as tasks:
        harness = outstanding.harness
        peer = NewerPeer(harness)
        store = SlowStore(harness)
        path = PREFIX + FIRST_JOB
        tasks.start_soon(outstanding.async_send, "POST", path)
        for _ in range(5):
            await anyio.lowlevel.checkpoint()
        await outstanding.async_see_newer_version()
        await harness.async_configure(6, PREFIX)
        store.fast.set()
        await outstanding.async_settle()
        assert outstanding.replies[path].status == 200
        assert outstanding.stored() == [PREFIX_JOB + FIRST_JOB]
        assert len(peer.requests) == 1
        # It was answered at once, without another read of the log.
        assert FIRST_JOB not in harness.ledger.jobs


@pytest.mark.parametrize("path", [DROPPED_PREFIX, DROPPED_PREFIX + FIRST_JOB])
@pytest.mark.parametrize("newer_by", ["peer", "lost peer", "own"])
async def test_outstanding_query_is_not_answered_by_the_older_version(
    path: str, newer_by: str
) -> None:
    """Guard against a dropped queue whose count or job is shown after its refusal."""
    async with outdated_entry() as outstanding, anyio.create_task_group() as tasks:
        harness = outstanding.harness
        await outstanding.async_send("POST", DROPPED_PREFIX + FIRST_JOB)
        outstanding.replies.clear()
        peer = NewerPeer(harness)
        read = harness.follower.async_catch_up
        fast = anyio.Event()

        async def async_read_slowly() -> bool:
            await fast.wait()
            return await read()

        harness.follower = harness.front.follower = SlowFollower(  # type: ignore[assignment]
            harness.follower, async_read_slowly
        )
        harness.timers.pause(2.0)
        tasks.start_soon(outstanding.async_send, "GET", path)
        for _ in range(5):
            await anyio.lowlevel.checkpoint()
        if newer_by == "own":
            harness.configuration.apply(newer_record())
        else:
            await outstanding.async_see_newer_version()
        if newer_by == "lost peer":
            harness.forwarder.async_forward = _async_answer_nothing  # type: ignore[method-assign]
        fast.set()
        await outstanding.async_settle()
        expected = 503 if newer_by == "lost peer" else 404
        assert outstanding.replies[path].status == expected
        assert len(peer.requests) == {"peer": 2, "lost peer": 1, "own": 0}[newer_by]


async def test_reply_of_a_peer_is_not_given_after_one_by_a_newer_version() -> None:
    """Guard against two peers, at different versions, that answer for one node."""
    async with outdated_entry() as outstanding:
        harness = outstanding.harness
        await harness.async_partition()
        newer = NewerPeer(harness)

        async def async_answer_late(request: PeerRequest) -> PeerOutcome:
            newer_forward = newer.async_forward
            harness.forwarder.async_forward = newer_forward  # type: ignore[method-assign]
            await outstanding.async_see_newer_version()
            return PeerOutcome(PeerReply(200, b"{}", version=3), False)

        harness.forwarder.async_forward = async_answer_late  # type: ignore[method-assign]
        await outstanding.async_send("GET", DROPPED_PREFIX)
        assert outstanding.replies[DROPPED_PREFIX].status == 404


async def test_queued_job_is_not_stored_for_the_service_of_an_older_version() -> None:
    """Guard against jobs that run on a service to which their queue goes no more."""
    async with outdated_entry() as outstanding, anyio.create_task_group() as tasks:
        NewerPeer(outstanding.harness)
        store = SlowStore(outstanding.harness)
        for job_id in (FIRST_JOB, SECOND_JOB):
            tasks.start_soon(outstanding.async_send, "POST", PREFIX + job_id)
            for _ in range(5):
                await anyio.lowlevel.checkpoint()
        moved = encode_config(6).replace(b'"service":"s"', b'"service":"t"')
        outstanding.harness.configuration.apply(KeyedRecord(9, KEY_CONFIG, moved))
        store.fast.set()
        await outstanding.async_settle()
        assert outstanding.stored() == [PREFIX_JOB + FIRST_JOB]
        assert outstanding.replies[PREFIX + FIRST_JOB].status == 200
        assert outstanding.replies[PREFIX + SECOND_JOB].status == 200


async def test_request_is_refused_if_versions_overtake_it_twice() -> None:
    """Guard against an older reply to a request that was answered once more."""
    async with outdated_entry() as outstanding:
        harness = outstanding.harness
        await harness.async_partition()
        versions = iter((4, 5))

        async def async_answer_late(request: PeerRequest) -> PeerOutcome:
            version = next(versions)
            harness.configuration.record_seen(version + 1)
            return PeerOutcome(PeerReply(200, b"{}", version=version), False)

        harness.forwarder.async_forward = async_answer_late  # type: ignore[method-assign]
        await outstanding.async_send("GET", DROPPED_PREFIX)
        assert outstanding.replies[DROPPED_PREFIX].status == 503


async def test_peer_reply_names_the_version_that_allows_it() -> None:
    """Guard against a peer's reply by an older version that passes for a newer one."""
    async with outdated_entry() as outstanding, anyio.create_task_group() as tasks:
        harness = outstanding.harness
        store = SlowStore(harness)
        replies: list[PeerReply] = []

        async def async_ask() -> None:
            request = PeerRequest("POST", HOST, DROPPED_PREFIX + FIRST_JOB, BODY, 5.0)
            replies.append(await harness.failover.async_answer_peer(request))

        tasks.start_soon(async_ask)
        for _ in range(5):
            await anyio.lowlevel.checkpoint()
        harness.configuration.apply(newer_record())
        store.fast.set()
        await outstanding.async_settle()
        assert (replies[0].status, replies[0].version) == (200, 2)


async def test_reply_of_a_peer_without_a_version_is_given() -> None:
    """Guard against peers of an older build whose replies are all in vain."""
    async with outdated_entry() as outstanding:
        await outstanding.harness.async_partition()
        peer = NewerPeer(outstanding.harness, version=0)
        await outstanding.async_see_newer_version()
        await outstanding.async_send("POST", PREFIX + FIRST_JOB)
        assert outstanding.replies[PREFIX + FIRST_JOB].status == 200
        assert peer.requests[-1].version == 2


async def test_complete_job_of_a_dropped_queue_is_not_shown_without_the_log() -> None:
    """Guard against a reply by the older version while the log can't be read."""
    async with outdated_entry() as outstanding:
        harness = outstanding.harness
        await outstanding.async_send("POST", DROPPED_PREFIX + FIRST_JOB)
        done = encode(Progress(JobState.DONE))
        harness.store.append(TOPIC, [(PREFIX_PROGRESS + FIRST_JOB, done)])
        harness.timers.pause(0.2)
        assert await harness.follower.async_catch_up()
        await harness.async_partition()
        NewerPeer(harness)
        await outstanding.async_see_newer_version()
        await outstanding.async_send("GET", DROPPED_PREFIX + FIRST_JOB)
        assert outstanding.replies[DROPPED_PREFIX + FIRST_JOB].status == 404


async def _async_answer_nothing(request: PeerRequest) -> PeerOutcome:
    return PeerOutcome(None, False)


class SlowFollower:
    """A follower whose reads up to the end of the log take long."""

    def __init__(
        self, follower: TopicFollower, read: Callable[[], Awaitable[bool]]
    ) -> None:
        self._follower = follower
        self.async_catch_up = read

    def __getattr__(self, name: str) -> Any:
        return getattr(self._follower, name)
