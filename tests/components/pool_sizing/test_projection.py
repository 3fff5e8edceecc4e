"""Test the search for the smallest supply."""

from __future__ import annotations

import math

import pytest

from mustardward.components.pool_sizing.const import (
    CELL_SECONDS,
    CELLS,
    MAX_INSTANCES,
    MAX_WAIT_SECONDS,
)
from mustardward.components.pool_sizing.models import Demand, Supply
from mustardward.components.pool_sizing.projection import (
    UTILISATION,
    smallest_kept,
    smallest_order,
)

ORDER_SECONDS = 1.9


def a_demand(used: float, seconds: float, start: float = 0.0) -> Demand:
    """Return a demand of some instances for a time."""
    first, after = round(start / CELL_SECONDS), round((start + seconds) / CELL_SECONDS)
    cells = [used if first <= cell < after else 0.0 for cell in range(CELLS)]
    return Demand(cells, 0.0, 2)


def a_supply(present: int, *arrivals: float) -> Supply:
    return Supply(present, arrivals, ORDER_SECONDS)


def test_work_that_ends_before_an_instance_arrives_orders_none() -> None:
    """Guard against instances that arrive when the work is over."""
    assert smallest_order(a_demand(20.0, 1.0), a_supply(40)) == 0
    assert smallest_order(a_demand(6.0, 1.0), a_supply(4)) == 0


def test_lasting_work_orders_what_shortens_the_wait() -> None:
    """Guard against a pool that stays too small while work waits in it."""
    demand = a_demand(20.0, 5.0)
    count = smallest_order(demand, a_supply(10))
    assert count >= 14
    served = smallest_order(demand, a_supply(10, *[ORDER_SECONDS] * count))
    assert served == 0
    assert smallest_order(demand, a_supply(10, *[ORDER_SECONDS] * (count - 1))) > 0


def test_an_instance_on_its_way_is_not_ordered_again() -> None:
    """Guard against a second order for the same work in the next tick."""
    demand = a_demand(10.0, 5.0)
    count = smallest_order(demand, a_supply(4))
    assert smallest_order(demand, a_supply(4, *[ORDER_SECONDS] * count)) == 0


def test_an_instance_that_arrives_earlier_serves_more_of_the_waiting_work() -> None:
    demand = a_demand(10.0, 5.0)
    early = smallest_order(demand, a_supply(4, 0.2, 0.2, 0.2))
    late = smallest_order(demand, a_supply(4, 1.8, 1.8, 1.8))
    assert 0 < early < late


def test_long_running_work_leaves_less_room() -> None:
    """Guard against sizing by instances that long-running tasks fill."""
    short = a_demand(5.0, 5.0)
    both = Demand(short.cells, 6.0, 2)
    assert smallest_order(short, a_supply(8)) == 0
    assert smallest_order(both, a_supply(8)) > 0
    assert smallest_kept(both) - smallest_kept(short) == pytest.approx(
        6.0 / UTILISATION, abs=1.0
    )


def test_work_that_ends_before_a_late_instance_arrives_orders_none() -> None:
    """Guard against orders that arrive after their work, where a move takes long."""
    demand = a_demand(14.0, 1.0)
    late = Supply(2, (), 12.0)
    assert smallest_order(demand, Supply(2, (), 5.0)) > 0
    assert smallest_order(demand, late) == 0


def test_an_instance_is_kept_only_for_work_before_the_break_even_time() -> None:
    """Guard against a pool that stays on for seconds after a demand peak."""
    assert smallest_kept(a_demand(10.0, 2.0, start=1.0)) >= 10
    assert smallest_kept(a_demand(10.0, 2.0, start=2.5)) == 0


def test_a_wait_within_the_limit_orders_nothing() -> None:
    """Guard against an order for each fluctuation of the load."""
    used = 4 * UTILISATION + 4 * UTILISATION * MAX_WAIT_SECONDS / (2 * ORDER_SECONDS)
    assert smallest_order(a_demand(used, 5.0), a_supply(4)) == 0


@pytest.mark.parametrize("used", [2.0**53, 1e18, 1e300, math.inf, math.nan])
def test_any_demand_has_a_smallest_supply(used: float) -> None:
    """Guard against a search that never ends, which hangs each owner in turn."""
    demand = Demand([used] * CELLS, used, 2)
    assert MAX_INSTANCES <= smallest_kept(demand) < 3 * MAX_INSTANCES
    assert 0 < smallest_order(demand, a_supply(4)) < 20 * MAX_INSTANCES
