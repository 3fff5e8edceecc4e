"""Test how many instances a pool orders, lends and keeps."""

from __future__ import annotations

from mustardward.components.pool_sizing.const import (
    CELLS,
    MINIMUM_MEMORY_SECONDS,
    RELEASE_DELAY_SECONDS,
)
from mustardward.components.pool_sizing.models import Demand, Supply
from mustardward.components.pool_sizing.sizing import PoolSizing

POOL = "pool-a"
ORDER_SECONDS = 1.9


def a_demand(used: float) -> Demand:
    return Demand([used] * CELLS, 0.0, 2)


def test_a_number_is_kept_until_it_has_been_too_large_for_a_while() -> None:
    """Guard against releasing instances whenever the forecast fluctuates."""
    sizing = PoolSizing()
    supply = Supply(10, (), ORDER_SECONDS)
    most = sizing.need(POOL, a_demand(8.0), supply, 0, 0.0).kept
    early = sizing.need(POOL, a_demand(2.0), supply, 0, RELEASE_DELAY_SECONDS - 0.1)
    late = sizing.need(POOL, a_demand(2.0), supply, 0, RELEASE_DELAY_SECONDS + 0.1)
    assert early.kept == most
    assert late.kept == early.lent < most


def test_each_pool_has_its_own_history() -> None:
    sizing = PoolSizing()
    supply = Supply(10, (), ORDER_SECONDS)
    sizing.need("pool-b", a_demand(8.0), supply, 0, 0.0)
    assert sizing.need(POOL, a_demand(0.0), supply, 0, 0.1).kept == 2


def test_an_instance_with_suspected_jobs_serves_no_other_work() -> None:
    sizing = PoolSizing()
    supply = Supply(4, (), ORDER_SECONDS)
    shared = sizing.need(POOL, a_demand(3.0), supply, 0, 0.0)
    isolated = PoolSizing().need(POOL, a_demand(3.0), supply, 1, 0.0)
    assert shared.ordered == 2
    assert isolated.ordered > 4


def test_the_minimum_of_recurring_jobs_is_kept_between_them() -> None:
    """Guard against instances of a spread step that are moved for each of its jobs."""
    sizing = PoolSizing()
    supply = Supply(8, (), ORDER_SECONDS)
    spread = Demand([0.5] * CELLS, 0.0, 8)
    sizing.need(POOL, spread, supply, 0, 0.0)
    between = sizing.need(POOL, a_demand(0.0), supply, 0, MINIMUM_MEMORY_SECONDS - 0.1)
    after = sizing.need(POOL, a_demand(0.0), supply, 0, MINIMUM_MEMORY_SECONDS + 0.6)
    assert between.kept == between.lent == 8
    assert after.kept == 2
