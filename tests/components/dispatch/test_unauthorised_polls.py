"""Test that a poll that waited for a store renews no lease without authority."""

from __future__ import annotations

import anyio
import pytest

from ..fleet.live_workers import a_harness, a_running_task

pytestmark = pytest.mark.anyio


@pytest.mark.parametrize("authorised", [True, False])
async def test_poll_that_waits_for_a_store_renews_no_lease_without_authority(
    authorised: bool,
) -> None:
    """Guard against a lease that an owner renews after it has released the shard.

    The owner is stopped while a poll waits until the ends that it received are stored.
    """
    async with a_harness() as harness:
        await a_running_task(harness, "i-01")
        session = harness.dispatcher.sessions["i-01"]
        allowed = True
        session.authorised = lambda: allowed
        session.received_upto = session.stored_upto + 1
        await harness.async_advance_time(0.3)
        deadline_ms = session.lease.deadline_ms
        assert deadline_ms is not None
        allowed = authorised
        harness.timers.pause(3.0)
        session.acknowledge(session.received_upto)
        await anyio.wait_all_tasks_blocked()
        renewed = session.lease.deadline_ms != deadline_ms
    assert renewed == authorised
