"""Test that a job's final state stays what callers were told, without the log."""

from __future__ import annotations

import pytest

from mustardward.components.forwarding.const import ISOLATED_RETRY_SECONDS
from mustardward.components.forwarding.final_replies import MAX_REPLIES, FinalReplies
from mustardward.components.forwarding.models import PeerReply
from mustardward.components.forwarding.services import PeerOutcome
from mustardward.components.front.models import Reply, Request
from mustardward.platform import callers

from ..front.builders import HOST, JOB, PREFIX, encode_config
from .test_failover import async_get, running_entry
from .test_keys import DAIRY_KEY, GAUGES_KEY, KEYS, async_send

pytestmark = pytest.mark.anyio


def a_query(number: int) -> Request:
    """Return a query for the state of a job."""
    return Request("GET", HOST, f"{PREFIX}{number:016x}", b"", 0.0)


def peer_outcome(state: str) -> PeerOutcome:
    """Return the answer of a peer to a query for a job's state."""
    return PeerOutcome(PeerReply(200, callers.encode_state(state)), False)


async def test_final_state_that_a_peer_told_is_kept() -> None:
    """Guard against `done` and then `running` from one entry.

    It is cut off from the store and answers through a peer; then the store is down for
    all, so that it answers from its own replica of the log.
    """
    async with running_entry() as harness:
        assert (await harness.async_post()).status == 200
        harness.timers.pause(0.2)
        assert await harness.follower.async_catch_up()
        await harness.async_partition()
        harness.forwarder.outcome = peer_outcome(callers.STATE_DONE)
        assert callers.STATE_DONE.encode() in await async_get(harness)
        harness.forwarder.outcome = PeerOutcome(None, False)
        harness.timers.pause(ISOLATED_RETRY_SECONDS)
        assert callers.STATE_DONE.encode() in await async_get(harness)


async def test_final_state_in_the_replica_goes_before_the_answer_of_a_peer() -> None:
    """Guard against `cancelled` and then `running` from one entry.

    A peer that has just been cut off from the store answers from an older replica.
    """
    async with running_entry() as harness:
        assert (await harness.async_post()).status == 200
        deadline = harness.timers.monotonic() + 2.0
        cancel = Request("DELETE", HOST, PREFIX + JOB, b"", deadline)
        assert (await harness.failover.async_answer(cancel)).status == 200
        assert await harness.follower.async_catch_up()
        assert callers.STATE_CANCELLED.encode() in await async_get(harness)
        await harness.async_partition()
        harness.forwarder.outcome = peer_outcome(callers.STATE_RUNNING)
        assert callers.STATE_CANCELLED.encode() in await async_get(harness)


async def test_final_state_that_a_peer_told_is_shown_to_its_organisation_only() -> None:
    """Guard against a job's state that is open to anybody during a store outage."""
    async with running_entry() as harness:
        assert (await harness.async_post()).status == 200
        await harness.async_publish(encode_config(2, organisations=KEYS))
        await harness.async_partition()
        harness.forwarder.outcome = peer_outcome(callers.STATE_DONE)
        assert b"done" in (await async_send(harness, "GET", DAIRY_KEY)).body
        harness.forwarder.outcome = PeerOutcome(None, False)
        harness.timers.pause(ISOLATED_RETRY_SECONDS)
        assert b"done" in (await async_send(harness, "GET", DAIRY_KEY)).body
        for key in (GAUGES_KEY, "", "nobody's"):
            assert b"done" not in (await async_send(harness, "GET", key)).body


def test_replies_are_bounded_and_only_final_ones_are_remembered() -> None:
    """Guard against memory that grows with each query during a store outage."""
    replies = FinalReplies()
    running = Reply(200, callers.encode_state(callers.STATE_RUNNING))
    done = Reply(200, callers.encode_state(callers.STATE_DONE))
    replies.record(a_query(0), running)
    assert replies.find(a_query(0)) is None
    for number in range(MAX_REPLIES + 1):
        replies.record(a_query(number), done)
    assert replies.find(a_query(0)) is None
    assert replies.find(a_query(1)) == replies.find(a_query(MAX_REPLIES)) == done
