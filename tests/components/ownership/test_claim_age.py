"""Test what an owner may do whose claim was outstanding for long."""

from __future__ import annotations

from collections.abc import Callable

import anyio
import pytest

from mustardward.components.dispatch.const import AUTHORITY_SECONDS
from mustardward.components.ownership.authority import Authority
from mustardward.components.ownership.const import PAUSE_THRESHOLD_SECONDS

from .test_claim import STEP_SECONDS
from .test_outdated_claims import ClaimHarness

pytestmark = pytest.mark.anyio

CLAIM_SECONDS = 2.2


async def async_win(harness: ClaimHarness, disturb: Callable[[], None]) -> Authority:
    """Return the authority of an owner whose claim is stored after some time."""
    won: list[Authority] = []
    assert await harness.ownership._dependencies.follower.async_catch_up()

    async def async_claim() -> None:
        owner = await harness.ownership._async_claim()
        assert owner is not None
        won.append(owner._authority)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(async_claim)
        await anyio.wait_all_tasks_blocked()
        await harness.async_advance_time(CLAIM_SECONDS)
        disturb()
        harness.store_claim()
        while not won:
            await harness.async_advance_time(STEP_SECONDS)
    return won[0]


async def test_age_of_a_claim_is_no_pause() -> None:
    """Guard against an owner that takes a slow store for a pause of its process.

    It would read the log, which takes long too, before it sends its first command.
    """
    harness = ClaimHarness()
    sent_at = harness.timers.boottime()
    authority = await async_win(harness, lambda: None)
    assert authority.is_confirmed
    assert authority.is_valid()
    assert authority.tick() == 0
    age = harness.timers.boottime() - sent_at
    assert authority.renewal_age_seconds() == pytest.approx(age)
    assert CLAIM_SECONDS < age < AUTHORITY_SECONDS


@pytest.mark.parametrize("suspended", [False, True])
async def test_pause_during_a_claim_is_noticed(suspended: bool) -> None:
    """Guard against a claimant that was stopped and starts tasks of its successor."""
    harness = ClaimHarness()
    timers = harness.timers
    pause = timers.suspend if suspended else timers.pause
    authority = await async_win(harness, lambda: pause(PAUSE_THRESHOLD_SECONDS + 0.2))
    assert authority.tick() or not authority.is_confirmed
    assert not authority.is_valid()


async def test_first_renewal_is_sent_at_once() -> None:
    """Guard against a claim by others while a new owner waits for its next interval."""
    harness = ClaimHarness()
    ownership = harness.ownership
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(ownership._dependencies.follower.async_run)
        tasks.start_soon(ownership.async_run)
        while harness.store.late_append is None:
            await harness.async_advance_time(STEP_SECONDS)
        harness.store_claim()
        while ownership.owner is None:
            await harness.async_advance_time(STEP_SECONDS)
        renewal = harness.newest_owner_record().renewal
        tasks.cancel_scope.cancel()
    assert renewal == 1
