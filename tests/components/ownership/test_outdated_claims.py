"""Test what a claim relies on while it is outstanding."""

from __future__ import annotations

import anyio
import pytest

from mustardward.components.dispatch.const import TOKENS_PER_EPOCH
from mustardward.components.ledger.const import KEY_OWNER, TOPIC
from mustardward.components.ledger.ledger import Ledger, encode
from mustardward.components.ledger.models import OwnerRecord
from mustardward.components.ownership.owner import Owner
from mustardward.components.ownership.renewals import blocked_until
from mustardward.components.ownership.services import Ownership
from mustardward.helpers.timer import DrivenTimerService
from mustardward.platform.exceptions import CallRefusedError
from mustardward.platform.store import Producer

from .test_claim import STEP_SECONDS, PagedStore, an_ownership

pytestmark = pytest.mark.anyio

LEASE_SECONDS = 3.0
MACHINE = "m-00"


class RefusingStore(PagedStore):
    """Simulate a store that can refuse the appends of one entry."""

    refuses_appends = False
    refused = 0

    async def async_append(
        self,
        topic: str,
        records: list[tuple[str, bytes]],
        producer: Producer | None = None,
        timeout_seconds: float = 1.0,
    ) -> int:
        if self.refuses_appends:
            self.refused += 1
            raise CallRefusedError("busy")
        return await super().async_append(topic, records, producer)


class ClaimHarness:
    """Provide an entry whose claim is stored late."""

    def __init__(self) -> None:
        self.store = RefusingStore()
        self.timers = DrivenTimerService()
        record = OwnerRecord(1, "c", "node-1", 0, self.timers.wall())
        self.store.append(TOPIC, [(KEY_OWNER, encode(record))])
        self.ownership: Ownership = an_ownership(self.store, self.timers)
        self.store.delays_appends = True

    def newest_owner_record(self) -> OwnerRecord:
        """Return what other entries read."""
        ledger = Ledger()
        for record in self.store.records_from(TOPIC, 0):
            ledger.apply(record)
        return ledger.owner

    def store_claim(self) -> None:
        """Perform the outstanding append of the claim; later ones are not delayed."""
        assert self.store.late_append is not None
        self.store.late_append()
        self.store.delays_appends = False

    async def async_advance_time(self, seconds: float) -> None:
        for _ in range(round(seconds / STEP_SECONDS)):
            await anyio.wait_all_tasks_blocked()
            await self.timers.async_advance(STEP_SECONDS)
        await anyio.wait_all_tasks_blocked()


async def test_instance_ordered_while_a_claim_is_outstanding_is_blocked() -> None:
    """Guard against two owners that order one instance within a lease.

    The previous owner names the instance after the claim was sent and before it is
    stored, which the log allows.
    """
    harness = ClaimHarness()
    owners: list[Owner | None] = []
    assert await harness.ownership._dependencies.follower.async_catch_up()

    async def async_claim() -> None:
        owners.append(await harness.ownership._async_claim())

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(async_claim)
        await anyio.wait_all_tasks_blocked()
        now = harness.timers.wall()
        announced = OwnerRecord(1, "c", "node-1", 1, now, [MACHINE])
        harness.store.append(TOPIC, [(KEY_OWNER, encode(announced))])
        harness.store_claim()
        while not owners:
            await harness.async_advance_time(STEP_SECONDS)
    owner = owners[0]
    assert owner is not None
    now = harness.timers.monotonic()
    blocked = blocked_until(owner._previous, now, harness.timers.wall(), LEASE_SECONDS)
    assert blocked.get(MACHINE, 0.0) > now


async def test_entry_that_resigns_during_its_claim_keeps_no_shard() -> None:
    """Guard against a shard whose owner shuts down without a release."""
    harness = ClaimHarness()
    follower = harness.ownership._dependencies.follower
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(follower.async_run)
        tasks.start_soon(harness.ownership.async_run)
        while harness.store.late_append is None:
            await harness.async_advance_time(STEP_SECONDS)
        await harness.ownership.async_resign()
        harness.store_claim()
        await harness.async_advance_time(2.0)
        owner = harness.newest_owner_record()
        tasks.cancel_scope.cancel()
    assert owner.epoch == 1 + TOKENS_PER_EPOCH
    assert not owner.node


@pytest.mark.parametrize("renews", [False, True])
async def test_refused_claim_is_given_up_once_the_owner_renews(renews: bool) -> None:
    """Guard against a change of owner by a timeout that is over."""
    harness = ClaimHarness()
    harness.store.delays_appends = False
    harness.store.refuses_appends = True
    follower = harness.ownership._dependencies.follower
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(follower.async_run)
        tasks.start_soon(harness.ownership.async_run)
        while not harness.store.refused:
            await harness.async_advance_time(STEP_SECONDS)
        for number in range(1, 6):
            if renews:
                renewed_at = harness.timers.wall()
                record = OwnerRecord(1, "c", "node-1", number, renewed_at)
                harness.store.append(TOPIC, [(KEY_OWNER, encode(record))])
            await harness.async_advance_time(0.4)
        harness.store.refuses_appends = False
        await harness.async_advance_time(0.5)
        owner = harness.newest_owner_record()
        tasks.cancel_scope.cancel()
    assert owner.node == ("node-1" if renews else "node-2")


async def test_release_after_a_claim_tells_what_the_previous_owner_left() -> None:
    """Guard against a successor that neither waits for old leases nor for orders."""
    harness = ClaimHarness()
    follower = harness.ownership._dependencies.follower
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(follower.async_run)
        tasks.start_soon(harness.ownership.async_run)
        while harness.store.late_append is None:
            await harness.async_advance_time(STEP_SECONDS)
        await harness.ownership.async_resign()
        now = harness.timers.wall()
        announced = OwnerRecord(1, "c", "node-1", 1, now, [MACHINE])
        harness.store.append(TOPIC, [(KEY_OWNER, encode(announced))])
        harness.store_claim()
        await harness.async_advance_time(2.0)
        owner = harness.newest_owner_record()
        assert harness.ownership.owner is None
        tasks.cancel_scope.cancel()
    assert (owner.epoch, owner.node) == (1 + TOKENS_PER_EPOCH, "")
    assert owner.ordered == [MACHINE]
    assert not owner.settled


async def test_entry_that_resigns_before_its_claim_is_sent_sends_none() -> None:
    """Guard against a claim by an entry that shuts down while it reads the log."""
    harness = ClaimHarness()
    ownership = harness.ownership
    follower = ownership._dependencies.follower
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(follower.async_run)
        await harness.async_advance_time(0.5)
        election = ownership._election
        election.observe(ownership._dependencies.ledger.owner, 0.0)
        assert await ownership._async_should_still_claim()
        await ownership.async_resign()
        assert not await ownership._async_should_still_claim()
        tasks.cancel_scope.cancel()
