"""Test which instances count for their pool though they can run nothing now."""

from __future__ import annotations

from dataclasses import fields

import pytest

from mustardward.components.fleet.const import (
    HEARING_SECONDS_EACH,
    LEAST_INSTANCES,
    SILENT_SECONDS,
    UNHEARD_SECONDS,
)
from mustardward.components.fleet.models import Move
from mustardward.components.scheduling.placement import is_usable
from mustardward.components.scheduling.worker_state import WorkerState
from mustardward.platform.models import Instance, Room

from .builders import OTHER, POOL, STANDBY, an_instance
from .test_holds import FleetBench

SHORT_STATES = {"leaving"}
"""Of what the fleet does itself; the pool planner counts it by its own orders."""


def least_pools() -> list[Instance]:
    """Return two pools that have as many as they keep, and some that are off."""
    pool = [an_instance(number) for number in range(LEAST_INSTANCES)]
    pool += [an_instance(number, OTHER) for number in range(4, 4 + LEAST_INSTANCES)]
    return pool + [an_instance(number, STANDBY) for number in range(8, 12)]


def asked(fleet: FleetBench, seconds: float) -> list[Move]:
    """Return the moves of so many seconds in which nothing changes."""
    first = len(fleet.orders)
    until = fleet.bench.now + seconds
    while fleet.bench.now < until:
        fleet.look(list(fleet.fleet._instances.values()) or fleet.instances)
    return [order for order in fleet.orders[first:] if isinstance(order, Move)]


def flags() -> list[str]:
    """Return whatever of a worker is true or false."""
    worker = WorkerState("w", POOL, "", (), Room())
    return [f.name for f in fields(worker) if isinstance(getattr(worker, f.name), bool)]


@pytest.mark.parametrize("flag", flags())
def test_what_keeps_tasks_off_a_worker_for_long_has_it_replaced(flag: str) -> None:
    """Guards against a state that the task planner knows and the pools do not."""
    fleet = FleetBench(least_pools())
    asked(fleet, 1.0)
    worker = fleet.worker("i-00")
    setattr(worker, flag, not getattr(worker, flag))
    replaced = flag not in SHORT_STATES and not is_usable(worker, fleet.bench.now)
    moves = asked(fleet, SILENT_SECONDS + 2.0)
    assert {move.pool for move in moves} == ({POOL} if replaced else set())
    assert ("i-00" in fleet.bench.scheduler.state.unusable_workers) == replaced


def test_a_worker_that_refuses_or_is_in_quarantine_counts() -> None:
    """Guards against an instance that is asked for in place of one that is sound."""
    fleet = FleetBench(least_pools())
    fleet.worker("i-00").refusing_until = fleet.bench.now + 60.0
    fleet.worker("i-01").quarantined_until = fleet.bench.now + 60.0
    assert asked(fleet, 10.0) == []


@pytest.mark.parametrize("known", [True, False])
def test_no_instance_is_asked_for_while_a_takeover_hears_of_workers(
    known: bool,
) -> None:
    """Guards against as many instances more as there are, in the first seconds."""
    fleet = FleetBench(least_pools())
    state = fleet.bench.scheduler.state
    state.taken_over_at = fleet.bench.now
    workers = dict(state.workers)
    for worker in workers.values():
        worker.confirmed = False
    if not known:
        state.workers.clear()
    assert asked(fleet, UNHEARD_SECONDS) == []
    state.workers.update(workers)
    for worker in workers.values():
        worker.confirmed = True
    assert asked(fleet, 10.0) == []


def test_a_takeover_that_hears_of_no_worker_asks_once_for_what_is_missing() -> None:
    """Guards against instance after instance, none of which is heard of."""
    fleet = FleetBench(least_pools())
    fleet.bench.scheduler.state.taken_over_at = fleet.bench.now
    fleet.bench.scheduler.state.workers.clear()
    bound = UNHEARD_SECONDS + 12 * HEARING_SECONDS_EACH
    first = asked(fleet, bound + 0.5)
    assert len({move.machine for move in first}) <= 2 * LEAST_INSTANCES
    assert {move.machine for move in asked(fleet, 20.0)} <= {m.machine for m in first}


def test_an_instance_that_came_counts_for_a_while_before_it_is_heard_of() -> None:
    """Guards against a second instance for one that is coming, and one that never is.

    The list names no worker there at first.
    """
    fleet = FleetBench(least_pools())
    asked(fleet, 1.0)
    fleet.fleet._instances["m-00"] = an_instance(0, id=None)
    assert asked(fleet, SILENT_SECONDS) == []
    assert {move.pool for move in asked(fleet, UNHEARD_SECONDS)} == {POOL}
