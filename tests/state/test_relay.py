"""Test the exchange of entries and images between peers."""

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


async def test_disconnected_data_centre_gets_changes_from_peers() -> None:
    """Guard against serving an old configuration while the platform is unreachable.

    A data centre is disconnected from the platform, and a change is accepted
    elsewhere. Peers have to relay it within the bound.
    """
    async with running_bench() as bench:
        client = LogClient(bench.service)
        log = bench.start()
        disconnected = bench.start(client, [log])
        await bench.async_settle()
        await bench.async_fill(log, 1)
        client.cut_off = True
        await bench.async_settle(1.0)
        await bench.async_fill(log, 2)
        await bench.async_until(
            lambda: disconnected.digest == log.digest, BOUND_SECONDS
        )
        assert not disconnected.log_reachable
        assert disconnected.tail_age_seconds() < BOUND_SECONDS
        client.cut_off = False
        await bench.async_fill(log, 1)
        await bench.async_settle(3.0)
        assert disconnected.digest == log.digest and disconnected.log_reachable


async def test_peers_provide_entries_while_the_log_is_slow() -> None:
    async with running_bench() as bench:
        client = LogClient(bench.service)
        log = bench.start()
        disconnected = bench.start(client, [log])
        await bench.async_settle()
        await bench.async_fill(log, 1)
        client.hang = True
        bench.service.wake()
        await bench.async_fill(log, 1)
        await bench.async_until(
            lambda: disconnected.digest == log.digest, BOUND_SECONDS
        )
        assert disconnected.next_offset == 2


async def test_new_node_takes_state_from_the_newest_peer_during_an_outage() -> None:
    async with running_bench() as bench:
        stale_client = LogClient(bench.service)
        log, stale = bench.start(), bench.start(stale_client)
        await bench.async_settle()
        await bench.async_fill(log, 2)
        stale_client.cut_off = True
        await bench.async_fill(log, 2)
        bench.service.out = True
        new_node = bench.start(peers=[stale, log])
        await bench.async_until(lambda: new_node.ready, BOUND_SECONDS)
        assert new_node.next_offset == 4 and new_node.digest == log.digest


async def test_all_entry_nodes_replaced_during_a_log_outage() -> None:
    """Guard against a new entry node that serves from an empty state.

    All entry nodes are replaced at once during an outage of the log, so no node has a
    state. None may become ready until the log is back.
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


async def test_stale_peer_does_not_revert_a_node() -> None:
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


async def test_peer_with_another_history_is_not_followed() -> None:
    """Guard against nodes whose states silently differ from some offset on.

    A peer has applied other entries at the same offsets, so the chained digest has to
    be compared in addition to offsets.
    """
    async with running_bench() as bench:
        client = LogClient(bench.service)
        log = bench.start()
        await bench.async_settle()
        await bench.async_fill(log, 1)
        other_log = FakeLog()
        for name in ("x", "y", "z"):
            other_log.put("fleet", encode_batch([build_record(PutPool(name), name)]))
        other = bench.start(LogClient(other_log))
        disconnected = bench.start(client, [other])
        await bench.async_settle()
        client.cut_off = True
        await bench.async_settle(10.0)
        assert disconnected.digest == log.digest
        assert set(disconnected.state.pools) == {"pool-0"}


async def test_node_that_may_not_decide_sends_no_state() -> None:
    async with running_bench() as bench:
        log = bench.start()
        await bench.async_settle()
        record = build_record(PutPool("attic"), "newer")
        object.__setattr__(record, "version", 99)
        bench.service.put("fleet", encode_batch([record]))
        await bench.async_settle(1.0)
        response = log.respond(RelayRequest("fleet", 0, ""))
        assert response.status is RelayStatus.UNAVAILABLE


def test_recent_entries_are_bounded_and_an_image_is_needed_beyond() -> None:
    recent = RecentEntries()
    for offset in range(MAX_RECENT_ENTRIES + 10):
        recent.add(RelayedEntry(offset, b"payload", f"digest-{offset}"))
    assert recent.since(9, "digest-8")[0] is RelayStatus.IMAGE_NEEDED
    status, entries = recent.since(10, "digest-9")
    assert (status, len(entries)) == (RelayStatus.ENTRIES, MAX_RECENT_ENTRIES)
    assert recent.since(20, "digest-x")[0] is RelayStatus.DIVERGED
