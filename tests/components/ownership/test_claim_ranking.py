"""Test that entries claim one after the other while the store is slow."""

from __future__ import annotations

import pytest

from mustardward.components.ledger.models import NodeRecord, OwnerRecord
from mustardward.components.ledger.store_latency import StoreLatency
from mustardward.components.ownership.claim_ranking import (
    claim_rank,
    rank_delay_seconds,
)
from mustardward.components.ownership.const import (
    MAX_FAST_RANKS,
    MAX_RANK_DELAY_SECONDS,
    OWNER_TIMEOUT_SECONDS,
)
from mustardward.components.ownership.election import Election
from mustardward.helpers.policies import switch_off

OWNER = OwnerRecord(1, "c", "e00", 0)
ENTRIES = {
    f"e{number:02}": NodeRecord("", f"z{number % 3}", 2.0 if number < 20 else 0.5)
    for number in range(42)
}
RESPONSE_SECONDS = 0.4


def slow_latency(seconds: float = RESPONSE_SECONDS) -> StoreLatency:
    latency = StoreLatency()
    latency.record_read(0.0, seconds, 0.0, has_records=False)
    return latency


def claim_times(latency: StoreLatency) -> dict[str, float]:
    """Return when each entry would claim after the timeout of the owner."""
    times: dict[str, float] = {}
    for name in ENTRIES.keys() - {OWNER.node}:
        election = Election(name, 0.5)
        election.observe(OWNER, 0.0)
        election.rank = claim_rank(name, OWNER, ENTRIES)
        delay = rank_delay_seconds(latency, 1.0, len(ENTRIES))
        election.record_rank_delay(delay)
        times[name] = next(s / 10 for s in range(2000) if election.should_claim(s / 10))
    return times


def test_few_entries_claim_before_the_first_claim_is_seen() -> None:
    """Guard against forty claims at once, which fill the partition of a slow store."""
    times = claim_times(slow_latency())
    first = min(times.values())
    assert first == OWNER_TIMEOUT_SECONDS
    early = [name for name, at in times.items() if at < first + 2 * RESPONSE_SECONDS]
    assert len(early) == 1
    assert ENTRIES[early[0]].speed == 2.0


def test_ranks_differ_among_fast_entries_and_begin_in_different_data_centres() -> None:
    """Guard against a takeover that waits for all entries of a lost data centre."""
    ranks = {claim_rank(f"e{number:02}", OWNER, ENTRIES) for number in range(1, 20)}
    assert ranks == set(range(19))
    zones = {
        entry.zone
        for name, entry in ENTRIES.items()
        if name != OWNER.node and claim_rank(name, OWNER, ENTRIES) < 3
        if entry.speed == 2.0
    }
    assert len(zones) == 3


def test_slow_entry_claims_soon_if_all_fast_ones_are_lost() -> None:
    """Guard against a shard without an owner while many fast entries are down."""
    slow = [claim_rank(f"e{number:02}", OWNER, ENTRIES) for number in range(20, 42)]
    assert min(slow) == MAX_FAST_RANKS
    assert sorted(slow) == list(range(MAX_FAST_RANKS, MAX_FAST_RANKS + len(slow)))


def test_order_differs_by_epoch() -> None:
    """Guard against an entry that is down and delays each takeover."""
    first = {
        next(
            name
            for name in ENTRIES
            if name != OWNER.node
            and claim_rank(name, OwnerRecord(epoch, "c", "e00", 0), ENTRIES) == 0
        )
        for epoch in range(1, 9)
    }
    assert len(first) > 3


def test_entry_without_a_record_claims_last() -> None:
    """Guard against an entry that has just started and claims with the first one."""
    assert claim_rank("new", OWNER, ENTRIES) == len(ENTRIES) - 1
    assert claim_rank("new", OWNER, {}) == 0


def test_ranks_hold_until_a_renewal_is_read_after_a_slow_store() -> None:
    """Guard against claims by all entries in the moment in which a store recovers."""
    election = Election("me", 0.0, rank=2)
    election.observe(OWNER, 0.0)
    election.record_rank_delay(1.0)
    election.record_rank_delay(0.0)
    assert not election.should_claim(OWNER_TIMEOUT_SECONDS + 1.9)
    assert election.should_claim(OWNER_TIMEOUT_SECONDS + 2.0)
    election.observe(OwnerRecord(1, "c", "e00", 1), 10.0)
    assert election.should_claim(10.0 + OWNER_TIMEOUT_SECONDS)


@pytest.mark.parametrize("seconds", [0.0, 0.006, 0.04])
def test_claims_are_not_ranked_with_a_fast_store(seconds: float) -> None:
    """Guard against a longer takeover where the store is as fast as usual."""
    assert rank_delay_seconds(slow_latency(seconds), 1.0, 42) == 0.0


def test_delay_between_ranks_is_limited() -> None:
    """Guard against a takeover that waits for minutes for a store that is down."""
    assert rank_delay_seconds(slow_latency(30.0), 31.0, 42) == MAX_RANK_DELAY_SECONDS


def test_claims_are_not_ranked_without_the_policy() -> None:
    """Guard against a switch that has no effect."""
    switch_off(["ranked-claims"])
    try:
        assert rank_delay_seconds(slow_latency(), 1.0, 42) == 0.0
    finally:
        switch_off([])
