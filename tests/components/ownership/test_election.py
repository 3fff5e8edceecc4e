"""Test when an entry claims the shard."""

from __future__ import annotations

from mustardward.components.ledger.models import OwnerRecord
from mustardward.components.ownership.const import (
    CLAIM_JITTER_SECONDS,
    OWNER_TIMEOUT_SECONDS,
    SLOW_INSTANCE_DELAY_SECONDS,
)
from mustardward.components.ownership.election import (
    Election,
    should_hand_over,
)

LONGEST = OWNER_TIMEOUT_SECONDS + CLAIM_JITTER_SECONDS


def an_election(owner: OwnerRecord, jitter_position: float = 0.5) -> Election:
    election = Election("me", jitter_position)
    election.observe(owner, 100.0)
    return election


def test_nobody_claims_while_the_owner_renews() -> None:
    election = an_election(OwnerRecord(1, "c", "other", 0))
    for beat in range(1, 20):
        now = 100.0 + 0.5 * beat
        election.observe(OwnerRecord(1, "c", "other", beat), now)
        assert not election.should_claim(now)


def test_a_silent_owner_is_replaced() -> None:
    election = an_election(OwnerRecord(1, "c", "other", 0))
    assert not election.should_claim(100.0 + OWNER_TIMEOUT_SECONDS)
    assert election.should_claim(100.0 + LONGEST)


def test_equal_entries_claim_at_different_times() -> None:
    owner = OwnerRecord(1, "c", "other", 0)
    first = an_election(owner, jitter_position=0.0)
    last = an_election(owner, jitter_position=1.0)
    now = 100.0 + OWNER_TIMEOUT_SECONDS + CLAIM_JITTER_SECONDS / 2
    assert first.should_claim(now)
    assert not last.should_claim(now)


def test_a_released_shard_is_claimed_at_once() -> None:
    election = an_election(OwnerRecord(1, "c", "", 7))
    assert election.should_claim(100.1)


def test_the_owners_own_new_process_claims_at_once() -> None:
    election = an_election(OwnerRecord(1, "c", "me", 7))
    assert election.should_claim(100.0)


def test_an_outage_of_the_log_is_not_the_owners_silence() -> None:
    """No entry claims just because the log was away.

    Symptom: after each outage of the store the owner changed, and the new one waited
    for the workers that did not answer it.
    Sequence: the store was away for 4 s; all entries counted the owner as silent, and
    claimed before its renewal came.
    Cause: silence was counted while nobody could have heard anything.
    """
    election = an_election(OwnerRecord(1, "c", "other", 0))
    election.restart_timeout(104.0)
    assert not election.should_claim(104.0 + OWNER_TIMEOUT_SECONDS)
    assert election.should_claim(104.0 + LONGEST)


def test_large_instances_claim_before_small_ones_whatever_their_chance() -> None:
    """A shard whose tasks need a whole core is not owned by half of one.

    Symptom: after the owner was lost an instance with half a core took over; leases
    were renewed too late, and lapsed.
    """
    for owner in (OwnerRecord(1, "c", "other", 0), OwnerRecord(1, "c", "", 7)):
        fast = an_election(owner, jitter_position=1.0)
        slow = an_election(owner, jitter_position=0.0)
        slow.is_slow = True
        claimed = next(s for s in range(300) if fast.should_claim(100.0 + s / 100))
        assert not slow.should_claim(100.0 + claimed / 100)
        assert slow.should_claim(100.0 + LONGEST + SLOW_INSTANCE_DELAY_SECONDS)


def test_an_owner_gives_way_only_to_a_much_faster_instance() -> None:
    assert should_hand_over(0.5, [0.5, 2.1])
    assert not should_hand_over(1.0, [1.0, 1.2])
    assert not should_hand_over(1.0, [])
