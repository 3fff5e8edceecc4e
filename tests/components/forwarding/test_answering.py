"""Test what callers are answered by an entry that may be cut off."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio
import pytest

from mustardward.components.forwarding.answering import FailoverHandler
from mustardward.components.forwarding.const import (
    HEDGE_DELAY_SECONDS,
    ISOLATED_RETRY_SECONDS,
    PEER_BACKOFF_SECONDS,
)
from mustardward.components.forwarding.ends import CompletionTracker
from mustardward.components.forwarding.models import PeerReply, PeerRequest
from mustardward.components.forwarding.peers import PeerSelector
from mustardward.components.forwarding.relay import StoreRelay
from mustardward.components.forwarding.services import PeerOutcome
from mustardward.components.front.models import Reply, Request
from mustardward.components.ledger.ahead import UnloggedCompletions
from mustardward.components.ledger.const import KEY_OWNER, PREFIX_REPORTED, TOPIC
from mustardward.components.ledger.ledger import encode
from mustardward.components.ledger.models import JobState, OwnerRecord
from mustardward.standin.estate.store import Mood
from tests.components.ledger.builders import async_appending

from ..front.builders import BODY, HOST, JOB, PREFIX, FrontBench

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
        self.outcome = PeerOutcome(None, False)
        self.asked: list[PeerRequest] = []
        self.node_reply: PeerReply | None = None
        self.nodes_asked: list[tuple[str, str, str]] = []
        self.others: dict[str, tuple[str, str]] = {}

    def ranked_peers(self) -> list[tuple[str, str]]:
        return PeerSelector("me", "z1").ranked_peers(self.others, 0.0)

    async def async_send_to_node(
        self, name: str, request: PeerRequest
    ) -> PeerReply | None:
        self.nodes_asked.append((name, request.method, request.path))
        return self.node_reply

    async def async_forward(self, request: PeerRequest) -> PeerOutcome:
        self.asked.append(request)
        return self.outcome


class FailoverBench(FrontBench):
    """Hold an entry whose peers obey the test."""

    def __init__(self) -> None:
        super().__init__()
        self.forwarder = _Forwarder()
        self.unlogged = UnloggedCompletions()
        self.completions = CompletionTracker(
            "me",
            self.unlogged,
            self.ledger,
            self.follower,
            self.appender,
            self.forwarder,  # type: ignore[arg-type]
            self.timers,
        )
        self.failover = FailoverHandler(
            self.front,
            self.forwarder,  # type: ignore[arg-type]
            self.timers,
            self.completions,
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

    async def async_cut_off(self, mood: Mood = Mood.REFUSING) -> None:
        """Let the log fail, long enough to be noticed."""
        self.store.mood = mood
        self.timers.pause(1.0)
        await self.follower.async_catch_up()
        self.timers.pause(1.0)


@asynccontextmanager
async def an_entry() -> AsyncIterator[FailoverBench]:
    bench = FailoverBench()
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
        bench.forwarder.outcome = PeerOutcome(PeerReply(200, b"{}"), False)
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
        bench.forwarder.outcome = PeerOutcome(None, True)
        assert (await bench.async_post()).status == 504


async def test_a_peer_is_asked_beside_an_append_that_hangs() -> None:
    async with an_entry() as bench:
        bench.store.mood = Mood.LOSING_ANSWERS
        bench.forwarder.outcome = PeerOutcome(PeerReply(200, b"{}"), False)
        with anyio.fail_after(HEDGE_DELAY_SECONDS + 2.0):
            assert (await bench.async_post()).status == 200
        assert len(bench.forwarder.asked) == 1


async def test_a_caller_that_comes_back_with_little_time_is_still_served() -> None:
    async with an_entry() as bench:
        assert (await bench.async_post(seconds=0.05)).status == 200


async def test_a_peer_that_is_cut_off_itself_says_so() -> None:
    async with an_entry() as bench:
        await bench.async_cut_off()
        asked = PeerRequest("POST", HOST, PREFIX + JOB, BODY, 1.0)
        reply = await bench.failover.async_answer_peer(asked)
        assert not reply.confirmed


def test_peers_of_other_data_centres_are_asked_first() -> None:
    book = PeerSelector("me", "z1")
    order = [name for name, _ in book.ranked_peers(NODES, 0.0)]
    assert order[0] == "c"
    assert sorted(order) == ["a", "b", "c"]


def test_a_shunned_peer_is_left_out_for_a_while() -> None:
    book = PeerSelector("me", "z1")
    book.back_off("c", 0.0)
    assert "c" not in dict(book.ranked_peers(NODES, PEER_BACKOFF_SECONDS / 2))
    assert "c" in dict(book.ranked_peers(NODES, PEER_BACKOFF_SECONDS * 2))


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
        bench.forwarder.outcome = PeerOutcome(PeerReply(200, b"{}", version=6), False)
        request = Request("GET", HOST, PREFIX, b"", bench.timers.monotonic() + 1.0)
        assert (await bench.failover.async_answer(request)).status == 200
        bench.forwarder.outcome = PeerOutcome(None, False)
        assert (await bench.failover.async_answer(request)).status == 503
        bench.store.mood = Mood.SERVING
        await bench.async_configure(6)
        assert (await bench.failover.async_answer(request)).status == 200


async def test_a_peer_that_is_behind_its_asker_answers_nothing() -> None:
    """Never let a peer answer by an older configuration than the asker's own.

    Symptom: an entry refused a queue that had gone, and 0.8 s later served it again.
    Sequence: two entries are cut off and come back now and then; one of them has read
    version 7, and while it is cut off again asks the other, which is at version 3.
    Cause: an asker kept to what peers had answered by, and not to what it had read.
    """
    async with an_entry() as bench:
        await bench.async_configure(3)
        asked = PeerRequest("POST", HOST, PREFIX + JOB, BODY, 1.0, version=7)
        reply = await bench.failover.async_answer_peer(asked)
        assert (reply.status, reply.confirmed) == (503, False)
        assert JOB not in bench.ledger.jobs and bench.store.topic_end(TOPIC) == 0
        await bench.async_configure(7)
        assert (await bench.failover.async_answer_peer(asked)).status == 200
        # What this entry has read, or a peer has answered by, goes with its own asks.
        await bench.async_cut_off()
        await bench.async_post()
        assert bench.forwarder.asked[-1].version == 7
        bench.timers.pause(ISOLATED_RETRY_SECONDS)
        bench.forwarder.outcome = PeerOutcome(PeerReply(200, b"{}", version=9), False)
        await bench.async_post()
        await bench.async_post()
        assert bench.forwarder.asked[-1].version == 9


async def test_a_peers_answer_names_the_version_that_it_went_by() -> None:
    async with an_entry() as bench:
        await bench.async_configure(4)
        asked = PeerRequest("GET", HOST, PREFIX, b"", 1.0)
        assert (await bench.failover.async_answer_peer(asked)).version == 4


async def async_store_reported(bench: FailoverBench) -> None:
    """Let the entry bring to the log what callers were told."""
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(bench.completions.async_run)
        await anyio.wait_all_tasks_blocked()
        await bench.timers.async_advance(1.0)
        await anyio.wait_all_tasks_blocked()
        tasks.cancel_scope.cancel()


async def async_get(bench: FailoverBench) -> bytes:
    """Return what a caller is told of the job."""
    deadline = bench.timers.monotonic() + 2.0
    request = Request("GET", HOST, PREFIX + JOB, b"", deadline)
    return (await bench.failover.async_answer(request)).body


@asynccontextmanager
async def an_entry_without_the_log() -> AsyncIterator[FailoverBench]:
    """Accept a job, owned by another entry, and lose the log."""
    async with an_entry() as bench:
        owner = OwnerRecord(1, "claim", "b", 1)
        bench.store.append(TOPIC, [(KEY_OWNER, encode(owner))])
        assert (await bench.async_post()).status == 200
        bench.timers.pause(0.2)
        assert await bench.follower.async_catch_up()
        await bench.async_cut_off()
        yield bench


async def test_where_no_peer_has_the_log_callers_are_refused_at_once() -> None:
    """Ask for a peer now and then, and not for each caller.

    Symptom: callers get no answer in what is left of their time. Sequence: the store is
    away for all and a data centre is cut off; each request asks peers in turn, those
    behind the cut give no sign for 0.3 s each. Cause: what one request found out was
    not known to the next.
    """
    async with an_entry() as bench:
        await bench.async_cut_off()
        for _ in range(5):
            assert (await bench.async_post()).status == 503
        assert len(bench.forwarder.asked) == 1
        bench.timers.pause(ISOLATED_RETRY_SECONDS)
        bench.forwarder.outcome = PeerOutcome(PeerReply(200, b"{}"), False)
        for _ in range(3):
            assert (await bench.async_post()).status == 200
        assert len(bench.forwarder.asked) == 4


async def test_an_end_is_told_while_the_store_is_away() -> None:
    """Tell callers what the owner knows, though nothing can be stored.

    Symptom: a job that ended in time is told as running for as long as the store is
    away, and counts as late. Sequence: the store is away for all, the last task ends,
    its caller asks another entry than the owner. Cause: states came from the log only.
    """
    async with an_entry_without_the_log() as bench:
        bench.forwarder.node_reply = PeerReply(404, b"")
        assert b"queued" in await async_get(bench)
        bench.forwarder.node_reply = PeerReply(200, b"")
        assert b"done" in await async_get(bench)
        assert bench.forwarder.nodes_asked == [("b", "ENDED", JOB)] * 2
        # It is held here now, though the owner is lost.
        bench.forwarder.node_reply = None
        assert b"done" in await async_get(bench)
        asked = PeerRequest("ENDED", "", JOB, b"", 1.0)
        assert bench.completions.answer_peer(asked).status == 200


async def test_a_told_end_is_brought_to_the_log() -> None:
    """The owner and the worker may be lost before they could store it."""
    async with an_entry_without_the_log() as bench:
        bench.forwarder.node_reply = PeerReply(200, b"")
        assert b"done" in await async_get(bench)
        bench.store.mood = Mood.SERVING
        bench.timers.pause(1.0)
        assert await bench.follower.async_catch_up()
        await async_store_reported(bench)
        assert bench.ledger.jobs[JOB].state is JobState.DONE
        keys = [record.key for record in bench.store.records_from(TOPIC, 0)]
        assert keys.count(PREFIX_REPORTED + JOB) == 1


async def test_with_the_log_nobody_is_asked_for_ends() -> None:
    async with an_entry() as bench:
        bench.unlogged.add(JOB)
        assert (await bench.async_post()).status == 200
        assert b"queued" in await async_get(bench)
        assert bench.forwarder.nodes_asked == []


async def test_an_owner_tells_an_end_only_once_another_entry_holds_it() -> None:
    """Let no end be lost with the owner and a worker alone.

    Symptom: tasks ran again five seconds after their job was told as done. Sequence:
    the store is away; a caller of the owner's own entry is told the end; the worker
    crashes without a sign, and the owner loses power, before the store is back. Cause:
    where the owner tells an end itself, nobody but it and the worker knew of it.
    """
    async with an_entry_without_the_log() as bench:
        for name, zone in (("b", "z1"), ("c", "z2"), ("me", "z1")):
            bench.forwarder.others[name] = (f"{name}:1", zone)
        bench.unlogged.completed_at_owner = lambda job_id: job_id == JOB
        bench.forwarder.node_reply = None
        assert b"queued" in await async_get(bench)
        assert bench.forwarder.nodes_asked == [
            ("c", "WITNESS", JOB),
            ("b", "WITNESS", JOB),
        ]
        bench.forwarder.node_reply = PeerReply(200, b"")
        assert b"done" in await async_get(bench)
        asked = len(bench.forwarder.nodes_asked)
        assert b"done" in await async_get(bench)
        assert len(bench.forwarder.nodes_asked) == asked


async def test_a_witness_holds_an_end_and_brings_it_to_the_log() -> None:
    async with an_entry() as bench:
        assert (await bench.async_post()).status == 200
        asked = PeerRequest("WITNESS", "", JOB, b"", 1.0)
        assert (await bench.failover.async_answer_peer(asked)).status == 200
        await async_store_reported(bench)
        keys = [record.key for record in bench.store.records_from(TOPIC, 0)]
        assert PREFIX_REPORTED + JOB in keys
