"""Compute lower bounds of the rollout time from the budgets; pure."""

from __future__ import annotations

import math

from .plan_budgets import PlanBudgets, group_by_unit
from .plan_models import PlanInput, PoolUnit


def rounds(instances: int, concurrency: int) -> int:
    """Return the minimum number of rounds at a given concurrency."""
    return math.ceil(instances / concurrency) if concurrency else 0


def unit_bounds(plan_input: PlanInput) -> dict[PoolUnit, float]:
    """Return for each unit the minimum rollout seconds that its budgets allow.

    The budgets limit how many instances are unavailable at once, each of them for at
    least one cycle, so the instances take at least ``rounds`` consecutive cycles.
    """
    budgets = PlanBudgets(plan_input)
    return {
        unit: rounds(len(items), budgets.max_unavailable(unit))
        * plan_input.cycle_seconds
        for unit, items in group_by_unit(plan_input).items()
    }


def rollout_bound(plan_input: PlanInput) -> float:
    """Return the minimum rollout seconds that the budgets allow for the wave."""
    return max(unit_bounds(plan_input).values(), default=0.0)


def canary_bound(plan_input: PlanInput) -> float:
    """Return the minimum rollout seconds if the canary has to return first.

    Until then no other instance is claimed, and the canary reduces only the remaining
    instances of its own unit.
    """
    budgets = PlanBudgets(plan_input)
    sizes = {
        unit: (len(items), budgets.max_unavailable(unit))
        for unit, items in group_by_unit(plan_input).items()
    }
    if sum(size for size, _ in sizes.values()) <= plan_input.canary:
        return rollout_bound(plan_input)
    best = math.inf
    for canary_unit in sizes:
        remaining_rounds = max(
            rounds(
                size - (plan_input.canary if unit == canary_unit else 0),
                limit,
            )
            for unit, (size, limit) in sizes.items()
        )
        best = min(best, (1 + remaining_rounds) * plan_input.cycle_seconds)
    return best
