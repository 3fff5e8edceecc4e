"""Test how long a new owner orders no instance."""

from __future__ import annotations

import pytest

from mustardward.components.ledger.ledger import NO_OWNER
from mustardward.components.ledger.models import OwnerRecord
from mustardward.components.ownership.const import BEAT_SECONDS
from mustardward.components.ownership.owner import fleet_pause

LEASE = 3.0


def test_the_first_owner_does_not_wait() -> None:
    assert fleet_pause(NO_OWNER, 1000.0, LEASE) == 0.0


def test_a_released_shard_is_waited_for_from_its_release() -> None:
    before = OwnerRecord(1, "c", "", 9, wall=999.0)
    assert fleet_pause(before, 1000.0, LEASE) == pytest.approx(2.0)


def test_a_lost_owner_may_have_ordered_until_its_next_renewal() -> None:
    before = OwnerRecord(1, "c", "n", 9, wall=998.0)
    assert fleet_pause(before, 1000.0, LEASE) == pytest.approx(1.0 + BEAT_SECONDS)


def test_a_clock_that_jumped_back_adds_no_more_than_a_lease() -> None:
    before = OwnerRecord(1, "c", "n", 9, wall=1005.0)
    assert fleet_pause(before, 1000.0, LEASE) == LEASE


def test_an_owner_lost_long_ago_is_not_waited_for() -> None:
    """After all entries were down, instances move as soon as somebody owns them.

    Symptom: after a loss of power everywhere, queues in their turn waited 5 s for
    instances that stood idle.
    Cause: each new owner waited a whole lease, though the one before it had been
    silent for most of that time.
    """
    before = OwnerRecord(1, "c", "n", 9, wall=996.0)
    assert fleet_pause(before, 1000.0, LEASE) == 0.0
