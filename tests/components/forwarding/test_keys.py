"""Test that a peer that answers a forwarded request checks the caller's key."""

from __future__ import annotations

import pytest

from mustardward.components.forwarding.models import PeerReply, PeerRequest
from mustardward.components.forwarding.services import PeerOutcome
from mustardward.components.front.models import Reply, Request
from mustardward.components.ledger.const import KEY_OWNER, PREFIX_PROGRESS, TOPIC
from mustardward.components.ledger.ledger import encode
from mustardward.components.ledger.models import JobState, OwnerRecord, Progress
from mustardward.standin.estate.store import StoreMode

from ..front.builders import BODY, HOST, JOB, PREFIX, encode_config
from .test_failover import FailoverHarness, running_entry

pytestmark = pytest.mark.anyio

DAIRY_KEY = "key-of-the-dairy"
GAUGES_KEY = "key-of-the-gauge-works"
KEYS = {"dairy": [DAIRY_KEY], "gauges": [GAUGES_KEY]}


async def async_send(harness: FailoverHarness, method: str, key: str) -> Reply:
    deadline = harness.timers.monotonic() + 2.0
    request = Request(method, HOST, PREFIX + JOB, BODY, deadline, key)
    return await harness.failover.async_answer(request)


async def test_key_is_forwarded_to_the_peer_and_checked_there() -> None:
    async with running_entry() as harness:
        await harness.async_publish(encode_config(2, organisations=KEYS))
        peer_request = PeerRequest(
            "POST", HOST, PREFIX + JOB, BODY, 1.0, key="nobody's"
        )
        assert (await harness.failover.async_answer_peer(peer_request)).status == 401
        await harness.async_partition()
        harness.forwarder.outcome = PeerOutcome(PeerReply(200, b"{}"), False)
        assert (await async_send(harness, "POST", DAIRY_KEY)).status == 200
        assert harness.forwarder.requests[-1].key == DAIRY_KEY
        assert DAIRY_KEY not in repr(harness.forwarder.requests[-1])


async def test_unknown_key_gets_503_without_log_and_peers() -> None:
    async with running_entry() as harness:
        await harness.async_publish(encode_config(2, organisations=KEYS))
        await harness.async_partition()
        assert (await async_send(harness, "GET", "new")).status == 503
        assert (await async_send(harness, "POST", "new")).status == 503


async def test_completion_is_reported_to_its_organisation_only() -> None:
    """Guard against a job's state that is open to anybody during a store outage."""
    async with running_entry() as harness:
        await harness.async_publish(encode_config(2, organisations=KEYS))
        owner = OwnerRecord(1, "claim", "b", 1)
        harness.store.append(TOPIC, [(KEY_OWNER, encode(owner))])
        assert (await async_send(harness, "POST", DAIRY_KEY)).status == 200
        done = encode(Progress(JobState.DONE))
        harness.store.append(TOPIC, [(PREFIX_PROGRESS + JOB, done)])
        harness.timers.pause(0.2)
        assert await harness.follower.async_catch_up()
        await harness.async_partition()
        assert b"done" in (await async_send(harness, "GET", DAIRY_KEY)).body
        for key in (GAUGES_KEY, "", "nobody's"):
            assert b"done" not in (await async_send(harness, "GET", key)).body


@pytest.mark.parametrize("status", [401, 404, 409])
async def test_peer_refusal_is_withheld_while_a_local_append_is_in_flight(
    status: int,
) -> None:
    """Guard against a job that runs although every submission of it was refused.

    An entry node is partitioned just after it sent an append, and the caller's key is
    revoked. The peer that gets the request too answers 401; then the partition ends,
    and the append is stored.
    """
    async with running_entry() as harness:
        await harness.async_publish(encode_config(2, organisations=KEYS))
        harness.store.mode = StoreMode.UNRESPONSIVE
        harness.forwarder.outcome = PeerOutcome(PeerReply(status, b"{}"), False)
        reply = await async_send(harness, "POST", DAIRY_KEY)
        assert reply.status == 504


async def test_peer_refusal_is_withheld_if_another_peer_may_have_accepted() -> None:
    async with running_entry() as harness:
        await harness.async_publish(encode_config(2, organisations=KEYS))
        await harness.async_partition()
        harness.forwarder.outcome = PeerOutcome(PeerReply(401, b"{}"), True)
        assert (await async_send(harness, "POST", DAIRY_KEY)).status == 504
        assert (await async_send(harness, "GET", DAIRY_KEY)).status == 401
