"""Test that freshness counts from the start of a read."""

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


async def test_read_in_flight_does_not_confirm_a_later_request() -> None:
    """Guard against checking a claim against an outdated tail.

    A read is sent, a confirmation is requested, and the response to the read arrives in
    the same clock tick. Only a read sent after the request may confirm it.
    """
    tail = TailTracker(DrivenTimerService())
    results: list[bool] = []

    async def confirm() -> None:
        results.append(await tail.async_confirm(1.0))

    async with anyio.create_task_group() as group:
        earlier_read = tail.begin_read()
        group.start_soon(confirm)
        await anyio.lowlevel.checkpoint()
        tail.record_read(earlier_read, 0, 0)
        await anyio.lowlevel.checkpoint()
        assert results == []
        tail.record_read(tail.begin_read(), 3, 2)
        await anyio.lowlevel.checkpoint()
        assert results == []
        tail.record_progress(3)
    assert results == [True]


async def test_read_sent_before_a_pause_does_not_confirm_the_tail_after_it() -> None:
    timers = DrivenTimerService()
    tail = TailTracker(timers)
    earlier_read = tail.begin_read()
    timers.pause(30.0)
    tail.require_confirmation()
    tail.record_read(earlier_read, 0, 0)
    assert not tail.sufficient
    assert tail.age_seconds == 30.0
    tail.record_peer(timers.monotonic(), 1.0)
    assert not tail.sufficient
    tail.record_read(tail.begin_read(), 0, 0)
    assert tail.sufficient
    assert tail.age_seconds == 0.0


async def test_peer_confirms_the_tail_after_a_pause_by_its_own_freshness() -> None:
    timers = DrivenTimerService()
    tail = TailTracker(timers)
    timers.pause(30.0)
    tail.require_confirmation()
    await timers.async_advance(5.0)
    tail.record_peer(timers.monotonic(), 4.0)
    assert tail.sufficient
    assert tail.age_seconds == 4.0


async def test_entries_relayed_during_a_read_are_applied_once() -> None:
    """Guard against a follower that ends with a gap error.

    A read is sent for offset 0, a peer relays offset 0 meanwhile, and the read returns
    offsets 0 and 1. Entries that are already applied have to be skipped.
    """
    replica = Replica(FLEET_SPEC, TailTracker(DrivenTimerService()))
    payloads = [
        encode_batch([build_record(PutPool(name), name)]) for name in ("etching", "b")
    ]
    reference = FLEET_SPEC.new_fold()
    reference.apply(0, payloads[0])
    relayed = RelayedEntry(0, payloads[0], reference.digest)
    response = RelayResponse(RelayStatus.ENTRIES, 1, 0.0, (relayed,))
    tail = TailTracker(DrivenTimerService())
    await replica.async_apply_relayed(response)
    await replica.async_apply_relayed(response)
    entries = tuple(
        LogEntry(number, payload) for number, payload in enumerate(payloads)
    )
    await replica.async_apply_page(tail.begin_read(), LogPage(entries, 0, 2))
    assert replica.fold.next_offset == 2
    assert set(replica.fold.state.pools) == {"etching", "b"}
