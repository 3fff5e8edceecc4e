"""Test what an order that is repeated for want of an answer does to workers."""

from __future__ import annotations

import pytest

from mustardward.components.fleet.const import MIN_POOL_INSTANCES
from mustardward.components.fleet.models import Maintain, Move
from mustardward.components.fleet.order_executor import OrderOutcome
from mustardward.platform.models import Instance

from .builders import OTHER, a_wave, an_instance
from .test_cordons import FleetHarness

MACHINE = "m-04"
OLD_WORKER = "i-04"
NEW_WORKER = "i-90"


def a_fleet(kind: str) -> tuple[FleetHarness, Move | Maintain]:
    """Return a fleet with a first order for one machine that gets no answer."""
    instances = [an_instance(number) for number in range(MIN_POOL_INSTANCES + 1)]
    instances += [an_instance(4, OTHER)]
    fleet = FleetHarness(instances)
    if kind == "maintenance":
        fleet.wave_planner.runs[1] = a_wave([MACHINE])
        fleet.apply_list(instances)
    fleet.apply_list(instances)
    wanted = Move if kind == "move" else Maintain
    order = next(order for order in fleet.orders if isinstance(order, wanted))
    fleet.outcome = OrderOutcome.UNKNOWN
    return fleet, order


def with_row(fleet: FleetHarness, machine: str, **changes: object) -> list[Instance]:
    """Return the list with another row for one machine."""
    number = int(machine.removeprefix("m-"))
    rows = [row for row in fleet.instances if row.machine != machine]
    return [*rows, an_instance(number, **changes)]  # type: ignore[arg-type]


async def async_carry_out(fleet: FleetHarness, order: object) -> None:
    if isinstance(order, Move):
        await fleet.fleet._async_move(order)
    elif isinstance(order, Maintain):
        await fleet.fleet._async_maintain(order)


def repeats(fleet: FleetHarness, order: Move | Maintain) -> list[Move | Maintain]:
    """Return the repeated orders for a machine."""
    kind = type(order)
    all_orders = [o for o in fleet.orders if isinstance(o, kind)]
    return [o for o in all_orders if o.machine == order.machine][1:]


@pytest.mark.anyio
@pytest.mark.parametrize("listed", ["new", "old", "none"])
@pytest.mark.parametrize("kind", ["move", "maintenance"])
async def test_repeated_order_loses_only_the_worker_of_its_decision(
    kind: str, listed: str
) -> None:
    """Guard against two runs of the tasks of a worker that came by the first call.

    The list may already show the new worker, still show the old one, or lack the row.
    """
    fleet, order = a_fleet(kind)
    await async_carry_out(fleet, order)
    assert fleet.removed == []
    pool = order.pool if isinstance(order, Move) else OTHER
    fleet.bench.worker(NEW_WORKER, service=pool)
    old_row = next(r for r in fleet.instances if r.machine == order.machine)
    old_worker = old_row.id
    rows = with_row(fleet, order.machine, pool=pool, id=NEW_WORKER)
    if listed == "old":
        rows = fleet.instances
    elif listed == "none":
        rows = [row for row in fleet.instances if row is not old_row]
    for _ in range(3):
        fleet.apply_list(rows)
    again = repeats(fleet, order)
    assert again
    fleet.outcome = OrderOutcome.BEGUN
    for repeated in again:
        await async_carry_out(fleet, repeated)
    assert set(fleet.removed) == {old_worker}


def test_repeated_maintenance_interrupts_no_worker_that_may_get_tasks() -> None:
    """Guard against an interruption of tasks on a worker that crashed and came back.

    The first call was lost, and the repeated one is carried out.
    """
    fleet, order = a_fleet("maintenance")
    assert order.machine == MACHINE
    fleet.bench.scheduler.state.workers.pop(OLD_WORKER)
    fleet.bench.worker(NEW_WORKER, service=OTHER)
    rows = with_row(fleet, MACHINE, pool=OTHER, id=NEW_WORKER)
    fleet.apply_list(rows)
    fleet.apply_list(rows)
    assert repeats(fleet, order)
    assert fleet.worker(NEW_WORKER).cordoned
