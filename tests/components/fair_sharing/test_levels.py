"""Test how a capacity is divided between organisations."""

from __future__ import annotations

import math
import random

import pytest

from mustardward.components.fair_sharing.levels import fair_level


def test_no_limit_while_all_demands_are_satisfied() -> None:
    assert fair_level({"a": 3.0, "b": 7.0}, {"a": 1.0, "b": 1.0}, 10.0) == math.inf
    assert fair_level({}, {}, 1.0) == math.inf


@pytest.mark.parametrize(
    ("demands", "weights", "expected"),
    [
        ({"a": 9.0, "b": 9.0}, {"a": 1.0, "b": 1.0}, 5.0),
        ({"a": 9.0, "b": 9.0}, {"a": 1.0, "b": 3.0}, 2.5),
        ({"a": 9.0, "b": 2.0}, {"a": 1.0, "b": 1.0}, 8.0),
        ({"a": 9.0, "b": 4.0}, {"a": 2.0}, 3.0),
        ({"a": 9.0, "b": 40.0}, {"a": 2.0}, 0.0),
    ],
    ids=["equal", "by weight", "what others leave", "no weight", "no room"],
)
def test_level_of_a_shared_capacity(
    demands: dict[str, float], weights: dict[str, float], expected: float
) -> None:
    assert fair_level(demands, weights, 10.0) == pytest.approx(expected)


def test_shares_amount_to_the_capacity_and_never_shrink_with_weight() -> None:
    chance = random.Random(5)
    for _ in range(300):
        names = [f"o{number}" for number in range(chance.randint(1, 9))]
        demands = {name: chance.expovariate(1.0) for name in names}
        weights = {name: chance.uniform(0.1, 5.0) for name in names}
        capacity = chance.uniform(0.1, 5.0)
        level = fair_level(demands, weights, capacity)
        shares = {name: min(demands[name], level * weights[name]) for name in names}
        assert sum(shares.values()) == pytest.approx(
            min(capacity, sum(demands.values()))
        )
        weights[names[0]] *= 2
        raised = fair_level(demands, weights, capacity)
        share = min(demands[names[0]], raised * weights[names[0]])
        assert share >= shares[names[0]] - 1e-9
