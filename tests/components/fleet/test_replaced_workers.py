"""Test how long a worker is cordoned that came up before its upkeep was accepted."""

from __future__ import annotations

import pytest

from mustardward.components.fleet.order_executor import OrderOutcome

from .builders import OTHER
from .test_cordons import MAINTENANCE_SECONDS, FleetHarness
from .test_repeated_orders import (
    MACHINE,
    NEW_WORKER,
    OLD_WORKER,
    a_fleet,
    async_carry_out,
    repeats,
    with_row,
)

BORN_MS = 1000


def a_restarted_worker(worker_id: str) -> FleetHarness:
    """Return a fleet whose worker restarted before its first upkeep order had effect.

    :param worker_id: the id under which it is back.
    """
    fleet, _ = a_fleet("maintenance")
    order = fleet.wave_planner.runs[1].orders[MACHINE]
    order.started_at_ms = BORN_MS
    fleet.bench.scheduler.state.workers.pop(OLD_WORKER)
    fleet.bench.worker(worker_id, service=OTHER)
    fleet.worker(worker_id).started_at_ms = BORN_MS + 1
    fleet.apply_list(with_row(fleet, MACHINE, pool=OTHER, id=worker_id))
    return fleet


@pytest.mark.parametrize("worker_id", [OLD_WORKER, NEW_WORKER])
def test_worker_that_restarted_before_its_upkeep_is_cordoned(worker_id: str) -> None:
    """Guard against tasks that a repeated order interrupts, also under the same id."""
    assert a_restarted_worker(worker_id).worker(worker_id).cordoned


@pytest.mark.parametrize("worker_id", [OLD_WORKER, NEW_WORKER])
def test_worker_that_started_after_its_upkeep_is_not_cordoned(worker_id: str) -> None:
    """Guard against a worker that stays idle for an order that is over."""
    fleet = a_restarted_worker(worker_id)
    fleet.wave_planner.record_accepted(1, MACHINE, fleet.bench.now)
    fleet.worker(worker_id).started_at_ms += 1
    fleet.apply_list(with_row(fleet, MACHINE, pool=OTHER, id=worker_id))
    assert not fleet.worker(worker_id).cordoned


@pytest.mark.anyio
@pytest.mark.parametrize("worker_id", [OLD_WORKER, NEW_WORKER])
async def test_worker_that_outlives_its_accepted_upkeep_gets_tasks_again(
    worker_id: str,
) -> None:
    """Guard against the loss of a live worker whose upkeep had been done before.

    The platform accepts an order again that it has carried out already.
    """
    fleet = a_restarted_worker(worker_id)
    order = next(o for o in fleet.orders if getattr(o, "machine", "") == MACHINE)
    again = repeats(fleet, order)  # type: ignore[arg-type]
    fleet.outcome = OrderOutcome.BEGUN
    for repeated in again:
        await async_carry_out(fleet, repeated)
    assert again
    assert worker_id not in fleet.removed
    until = fleet.bench.now + MAINTENANCE_SECONDS
    while fleet.bench.now < until:
        fleet.apply_list(with_row(fleet, MACHINE, pool=OTHER, id=worker_id))
    assert not fleet.worker(worker_id).cordoned
