"""Test what callers are answered by an entry that may be cut off."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio
import pytest

from mustardward.components.forwarding.answering import Answering
from mustardward.components.forwarding.const import HEDGE_SECONDS, SHUN_SECONDS
from mustardward.components.forwarding.models import AskedReply, AskedRequest
from mustardward.components.forwarding.peers import PeerBook
from mustardward.components.forwarding.services import AskOutcome
from mustardward.components.front.services import Reply, Request
from mustardward.components.ledger.const import TOPIC
from mustardward.standin.estate.store import Mood
from tests.components.ledger.builders import async_appending

from ..front.test_front import BODY, HOST, JOB, PREFIX, FrontBench

pytestmark = pytest.mark.anyio

NODES = {
    "a": ("a:1", "z1"),
    "b": ("b:1", "z1"),
    "c": ("c:1", "z2"),
    "me": ("m:1", "z1"),
}


class _Forwarder:
    """Answer for all peers as the test says."""

    def __init__(self) -> None:
        self.outcome = AskOutcome(None, False)
        self.asked: list[AskedRequest] = []

    async def async_ask(self, request: AskedRequest) -> AskOutcome:
        self.asked.append(request)
        return self.outcome


class AnsweringBench(FrontBench):
    """Hold an entry whose peers obey the test."""

    def __init__(self) -> None:
        super().__init__()
        self.forwarder = _Forwarder()
        self.answering = Answering(
            self.front,
            self.forwarder,  # type: ignore[arg-type]
            self.timers,
        )

    async def async_post(self, seconds: float = 2.0) -> Reply:
        deadline = self.timers.monotonic() + seconds
        request = Request("POST", HOST, PREFIX + JOB, BODY, deadline)
        return await self.answering.async_answer(request)

    async def async_cut_off(self, mood: Mood = Mood.REFUSING) -> None:
        """Let the log fail, long enough to be noticed."""
        self.store.mood = mood
        self.timers.pause(1.0)
        await self.follower.async_confirm()
        self.timers.pause(1.0)


@asynccontextmanager
async def an_entry() -> AsyncIterator[AnsweringBench]:
    bench = AnsweringBench()
    await bench.async_configure()
    async with async_appending(bench.appender):
        yield bench


async def test_an_entry_with_the_log_asks_no_peer() -> None:
    async with an_entry() as bench:
        assert (await bench.async_post()).status == 200
        assert bench.forwarder.asked == []


async def test_an_entry_without_the_log_passes_a_peers_answer_on() -> None:
    async with an_entry() as bench:
        await bench.async_cut_off()
        bench.forwarder.outcome = AskOutcome(AskedReply(200, b"{}"), False)
        assert (await bench.async_post()).status == 200


async def test_without_log_and_peers_callers_are_refused_at_once() -> None:
    """A caller is not held for its whole time by an entry that can't serve it.

    Symptom: callers in a data centre that was cut off got 504 after 2.8 s, came back
    elsewhere with 0.1 s left, and were lost, though their jobs ran.
    Sequence: the entry's append hung; all that came after it waited behind it.
    Cause: what could not be stored was waited for until its deadline.
    """
    async with an_entry() as bench:
        await bench.async_cut_off()
        before = bench.timers.monotonic()
        reply = await bench.async_post()
        assert reply.status == 503
        assert reply.retry_after is not None
        assert bench.timers.monotonic() == before
        bench.store.mood = Mood.SERVING
        await bench.timers.async_advance(5.0)
        assert bench.store.topic_end(TOPIC) == 0


async def test_nothing_is_called_refused_that_a_peer_may_have_taken() -> None:
    async with an_entry() as bench:
        await bench.async_cut_off()
        bench.forwarder.outcome = AskOutcome(None, True)
        assert (await bench.async_post()).status == 504


async def test_a_peer_is_asked_beside_an_append_that_hangs() -> None:
    async with an_entry() as bench:
        bench.store.mood = Mood.LOSING_ANSWERS
        bench.forwarder.outcome = AskOutcome(AskedReply(200, b"{}"), False)
        with anyio.fail_after(HEDGE_SECONDS + 2.0):
            assert (await bench.async_post()).status == 200
        assert len(bench.forwarder.asked) == 1


async def test_a_caller_that_comes_back_with_little_time_is_still_served() -> None:
    async with an_entry() as bench:
        assert (await bench.async_post(seconds=0.05)).status == 200


async def test_a_peer_that_is_cut_off_itself_says_so() -> None:
    async with an_entry() as bench:
        await bench.async_cut_off()
        asked = AskedRequest("POST", HOST, PREFIX + JOB, BODY, 1.0)
        reply = await bench.answering.async_answer_peer(asked)
        assert not reply.confirmed


def test_peers_of_other_data_centres_are_asked_first() -> None:
    book = PeerBook("me", "z1")
    order = [name for name, _ in book.candidates(NODES, 0.0)]
    assert order[0] == "c"
    assert sorted(order) == ["a", "b", "c"]


def test_a_shunned_peer_is_left_out_for_a_while() -> None:
    book = PeerBook("me", "z1")
    book.shun("c", 0.0)
    assert "c" not in dict(book.candidates(NODES, SHUN_SECONDS / 2))
    assert "c" in dict(book.candidates(NODES, SHUN_SECONDS * 2))


async def test_an_entry_never_goes_back_behind_what_a_peer_answered_by() -> None:
    """Callers do not see an older configuration after a newer one.

    Symptom: an entry answered by version 6, and two seconds later by version 2.
    Sequence: the store refused the entry, and a peer answered for it by a newer
    configuration; then the store refused all, so that no peer answered, and the entry
    answered by the old configuration that it had read itself.
    Cause: an entry knew only of the versions that it had read, not of those that its
    peers had answered by.
    """
    async with an_entry() as bench:
        await bench.async_cut_off()
        bench.forwarder.outcome = AskOutcome(AskedReply(200, b"{}", version=6), False)
        request = Request("GET", HOST, PREFIX, b"", bench.timers.monotonic() + 1.0)
        assert (await bench.answering.async_answer(request)).status == 200
        bench.forwarder.outcome = AskOutcome(None, False)
        assert (await bench.answering.async_answer(request)).status == 503
        bench.store.mood = Mood.SERVING
        await bench.async_configure(6)
        assert (await bench.answering.async_answer(request)).status == 200


async def test_a_peers_answer_names_the_version_that_it_went_by() -> None:
    async with an_entry() as bench:
        await bench.async_configure(4)
        asked = AskedRequest("GET", HOST, PREFIX, b"", 1.0)
        assert (await bench.answering.async_answer_peer(asked)).version == 4
