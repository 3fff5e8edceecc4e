"""Test that an owner with authority is not deposed, and that a lost one is replaced."""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import anyio
import msgspec
import pytest

from mustardward.components.dispatch.const import AUTHORITY_SECONDS, TOKENS_PER_EPOCH
from mustardward.components.forwarding.models import PeerReply, PeerRequest
from mustardward.components.ownership.const import (
    CLAIM_JITTER_SECONDS,
    OWNER_ANSWER_VALID_SECONDS,
    OWNER_CHECK_SECONDS,
    OWNER_TIMEOUT_SECONDS,
)
from mustardward.components.ownership.owner_query import OwnerQuery, OwnerStatus
from mustardward.helpers.policies import switch_off
from mustardward.standin.estate.store import MemoryStore

from .test_stopped_owners import STEP_SECONDS, StoppableEntry, async_advance

pytestmark = pytest.mark.anyio

CLAIM_DELAY_SECONDS = (
    OWNER_TIMEOUT_SECONDS + CLAIM_JITTER_SECONDS + 2 * OWNER_CHECK_SECONDS
)
"""Latest claim after the newest renewal was read, by entries that read each 0.1 s."""


@dataclass(eq=False)
class PeerNetwork:
    """Connect entries; queries over a cut connection are not answered."""

    entries: dict[str, StoppableEntry] = field(default_factory=dict)
    cut: set[frozenset[str]] = field(default_factory=set)
    queries: int = 0

    def add(self, number: int, store: MemoryStore) -> StoppableEntry:
        name = f"node-{number}"
        peers = PeerEnd(self, name)
        self.entries[name] = StoppableEntry(name, store, number / 2, peers)
        return self.entries[name]


@dataclass(eq=False)
class PeerEnd:
    """Send the queries of one entry."""

    network: PeerNetwork
    node: str

    def ranked_peers(self) -> list[tuple[str, str]]:
        return [(name, "") for name in self.network.entries if name != self.node]

    async def async_send_to_node(
        self, name: str, request: PeerRequest
    ) -> PeerReply | None:
        self.network.queries += 1
        if frozenset((self.node, name)) in self.network.cut:
            return None
        return await self.network.entries[name].ownership.query.async_answer(request)


@asynccontextmanager
async def running_entries(
    count: int = 2,
) -> AsyncIterator[tuple[PeerNetwork, list[StoppableEntry]]]:
    """Run entries of which the first owns the shard."""
    network = PeerNetwork()
    store = MemoryStore()
    entries = [network.add(number, store) for number in range(count)]
    async with anyio.create_task_group() as tasks:
        for entry in entries:
            tasks.start_soon(entry.follower.async_run)
            tasks.start_soon(entry.ownership.async_run)
        await async_advance(1.0, *entries)
        assert [entry.epoch for entry in entries] == [1] + [0] * (count - 1)
        yield network, entries
        tasks.cancel_scope.cancel()


def hold_appends(entry: StoppableEntry) -> Callable[[], None]:
    """Hold an entry's appends; return the function that releases them."""
    released = entry.store.appends_released = anyio.Event()
    return released.set


async def test_owner_with_authority_is_not_deposed_by_a_slow_store() -> None:
    """Guard against a change of owner for a slow store alone."""
    async with running_entries() as (_, entries):
        release = hold_appends(entries[0])
        await async_advance(AUTHORITY_SECONDS - 0.5, *entries)
        release()
        await async_advance(2.0, *entries)
        assert [entry.epoch for entry in entries] == [1, 0]
        assert entries[0].may_command


async def test_owner_without_a_stored_renewal_is_replaced() -> None:
    """Guard against a shard whose owner answers, but may send no command."""
    async with running_entries() as (_, entries):
        hold_appends(entries[0])
        answer_seconds = OWNER_ANSWER_VALID_SECONDS + CLAIM_JITTER_SECONDS
        await async_advance(
            AUTHORITY_SECONDS + answer_seconds + 3 * OWNER_CHECK_SECONDS, *entries
        )
        assert entries[1].epoch == 1 + TOKENS_PER_EPOCH


async def test_unresponsive_owner_is_replaced_as_soon_as_without_a_query() -> None:
    """Guard against a takeover that waits for the answer of a lost owner."""
    async with running_entries() as (network, entries):
        network.cut.add(frozenset(("node-0", "node-1")))
        hold_appends(entries[0])
        await async_advance(CLAIM_DELAY_SECONDS, *entries)
        assert entries[1].epoch == 1 + TOKENS_PER_EPOCH


