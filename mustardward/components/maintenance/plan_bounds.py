"""Work out from the budgets what no plan can beat; pure."""

from __future__ import annotations

import math

from .plan_models import PlanInput, PoolUnit
from .plan_units import PlanBudgets, group_by_unit


def rounds(instances: int, concurrency: int) -> int:
    """Return how many turns a slot takes at least."""
    return math.ceil(instances / concurrency) if concurrency else 0


def unit_bounds(plan_input: PlanInput) -> dict[PoolUnit, float]:
    """Return for each unit the least seconds that its budgets allow.

    At most so many instances are out at once, each for a cycle at least, so one of
    the places that they take turns in serves that many cycles one after another.
    """
    budgets = PlanBudgets(plan_input)
    return {
        unit: rounds(len(items), budgets.max_unavailable(unit))
        * plan_input.cycle_seconds
        for unit, items in group_by_unit(plan_input).items()
    }


def rollout_bound(plan_input: PlanInput) -> float:
    """Return the least seconds that the budgets allow for the whole wave."""
    return max(unit_bounds(plan_input).values(), default=0.0)


def canary_bound(plan_input: PlanInput) -> float:
    """Return the least seconds if the canary has to come back first.

    Until then nothing else is out, and the canary shortens its own unit alone.
    """
    budgets = PlanBudgets(plan_input)
    sizes = {
        unit: (len(items), budgets.max_unavailable(unit))
        for unit, items in group_by_unit(plan_input).items()
    }
    if sum(size for size, _ in sizes.values()) <= plan_input.canary:
        return rollout_bound(plan_input)
    best = math.inf
    for first in sizes:
        after = max(
            rounds(size - (plan_input.canary if unit == first else 0), most)
            for unit, (size, most) in sizes.items()
        )
        best = min(best, (1 + after) * plan_input.cycle_seconds)
    return best
