"""Test what an owner's renewals say, and that none follows a release."""

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


class _Bench:
    """Hold an owner's renewals on a store in memory."""

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
        """Return the owner as every entry folds it."""
        ledger = Ledger()
        for record in self.store.records_from(TOPIC, 0):
            ledger.apply(record)
        return ledger.owner


@asynccontextmanager
async def a_bench() -> AsyncIterator[_Bench]:
    bench = _Bench()
    async with async_appending(bench.appender):
        yield bench


async def test_a_renewal_goes_with_other_records_or_when_it_is_due() -> None:
    async with a_bench() as bench:
        assert len(bench.renewals.due_records(with_others=True)) == 1
        assert bench.renewals.due_records(with_others=False) == []
        bench.timers.pause(RENEWAL_INTERVAL_SECONDS)
        assert len(bench.renewals.due_records(with_others=False)) == 1


async def test_nothing_is_said_behind_a_release() -> None:
    """A renewal does not take a release back.

    Symptom: each restart in turn cost two seconds until another entry was the owner.
    Sequence: the owner gave the shard up, and its next renewal stood behind that in the
    log; the others waited as for an owner that died.
    """
    async with a_bench() as bench:
        await bench.renewals.async_release(settled=True)
        assert bench.renewals.due_records(with_others=True) == []
        assert not await bench.renewals.async_announce("m-1")
        assert bench.owner().node == ""


async def test_an_instance_is_named_before_it_is_ordered_and_for_a_lease() -> None:
    async with a_bench() as bench:
        assert await bench.renewals.async_announce("m-1")
        assert bench.owner().ordered == ["m-1"]
        bench.timers.pause(3.5)
        assert await bench.renewals.async_announce("m-2")
        assert bench.owner().ordered == ["m-2"]
