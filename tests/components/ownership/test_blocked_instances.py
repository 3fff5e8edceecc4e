"""Test which instances a new owner may not order yet."""

from __future__ import annotations

import pytest

from mustardward.components.ledger.ledger import NO_OWNER
from mustardward.components.ledger.models import OwnerRecord
from mustardward.components.ownership.renewals import blocked_until

LEASE_SECONDS = 3.0
NOW = 50.0


def a_previous_owner(wall: float) -> OwnerRecord:
    """Return the last renewal of an owner that ordered two instances."""
    return OwnerRecord(1, "c", "n", 9, wall, ["m-1", "m-2"])


def test_first_owner_has_no_blocked_instances() -> None:
    assert blocked_until(NO_OWNER, NOW, 1000.0, LEASE_SECONDS) == {}


def test_instances_ordered_by_previous_owner_are_blocked_for_a_lease() -> None:
    """Guard against two owners that order the same instance within three seconds.

    An owner orders an instance to move and is killed. Two seconds later the next owner,
    which does not know of the order, orders the same instance to move elsewhere.
    """
    blocked = blocked_until(a_previous_owner(998.0), NOW, 1000.0, LEASE_SECONDS)
    assert blocked == {"m-1": pytest.approx(51.0), "m-2": pytest.approx(51.0)}


def test_clock_that_went_back_blocks_for_one_lease_at_most() -> None:
    blocked = blocked_until(a_previous_owner(1005.0), NOW, 1000.0, LEASE_SECONDS)
    assert blocked["m-1"] == NOW + LEASE_SECONDS


def test_instances_of_owner_lost_long_ago_are_not_blocked() -> None:
    """Guard against queues that wait 5 s for idle instances after a total power loss.

    Each new owner would wait for a whole lease, although the previous owner was lost
    most of that time ago.
    """
    assert (
        blocked_until(a_previous_owner(996.0), NOW, 1000.0, LEASE_SECONDS)["m-1"] == NOW
    )
