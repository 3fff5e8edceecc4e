"""Test that a step of a successor's wall clock frees no instance ordered before."""

from __future__ import annotations

import anyio
import pytest

from mustardward.components.ledger.const import KEY_OWNER, TOPIC
from mustardward.components.ledger.ledger import encode
from mustardward.components.ledger.models import OwnerRecord
from mustardward.components.ownership.const import OWNER_TIMEOUT_SECONDS
from mustardward.components.ownership.election import Election
from mustardward.components.ownership.services import Ownership
from mustardward.platform.boot import BootBounds
from mustardward.platform.fleet import FleetPage
from mustardward.standin.estate.store import MemoryStore

from .builders import build_dependencies
from .test_clock_steps import LEASE_SECONDS, MACHINE, SteppedTimers

pytestmark = pytest.mark.anyio

STEP_SECONDS = 0.05


class EmptyFleet:
    """Simulate a platform without instances."""

    async def async_fetch_page(self, token: str = "") -> FleetPage:
        return FleetPage([], True, "")


class SuccessorHarness:
    """Provide an entry that reads the renewals of an owner until it is lost."""

    def __init__(self) -> None:
        self.timers = SteppedTimers()
        self.store = MemoryStore()
        dependencies = build_dependencies(
            "node-2",
            self.store,
            self.timers,
            bounds=BootBounds(lease_ms=1000 * LEASE_SECONDS),
            fleet=EmptyFleet(),
        )
        self.follower = dependencies.follower
        self.ownership = Ownership(dependencies, 0.0)

    def renew(self, renewal: int) -> None:
        """Store a renewal of the previous owner, which has just ordered an instance."""
        wall = self.timers.wall()
        record = OwnerRecord(1, "c", "node-1", renewal, wall, [MACHINE])
        self.store.append(TOPIC, [(KEY_OWNER, encode(record))])

    async def async_advance(self, seconds: float) -> None:
        for _ in range(round(seconds / STEP_SECONDS)):
            await anyio.wait_all_tasks_blocked()
            await self.timers.async_advance(STEP_SECONDS)
        await anyio.wait_all_tasks_blocked()

    def is_blocked(self) -> bool:
        """Return whether the new owner leaves the instance alone."""
        owner = self.ownership.owner
        assert owner is not None
        assert owner._fleet is not None
        return MACHINE in owner._fleet._blocked_machines()


@pytest.mark.parametrize("step_seconds", [0.0, 5.0, -5.0])
async def test_instance_is_blocked_for_a_lease_from_the_last_renewal(
    step_seconds: float,
) -> None:
    """Guard against two owners that order one instance within a lease."""
    harness = SuccessorHarness()
    harness.renew(0)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(harness.follower.async_run)
        tasks.start_soon(harness.ownership.async_run)
        await harness.async_advance(0.5)
        harness.renew(1)
        await harness.async_advance(0.5)
        harness.timers.step_seconds = step_seconds
        await harness.async_advance(OWNER_TIMEOUT_SECONDS)
        assert harness.is_blocked()
        await harness.async_advance(LEASE_SECONDS - OWNER_TIMEOUT_SECONDS)
        assert not harness.is_blocked()
        tasks.cancel_scope.cancel()


def test_renewal_of_the_first_read_may_be_of_any_age() -> None:
    """Guard against a new lease for an owner that was lost long before the start."""
    election = Election("me", 0.5)
    election.observe(OwnerRecord(1, "c", "other", 0), 100.0)
    assert election.renewal_read_at is None
    election.observe(OwnerRecord(1, "c", "other", 1), 101.0)
    election.observe(OwnerRecord(1, "c", "other", 1), 102.0)
    election.restart_timeout(103.0)
    assert election.renewal_read_at == 101.0
