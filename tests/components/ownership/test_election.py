"""Test when an entry claims the shard."""

from __future__ import annotations

from mustardward.components.dispatch.const import AUTHORITY_SECONDS
from mustardward.components.ledger.models import OwnerRecord
from mustardward.components.ownership.const import (
    CLAIM_JITTER_SECONDS,
    OWNER_ANSWER_VALID_SECONDS,
    OWNER_CHECK_SECONDS,
    OWNER_QUERY_LEAD_SECONDS,
    OWNER_TIMEOUT_SECONDS,
    OWNER_UNCONFIRMED_SECONDS,
    SLOW_INSTANCE_DELAY_SECONDS,
)
from mustardward.components.ownership.election import (
    Election,
    should_hand_over,
)

MAX_TIMEOUT_SECONDS = OWNER_TIMEOUT_SECONDS + CLAIM_JITTER_SECONDS


def an_election(owner: OwnerRecord, jitter_position: float = 0.5) -> Election:
    election = Election("me", jitter_position)
    election.observe(owner, 100.0)
    return election


def test_no_entry_claims_while_the_owner_renews() -> None:
    election = an_election(OwnerRecord(1, "c", "other", 0))
    for renewal in range(1, 20):
        now = 100.0 + 0.5 * renewal
        election.observe(OwnerRecord(1, "c", "other", renewal), now)
        assert not election.should_claim(now)


def test_owner_without_renewals_is_replaced() -> None:
    election = an_election(OwnerRecord(1, "c", "other", 0))
    assert not election.should_claim(100.0 + OWNER_TIMEOUT_SECONDS)
    assert election.should_claim(100.0 + MAX_TIMEOUT_SECONDS)


def test_equally_fast_entries_claim_at_different_times() -> None:
    owner = OwnerRecord(1, "c", "other", 0)
    first = an_election(owner, jitter_position=0.0)
    last = an_election(owner, jitter_position=1.0)
    now = 100.0 + OWNER_TIMEOUT_SECONDS + CLAIM_JITTER_SECONDS / 2
    assert first.should_claim(now)
    assert not last.should_claim(now)


def test_released_shard_is_claimed_at_once() -> None:
    election = an_election(OwnerRecord(1, "c", "", 7))
    assert election.should_claim(100.1)


def test_restarted_process_of_the_owner_claims_at_once() -> None:
    election = an_election(OwnerRecord(1, "c", "me", 7))
    assert election.should_claim(100.0)


def test_outage_of_the_log_does_not_count_as_a_lost_owner() -> None:
    """Guard against an owner that changes after each outage of the store.

    The store is unavailable for 4 s. All entries count the owner as lost and claim
    before its next renewal arrives, and the new owner waits for unresponsive workers.
    The timeout must not run while no renewal can be read.
    """
    election = an_election(OwnerRecord(1, "c", "other", 0))
    election.restart_timeout(104.0)
    assert not election.should_claim(104.0 + OWNER_TIMEOUT_SECONDS)
    assert election.should_claim(104.0 + MAX_TIMEOUT_SECONDS)


def test_claim_follows_a_query_of_a_moment_before() -> None:
    """Guard against a claim by an old answer, since the owner may have renewed."""
    election = an_election(OwnerRecord(1, "c", "other", 0), jitter_position=0.0)
    due_at = 100.0 + OWNER_TIMEOUT_SECONDS
    assert not election.should_query(due_at - OWNER_QUERY_LEAD_SECONDS - 0.01)
    assert election.should_query(due_at - OWNER_QUERY_LEAD_SECONDS + 0.01)
    election.record_owner_unconfirmed(due_at - OWNER_QUERY_LEAD_SECONDS)
    assert not election.should_query(due_at + OWNER_CHECK_SECONDS)
    assert election.should_query(due_at + OWNER_UNCONFIRMED_SECONDS)
    election.record_claim()
    assert election.should_query(due_at)


def test_answer_does_not_outlast_the_authority() -> None:
    """Guard against an owner that is taken for sound after its authority has ended."""
    election = an_election(OwnerRecord(1, "c", "other", 0), jitter_position=0.0)
    sent_at = 100.0 + OWNER_TIMEOUT_SECONDS
    assert election.defer(sent_at, AUTHORITY_SECONDS - 0.1)
    assert not election.should_claim(sent_at + 0.05)
    assert election.should_query(sent_at + 0.11)
    assert not election.defer(sent_at + 0.11, AUTHORITY_SECONDS - 1.0)
    assert not election.should_query(sent_at + 0.11 + OWNER_ANSWER_VALID_SECONDS - 0.01)
    assert election.should_query(sent_at + 0.11 + OWNER_ANSWER_VALID_SECONDS + 0.01)


def test_fast_instances_claim_before_slow_ones_whatever_their_jitter() -> None:
    """Guard against an owner that renews leases too late, so that they expire.

    After an owner is lost, an instance with half a core claims a shard whose tasks need
    an owner with a whole core.
    """
    for owner in (OwnerRecord(1, "c", "other", 0), OwnerRecord(1, "c", "", 7)):
        fast = an_election(owner, jitter_position=1.0)
        slow = an_election(owner, jitter_position=0.0)
        slow.is_slow = True
        claimed = next(s for s in range(300) if fast.should_claim(100.0 + s / 100))
        assert not slow.should_claim(100.0 + claimed / 100)
        assert slow.should_claim(
            100.0 + MAX_TIMEOUT_SECONDS + SLOW_INSTANCE_DELAY_SECONDS
        )


def test_owner_hands_over_only_to_a_much_faster_instance() -> None:
    assert should_hand_over(0.5, [0.5, 2.1])
    assert not should_hand_over(1.0, [1.0, 1.2])
    assert not should_hand_over(1.0, [])