async def test_owner_that_is_lost_after_its_answer_is_replaced() -> None:
    """Guard against an answer that is taken for what happened after it."""
    async with running_entries() as (network, entries):
        hold_appends(entries[0])
        await async_advance(2.0, *entries)
        assert entries[1].epoch == 0
        network.cut.add(frozenset(("node-0", "node-1")))
        await async_advance(
            OWNER_ANSWER_VALID_SECONDS + CLAIM_JITTER_SECONDS + 3 * OWNER_CHECK_SECONDS,
            *entries,
        )
        assert entries[1].epoch == 1 + TOKENS_PER_EPOCH


async def test_entry_cut_off_from_the_owner_asks_through_another_one() -> None:
    """Guard against a sound owner that is deposed over one cut connection."""
    async with running_entries(3) as (network, entries):
        network.cut.add(frozenset(("node-0", "node-2")))
        release = hold_appends(entries[0])
        await async_advance(AUTHORITY_SECONDS - 0.5, *entries)
        release()
        await async_advance(2.0, *entries)
        assert [entry.epoch for entry in entries] == [1, 0, 0]


async def test_owner_that_no_entry_reaches_is_replaced() -> None:
    """Guard against entries that ask each other for ever."""
    async with running_entries(3) as (network, entries):
        network.cut.update(frozenset(("node-0", f"node-{n}")) for n in (1, 2))
        hold_appends(entries[0])
        await async_advance(CLAIM_DELAY_SECONDS, *entries)
        assert max(entry.epoch for entry in entries) == 1 + TOKENS_PER_EPOCH


async def test_winner_that_reads_its_claim_late_is_not_deposed() -> None:
    """Guard against claims while the winner's first renewal is still outstanding."""
    network = PeerNetwork()
    store = MemoryStore()
    entries = [network.add(number, store) for number in range(2)]
    winner, other = entries
    async with anyio.create_task_group() as tasks:
        for entry in entries:
            tasks.start_soon(entry.follower.async_run)
            tasks.start_soon(entry.ownership.async_run)
        winner.store.hold()
        await async_advance(CLAIM_DELAY_SECONDS + 0.5, *entries)
        assert winner.store.held
        assert [entry.epoch for entry in entries] == [0, 0]
        winner.store.release()
        release = hold_appends(winner)
        await async_advance(1.0, *entries)
        assert winner.may_command
        release()
        await async_advance(2.0, *entries)
        assert [entry.epoch for entry in entries] == [1, 0]
        assert not other.epoch
        tasks.cancel_scope.cancel()


async def test_answer_for_another_epoch_defers_no_claim() -> None:
    """Guard against a shard without an owner whose entry has lost it since.

    It claims another epoch, or answers before it knows its successor.
    """
    async with running_entries() as (_, entries):
        owner = entries[0].ownership.owner
        assert owner is not None
        hold_appends(entries[0])
        owner.status = lambda: OwnerStatus(2, True, 0.1)  # type: ignore[method-assign]
        await async_advance(CLAIM_DELAY_SECONDS, *entries)
        assert entries[1].epoch == 1 + TOKENS_PER_EPOCH


async def test_owners_with_authority_are_deposed_without_the_policy() -> None:
    """Guard against a switch that has no effect."""
    switch_off(["owner-queried"])
    try:
        async with running_entries() as (network, entries):
            hold_appends(entries[0])
            await async_advance(CLAIM_DELAY_SECONDS, *entries)
            assert entries[1].epoch == 1 + TOKENS_PER_EPOCH
            assert not network.queries
    finally:
        switch_off([])


async def test_no_renewing_owner_is_queried() -> None:
    """Guard against a query per entry and interval in normal operation."""
    async with running_entries() as (network, entries):
        await async_advance(20 * STEP_SECONDS + 3.0, *entries)
        assert not network.queries


@pytest.mark.parametrize(
    "reply",
    [
        None,
        PeerReply(404, b""),
        PeerReply(200, b"{}"),
        PeerReply(200, msgspec.msgpack.encode("no status")),
    ],
)
async def test_answer_of_an_older_build_counts_as_none(reply: PeerReply | None) -> None:
    """Guard against a claim that fails on an entry that doesn't know the query."""

    class OlderPeers(PeerEnd):
        async def async_send_to_node(
            self, name: str, request: PeerRequest
        ) -> PeerReply | None:
            return reply

    query = OwnerQuery("me", OwnerStatus, OlderPeers(PeerNetwork(), "me"))
    assert await query.async_ask("other") is None
