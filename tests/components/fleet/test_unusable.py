"""Test which instances don't count for their pool because they can't run tasks."""

from __future__ import annotations

from dataclasses import fields

import pytest

from mustardward.components.fleet.const import (
    FIRST_CONTACT_SECONDS,
    FIRST_CONTACT_SECONDS_PER_WORKER,
    MIN_POOL_INSTANCES,
    UNRESPONSIVE_SECONDS,
)
from mustardward.components.fleet.models import Move
from mustardward.components.scheduling.placement import is_usable
from mustardward.components.scheduling.worker_state import WorkerState
from mustardward.platform.models import Instance, Room

from .builders import OTHER, POOL, STANDBY, an_instance
from .test_cordons import FleetHarness

BRIEF_STATES = {"cordoned"}
"""Flags that fleet management sets itself; the pool planner counts its own orders."""


def minimum_pools() -> list[Instance]:
    """Return two pools of the minimum size, and some standby instances."""
    pool = [an_instance(number) for number in range(MIN_POOL_INSTANCES)]
    pool += [an_instance(number, OTHER) for number in range(4, 4 + MIN_POOL_INSTANCES)]
    return pool + [an_instance(number, STANDBY) for number in range(8, 12)]


def ordered_moves(fleet: FleetHarness, seconds: float) -> list[Move]:
    """Return the moves ordered within some seconds in which the list doesn't change."""
    first = len(fleet.orders)
    until = fleet.bench.now + seconds
    while fleet.bench.now < until:
        fleet.apply_list(list(fleet.fleet._instances.values()) or fleet.instances)
    return [order for order in fleet.orders[first:] if isinstance(order, Move)]


def boolean_fields() -> list[str]:
    """Return the names of the boolean fields of a worker."""
    worker = WorkerState("w", POOL, "", (), Room())
    return [f.name for f in fields(worker) if isinstance(getattr(worker, f.name), bool)]


@pytest.mark.parametrize("flag", boolean_fields())
def test_a_worker_that_stays_unusable_is_replaced(flag: str) -> None:
    """Guard against a flag that blocks placement but is ignored by the pool planner."""
    fleet = FleetHarness(minimum_pools())
    ordered_moves(fleet, 1.0)
    worker = fleet.worker("i-00")
    setattr(worker, flag, not getattr(worker, flag))
    replaced = flag not in BRIEF_STATES and not is_usable(worker, fleet.bench.now)
    moves = ordered_moves(fleet, UNRESPONSIVE_SECONDS + 2.0)
    assert {move.pool for move in moves} == ({POOL} if replaced else set())
    assert ("i-00" in fleet.bench.scheduler.state.unusable_workers) == replaced


def test_a_worker_that_refuses_or_is_quarantined_counts() -> None:
    """Guard against replacements for workers that recover by themselves."""
    fleet = FleetHarness(minimum_pools())
    fleet.worker("i-00").refusing_until = fleet.bench.now + 60.0
    fleet.worker("i-01").quarantined_until = fleet.bench.now + 60.0
    assert ordered_moves(fleet, 10.0) == []


@pytest.mark.parametrize("known", [True, False])
def test_no_instance_is_ordered_while_a_takeover_confirms_workers(
    known: bool,
) -> None:
    """Guard against replacing all instances in the first seconds after a takeover."""
    fleet = FleetHarness(minimum_pools())
    state = fleet.bench.scheduler.state
    state.taken_over_at = fleet.bench.now
    workers = dict(state.workers)
    for worker in workers.values():
        worker.confirmed = False
    if not known:
        state.workers.clear()
    assert ordered_moves(fleet, FIRST_CONTACT_SECONDS) == []
    state.workers.update(workers)
    for worker in workers.values():
        worker.confirmed = True
    assert ordered_moves(fleet, 10.0) == []


def test_a_worker_that_still_lists_its_ends_is_not_replaced() -> None:
    """Guard against replacing workers whose ended runs a slow store takes slowly."""
    fleet = FleetHarness(minimum_pools())
    fleet.bench.scheduler.state.taken_over_at = fleet.bench.now
    worker = fleet.worker("i-00")
    worker.confirmed, worker.listing_ends = False, True
    bound = FIRST_CONTACT_SECONDS + 12 * FIRST_CONTACT_SECONDS_PER_WORKER
    assert ordered_moves(fleet, 2 * bound) == []
    worker.stale = True
    assert {move.pool for move in ordered_moves(fleet, bound)} == {POOL}


def test_a_takeover_without_any_confirmed_worker_orders_replacements_once() -> None:
    """Guard against one order after another while no worker responds."""
    fleet = FleetHarness(minimum_pools())
    fleet.bench.scheduler.state.taken_over_at = fleet.bench.now
    fleet.bench.scheduler.state.workers.clear()
    bound = FIRST_CONTACT_SECONDS + 12 * FIRST_CONTACT_SECONDS_PER_WORKER
    first = ordered_moves(fleet, bound + 0.5)
    assert len({move.machine for move in first}) <= 2 * MIN_POOL_INSTANCES
    assert {move.machine for move in ordered_moves(fleet, 20.0)} <= {
        m.machine for m in first
    }


def test_a_new_instance_counts_for_a_while_before_its_first_response() -> None:
    """Guard against an early replacement of a new instance, and against none at all.

    The list shows no worker on a new instance at first.
    """
    fleet = FleetHarness(minimum_pools())
    ordered_moves(fleet, 1.0)
    fleet.fleet._instances["m-00"] = an_instance(0, id=None)
    assert ordered_moves(fleet, UNRESPONSIVE_SECONDS) == []
    assert {move.pool for move in ordered_moves(fleet, FIRST_CONTACT_SECONDS)} == {POOL}
