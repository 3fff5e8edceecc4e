"""Test that keys are asked for whichever entry answers in the end."""

from __future__ import annotations

import pytest

from mustardward.components.forwarding.models import PeerReply, PeerRequest
from mustardward.components.forwarding.services import PeerOutcome
from mustardward.components.front.models import Reply, Request
from mustardward.components.ledger.const import KEY_OWNER, TOPIC
from mustardward.components.ledger.ledger import encode
from mustardward.components.ledger.models import OwnerRecord
from mustardward.standin.estate.store import Mood

from ..front.builders import BODY, HOST, JOB, PREFIX, a_config
from .test_answering import FailoverBench, an_entry

pytestmark = pytest.mark.anyio

DAIRY = "key-of-the-dairy"
GAUGES = "key-of-the-gauge-works"
KEYS = {"dairy": [DAIRY], "gauges": [GAUGES]}


async def _async_ask(bench: FailoverBench, method: str, key: str) -> Reply:
    deadline = bench.timers.monotonic() + 2.0
    request = Request(method, HOST, PREFIX + JOB, BODY, deadline, key)
    return await bench.failover.async_answer(request)


async def test_a_peer_is_told_the_key_and_asks_for_it() -> None:
    async with an_entry() as bench:
        await bench.async_publish(a_config(2, organisations=KEYS))
        asked = PeerRequest("POST", HOST, PREFIX + JOB, BODY, 1.0, key="nobody's")
        assert (await bench.failover.async_answer_peer(asked)).status == 401
        await bench.async_cut_off()
        bench.forwarder.outcome = PeerOutcome(PeerReply(200, b"{}"), False)
        assert (await _async_ask(bench, "POST", DAIRY)).status == 200
        assert bench.forwarder.asked[-1].key == DAIRY
        assert DAIRY not in repr(bench.forwarder.asked[-1])


async def test_an_unknown_key_is_refused_for_now_without_log_and_peers() -> None:
    async with an_entry() as bench:
        await bench.async_publish(a_config(2, organisations=KEYS))
        await bench.async_cut_off()
        assert (await _async_ask(bench, "GET", "new")).status == 503
        assert (await _async_ask(bench, "POST", "new")).status == 503


async def test_an_end_that_is_not_stored_is_told_to_its_organisation_alone() -> None:
    """Symptom: while the store is away, anybody is told that a job is done."""
    async with an_entry() as bench:
        await bench.async_publish(a_config(2, organisations=KEYS))
        owner = OwnerRecord(1, "claim", "b", 1)
        bench.store.append(TOPIC, [(KEY_OWNER, encode(owner))])
        assert (await _async_ask(bench, "POST", DAIRY)).status == 200
        bench.timers.pause(0.2)
        assert await bench.follower.async_catch_up()
        await bench.async_cut_off()
        bench.forwarder.node_reply = PeerReply(200, b"")
        assert b"done" in (await _async_ask(bench, "GET", DAIRY)).body
        for key in (GAUGES, "", "nobody's"):
            assert b"done" not in (await _async_ask(bench, "GET", key)).body


@pytest.mark.parametrize("status", [401, 404, 409])
async def test_a_peers_refusal_is_not_told_while_an_append_is_under_way_here(
    status: int,
) -> None:
    """Tell nobody that a job was refused which may still be stored.

    Symptom: a job ran though all attempts to hand it in were refused. Sequence: an
    entry is cut off just after it sent an append; its caller's key is withdrawn; the
    peer that is asked beside it answers 401; the cut ends, and the append is stored.
    Cause: a peer's final answer was told without regard to the entry's own attempt.
    """
    async with an_entry() as bench:
        await bench.async_publish(a_config(2, organisations=KEYS))
        bench.store.mood = Mood.SILENT
        bench.forwarder.outcome = PeerOutcome(PeerReply(status, b"{}"), False)
        reply = await _async_ask(bench, "POST", DAIRY)
        assert reply.status == 504


async def test_a_peers_refusal_is_not_told_if_another_may_have_taken_it() -> None:
    async with an_entry() as bench:
        await bench.async_publish(a_config(2, organisations=KEYS))
        await bench.async_cut_off()
        bench.forwarder.outcome = PeerOutcome(PeerReply(401, b"{}"), True)
        assert (await _async_ask(bench, "POST", DAIRY)).status == 504
        assert (await _async_ask(bench, "GET", DAIRY)).status == 401
