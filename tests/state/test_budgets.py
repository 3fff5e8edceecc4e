"""Test availability budgets and their counters."""

from __future__ import annotations

import pytest

from mustardward.state.budget_counters import FLEET_SCOPE, PoolCounter, ceil_share
from mustardward.state.budgets import (
    BudgetIndex,
    all_budgets,
    check_one_more_unavailable,
    check_within_budgets,
    get_budget_index,
    recount_instance,
)
from mustardward.state.models.maintenance import Absence
from mustardward.state.models.pools import Move
from tests.fakes.fleet import build_fleet, build_organisation


@pytest.mark.parametrize(
    ("share", "total", "expected"),
    [(0.1, 30, 3), (0.5, 5, 3), (0.0, 9, 0), (1.0, 4, 4)],
)
def test_shares_round_up_without_rounding_errors(
    share: float, total: int, expected: int
) -> None:
    assert ceil_share(share, total) == expected


def test_the_largest_rack_shrinks_as_its_instances_go() -> None:
    counter = PoolCounter()
    for rack, size in (("a", 4), ("b", 2)):
        for _ in range(size):
            counter.add(rack, True, 1)
    assert counter.largest == 4
    for _ in range(3):
        counter.add("a", True, -1)
        counter.add("a", False, 1)
    assert (counter.total, counter.unavailable, counter.largest) == (6, 3, 2)


def test_the_reserve_is_the_larger_of_headroom_and_largest_rack() -> None:
    user = build_organisation("dairy", ("etching",), headroom=0.25)
    state = build_fleet(user, size=8, rack_size=3)
    assert [item.reserve for item in all_budgets(state, user)] == [3, 3]
    plain = build_organisation(
        "club", ("etching",), headroom=0.25, reserve_largest_rack=False
    )
    assert [item.reserve for item in all_budgets(state, plain)] == [2, 2]


def test_an_unavailable_instance_is_counted_once() -> None:
    user = build_organisation("dairy", ("etching",))
    state = build_fleet(user, size=8)
    first, second = "dc1-etching-000", "dc1-etching-001"
    state.absences[first] = Absence(first, "failed", "entry-1", 1)
    state.moves[first] = Move("m1", first, "etching", "casting", 1)
    state.moves[second] = Move("m2", second, "etching", "casting", 1)
    assert get_budget_index(state).count(state, "etching", "dc1").unavailable == 2
    del state.absences[first]
    recount_instance(state, first)
    recount_instance(state, first)
    assert get_budget_index(state).count(state, "etching", "dc1").unavailable == 2


def test_silent_data_centre_is_unavailable_only_in_fleet_scope() -> None:
    """Guard against losing all instances of a service after a partition heals.

    While a data centre is disconnected it can't report failures. If its instances
    counted as available, a wave elsewhere could claim instances down to the fleet's
    floor although the disconnected ones have failed.
    """
    user = build_organisation("dairy", ("etching",), reserve_largest_rack=False)
    state = build_fleet(user, data_centres=("dc1", "dc2"), size=4)
    instance = state.instances["dc1-etching-000"]
    assert check_one_more_unavailable(state, instance) is None
    state.silent.add("dc2")
    refusal = check_one_more_unavailable(state, instance)
    assert refusal is not None
    assert refusal.binding.scope == FLEET_SCOPE
    assert get_budget_index(state).count(state, "etching", "dc2").unavailable == 0


def test_a_refusal_names_organisation_scope_and_numbers() -> None:
    loose = build_organisation("club", ("etching",), minimum_available=0.1)
    strict = build_organisation("dairy", ("etching",), minimum_available=1.0)
    state = build_fleet(loose, strict, size=4)
    refusal = check_one_more_unavailable(state, state.instances["dc1-etching-000"])
    assert refusal is not None
    assert refusal.code == "budget-exceeded"
    binding = refusal.binding
    assert (binding.organisation, binding.scope) == ("dairy", "dc1")
    assert (binding.total, binding.floor, binding.margin) == (4, 4, -1)


def test_local_evidence_reduces_the_margin_of_an_unavailable_instance() -> None:
    user = build_organisation("dairy", ("etching",), reserve_largest_rack=False)
    state = build_fleet(user, size=4)
    unavailable_instance = state.instances["dc1-etching-000"]
    state.absences[unavailable_instance.instance_id] = Absence(
        unavailable_instance.instance_id, "failed", "e", 1
    )
    assert check_within_budgets(state, unavailable_instance) is None
    assert check_within_budgets(state, unavailable_instance, more_unavailable=1) is None
    assert (
        check_within_budgets(state, unavailable_instance, more_unavailable=2)
        is not None
    )


def test_counters_are_rebuilt_for_a_restored_state() -> None:
    """Guard against a node that accepts a claim which other nodes refuse.

    Claims and absences are part of a snapshot. Counters that started at zero after a
    restore would not include them.
    """
    state = build_fleet(build_organisation("dairy", ("etching",)), size=8)
    index = get_budget_index(state)
    failed = "dc1-etching-003"
    state.absences[failed] = Absence(failed, "failed", "entry-1", 1)
    recount_instance(state, failed)
    assert BudgetIndex(state).snapshot() == index.snapshot()
