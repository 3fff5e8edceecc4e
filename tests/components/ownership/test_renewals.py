"""Test the content of an owner's renewals, and that none follows a release."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from mustardward.components.ledger.appender import GroupAppender
from mustardward.components.ledger.const import TOPIC
from mustardward.components.ledger.ledger import Ledger
from mustardward.components.ledger.models import OwnerRecord
from mustardward.components.ownership.const import RENEWAL_INTERVAL_SECONDS
from mustardward.components.ownership.renewals import Renewals
from mustardward.helpers.timer import DrivenTimerService
from mustardward.standin.estate.store import MemoryStore
from tests.components.ledger.builders import async_appending

pytestmark = pytest.mark.anyio


class _RenewalsHarness:
    """Provide an owner's renewals on an in-memory store."""

    def __init__(self) -> None:
        self.store = MemoryStore()
        self.timers = DrivenTimerService()
        self.appender = GroupAppender(
            lambda records, producer: self.store.async_append(TOPIC, records, producer),
            self.timers,
            "owner/s",
            epoch=3,
            sequence=1,
        )
        self.renewals = Renewals(3, "claim", "me", self.timers, self.appender, 3.0)

    def owner(self) -> OwnerRecord:
        """Return the owner as every entry reads it from the log."""
        ledger = Ledger()
        for record in self.store.records_from(TOPIC, 0):
            ledger.apply(record)
        return ledger.owner


@asynccontextmanager
async def a_harness() -> AsyncIterator[_RenewalsHarness]:
    harness = _RenewalsHarness()
    async with async_appending(harness.appender):
        yield harness


async def test_renewal_is_due_with_other_records_or_after_its_interval() -> None:
    async with a_harness() as harness:
        assert len(harness.renewals.due_records(with_others=True)) == 1
        assert harness.renewals.due_records(with_others=False) == []
        harness.timers.pause(RENEWAL_INTERVAL_SECONDS)
        assert len(harness.renewals.due_records(with_others=False)) == 1


async def test_no_renewal_follows_a_release() -> None:
    """Guard against rolling restarts that each leave the shard unowned for two seconds.

    The owner releases the shard, and its next renewal follows in the log, so that the
    other entries wait for the timeout of a lost owner.
    """
    async with a_harness() as harness:
        await harness.renewals.async_release(settled=True)
        assert harness.renewals.due_records(with_others=True) == []
        assert not await harness.renewals.async_announce("m-1")
        assert harness.owner().node == ""


async def test_ordered_instance_is_named_before_the_order_and_for_a_lease() -> None:
    async with a_harness() as harness:
        assert await harness.renewals.async_announce("m-1")
        assert harness.owner().ordered == ["m-1"]
        harness.timers.pause(3.5)
        assert await harness.renewals.async_announce("m-2")
        assert harness.owner().ordered == ["m-2"]


async def test_previous_owners_instances_are_named_for_a_lease() -> None:
    """Guard against three owners within a lease, the last of which orders again.

    The owner in between releases the shard soon, and has ordered nothing itself.
    """
    async with a_harness() as harness:
        behind = harness.timers.wall() - 9.0
        harness.renewals.carry_over(OwnerRecord(2, "c", "n", 9, behind, ["m-1"]))
        harness.timers.pause(2.5)
        assert await harness.renewals.async_announce("m-2")
        assert harness.owner().ordered == ["m-1", "m-2"]
        await harness.renewals.async_release(settled=True)
        assert harness.owner().ordered == ["m-1", "m-2"]


async def test_previous_owners_instances_are_not_named_after_a_lease() -> None:
    async with a_harness() as harness:
        now = harness.timers.wall()
        harness.renewals.carry_over(OwnerRecord(2, "c", "n", 9, now, ["m-1"]))
        harness.timers.pause(3.5)
        assert await harness.renewals.async_announce("m-2")
        assert harness.owner().ordered == ["m-2"]
