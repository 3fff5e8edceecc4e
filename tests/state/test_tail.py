"""Count freshness from before a read was sent."""

from __future__ import annotations

import anyio
import anyio.lowlevel
import pytest

from mustardward.helpers.timer import DrivenTimerService
from mustardward.standin.protocol.models import LogEntry, LogPage
from mustardward.state.models.pools import PutPool
from mustardward.state.records import encode_batch
from mustardward.state.relay import RelayedEntry, RelayResponse, RelayStatus
from mustardward.state.replica import Replica
from mustardward.state.streams import FLEET_SPEC
from mustardward.state.tail import TailTracker
from tests.builders import build_record

pytestmark = pytest.mark.anyio


async def test_an_answer_under_way_says_nothing_of_a_later_question() -> None:
    """Answer a question only by a read sent after it.

    Symptom: a claim is checked against a tail that had already moved. Sequence: a read
    is sent, the question comes, the read's answer arrives in the same tick. Cause: the
    answer's arrival is compared instead of the read's start.
    """
    tail = TailTracker(DrivenTimerService())
    results: list[bool] = []

    async def ask() -> None:
        results.append(await tail.async_confirm(1.0))

    async with anyio.create_task_group() as group:
        early = tail.begin_read()
        group.start_soon(ask)
        await anyio.lowlevel.checkpoint()
        tail.record_read(early, 0, 0)
        await anyio.lowlevel.checkpoint()
        assert results == []
        tail.record_read(tail.begin_read(), 3, 2)
        await anyio.lowlevel.checkpoint()
        assert results == []
        tail.record_progress(3)
    assert results == [True]


async def test_an_answer_sent_for_before_a_pause_does_not_end_it() -> None:
    timers = DrivenTimerService()
    tail = TailTracker(timers)
    early = tail.begin_read()
    timers.pause(30.0)
    tail.require_confirmation()
    tail.record_read(early, 0, 0)
    assert not tail.sufficient
    assert tail.age_seconds == 30.0
    tail.record_peer(timers.monotonic(), 1.0)
    assert not tail.sufficient
    tail.record_read(tail.begin_read(), 0, 0)
    assert tail.sufficient
    assert tail.age_seconds == 0.0


async def test_a_peer_ahead_ends_a_pause_by_its_own_freshness() -> None:
    timers = DrivenTimerService()
    tail = TailTracker(timers)
    timers.pause(30.0)
    tail.require_confirmation()
    await timers.async_advance(5.0)
    tail.record_peer(timers.monotonic(), 4.0)
    assert tail.sufficient
    assert tail.age_seconds == 4.0


async def test_entries_that_a_peer_brought_first_are_folded_once() -> None:
    """Skip what was folded while a read was under way.

    Symptom: the follower ends with a gap. Sequence: a read is sent for offset 0, a peer
    relays offset 0 meanwhile, the read brings offsets 0 and 1. Cause: the page is
    folded from its first entry on.
    """
    replica = Replica(FLEET_SPEC, TailTracker(DrivenTimerService()))
    payloads = [
        encode_batch([build_record(PutPool(name), name)]) for name in ("etching", "b")
    ]
    reference = FLEET_SPEC.new_fold()
    reference.apply(0, payloads[0])
    relayed = RelayedEntry(0, payloads[0], reference.digest)
    answer = RelayResponse(RelayStatus.ENTRIES, 1, 0.0, (relayed,))
    tail = TailTracker(DrivenTimerService())
    await replica.async_apply_relayed(answer)
    await replica.async_apply_relayed(answer)
    entries = tuple(
        LogEntry(number, payload) for number, payload in enumerate(payloads)
    )
    await replica.async_apply_page(tail.begin_read(), LogPage(entries, 0, 2))
    assert replica.fold.next_offset == 2
    assert set(replica.fold.state.pools) == {"etching", "b"}
