"""Take the log's entries and state from peers."""

from __future__ import annotations

import pytest

from mustardward.state.models.pools import PutPool
from mustardward.state.records import encode_batch
from mustardward.state.relay import (
    MAX_RECENT_ENTRIES,
    RecentEntries,
    RelayedEntry,
    RelayRequest,
    RelayStatus,
)
from tests.builders import build_record
from tests.fakes.log import FakeLog, LogClient
from tests.fakes.log_bench import running_bench

pytestmark = pytest.mark.anyio

BOUND_SECONDS = 5.0


async def test_a_data_centre_cut_off_from_the_platform_gets_changes_from_peers() -> (
    None
):
    """Relay configuration within its bound.

    Symptom: a data centre serves an old configuration for as long as it can't reach
    the platform. Sequence: it is cut off, and a change is accepted elsewhere. Cause:
    entries come from the platform alone.
    """
    async with running_bench() as bench:
        client = LogClient(bench.service)
        log = bench.start()
        cut = bench.start(client, [log])
        await bench.async_settle()
        await bench.async_fill(log, 1)
        client.cut_off = True
        await bench.async_settle(1.0)
        await bench.async_fill(log, 2)
        await bench.async_until(lambda: cut.digest == log.digest, BOUND_SECONDS)
        assert not cut.log_reachable
        assert cut.tail_age_seconds() < BOUND_SECONDS
        client.cut_off = False
        await bench.async_fill(log, 1)
        await bench.async_settle(3.0)
        assert cut.digest == log.digest and cut.log_reachable


async def test_a_slow_log_is_helped_out_by_peers() -> None:
    async with running_bench() as bench:
        client = LogClient(bench.service)
        log = bench.start()
        cut = bench.start(client, [log])
        await bench.async_settle()
        await bench.async_fill(log, 1)
        client.hang = True
        bench.service.wake()
        await bench.async_fill(log, 1)
        await bench.async_until(lambda: cut.digest == log.digest, BOUND_SECONDS)
        assert cut.next_offset == 2


async def test_with_the_log_out_a_newcomer_takes_state_from_its_furthest_peer() -> None:
    async with running_bench() as bench:
        stale_client = LogClient(bench.service)
        log, stale = bench.start(), bench.start(stale_client)
        await bench.async_settle()
        await bench.async_fill(log, 2)
        stale_client.cut_off = True
        await bench.async_fill(log, 2)
        bench.service.out = True
        newcomer = bench.start(peers=[stale, log])
        await bench.async_until(lambda: newcomer.ready, BOUND_SECONDS)
        assert newcomer.next_offset == 4 and newcomer.digest == log.digest


async def test_all_entries_replaced_while_the_log_is_out() -> None:
    """Be truthful about having no state.

    Symptom: a fresh entry refuses all as unknown, or serves from nothing. Sequence:
    the log is out and every entry is replaced at once. Cause: an empty state is taken
    for the fleet's.
    """
    async with running_bench() as bench:
        old = bench.start()
        await bench.async_settle()
        await bench.async_fill(old, 3)
        bench.service.out = True
        old.stop()
        first = bench.start()
        second = bench.start(peers=[first])
        await bench.async_settle(30.0)
        assert not first.ready and not second.ready
        assert not first.may_decide and not second.may_decide
        bench.service.out = False
        await bench.async_settle(5.0)
        assert first.ready and second.ready
        assert first.digest == second.digest == old.digest


async def test_a_stale_peer_moves_nobody_back() -> None:
    async with running_bench() as bench:
        stale_client = LogClient(bench.service)
        client = LogClient(bench.service)
        stale = bench.start(stale_client)
        log = bench.start(client, [stale])
        await bench.async_settle()
        await bench.async_fill(log, 1)
        stale_client.cut_off = True
        await bench.async_fill(log, 2)
        client.cut_off = True
        await bench.async_settle(20.0)
        assert stale.next_offset == 1
        assert log.next_offset == 3 and len(log.state.pools) == 3
        assert log.tail_age_seconds() > 15.0


async def test_a_peer_that_folded_another_log_is_not_followed() -> None:
    """Compare the chained digest before taking entries.

    Symptom: two nodes differ from one offset on and nobody notices. Sequence: a peer
    folded other entries at the same offsets. Cause: offsets alone are compared.
    """
    async with running_bench() as bench:
        client = LogClient(bench.service)
        log = bench.start()
        await bench.async_settle()
        await bench.async_fill(log, 1)
        elsewhere = FakeLog()
        for name in ("x", "y", "z"):
            elsewhere.put("fleet", encode_batch([build_record(PutPool(name), name)]))
        other = bench.start(LogClient(elsewhere))
        cut = bench.start(client, [other])
        await bench.async_settle()
        client.cut_off = True
        await bench.async_settle(10.0)
        assert cut.digest == log.digest
        assert set(cut.state.pools) == {"pool-0"}


async def test_a_node_that_may_not_decide_gives_no_state_away() -> None:
    async with running_bench() as bench:
        log = bench.start()
        await bench.async_settle()
        record = build_record(PutPool("attic"), "newer")
        object.__setattr__(record, "version", 99)
        bench.service.put("fleet", encode_batch([record]))
        await bench.async_settle(1.0)
        answer = log.respond(RelayRequest("fleet", 0, ""))
        assert answer.status is RelayStatus.UNAVAILABLE


def test_kept_entries_are_bounded_and_ask_for_an_image_beyond() -> None:
    recent = RecentEntries()
    for offset in range(MAX_RECENT_ENTRIES + 10):
        recent.add(RelayedEntry(offset, b"payload", f"digest-{offset}"))
    assert recent.since(9, "digest-8")[0] is RelayStatus.IMAGE_NEEDED
    status, entries = recent.since(10, "digest-9")
    assert (status, len(entries)) == (RelayStatus.ENTRIES, MAX_RECENT_ENTRIES)
    assert recent.since(20, "digest-x")[0] is RelayStatus.DIVERGED
