"""Test which instances a new owner leaves alone."""

from __future__ import annotations

import pytest

from mustardward.components.ledger.ledger import NO_OWNER
from mustardward.components.ledger.models import OwnerRecord
from mustardward.components.ownership.renewals import blocked_until

LEASE = 3.0
NOW = 50.0


def an_owner(wall: float) -> OwnerRecord:
    """Return the newest renewal of an owner that had ordered two instances."""
    return OwnerRecord(1, "c", "n", 9, wall, ["m-1", "m-2"])


def test_the_first_owner_leaves_nothing_alone() -> None:
    assert blocked_until(NO_OWNER, NOW, 1000.0, LEASE) == {}


def test_what_the_owner_before_ordered_is_left_alone_for_a_lease() -> None:
    """No instance is ordered by two owners within a lease.

    Symptom: two holders took turns at one instance within three seconds.
    Sequence: the owner ordered an instance to move and was killed; the next owner
    ordered the same instance elsewhere two seconds later.
    Cause: the next owner did not know what had been ordered.
    """
    barred = blocked_until(an_owner(998.0), NOW, 1000.0, LEASE)
    assert barred == {"m-1": pytest.approx(51.0), "m-2": pytest.approx(51.0)}


def test_a_clock_that_jumped_back_adds_no_more_than_a_lease() -> None:
    barred = blocked_until(an_owner(1005.0), NOW, 1000.0, LEASE)
    assert barred["m-1"] == NOW + LEASE


def test_an_owner_lost_long_ago_is_not_waited_for() -> None:
    """After all entries were down, instances move as soon as somebody owns them.

    Symptom: after a loss of power everywhere, queues in their turn waited 5 s for
    instances that stood idle.
    Cause: each new owner waited a whole lease, though the one before it had been
    silent for most of that time.
    """
    assert blocked_until(an_owner(996.0), NOW, 1000.0, LEASE)["m-1"] == NOW
