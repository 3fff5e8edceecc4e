"""Choose the concurrency and drain grace period of each unit; pure.

The unit with the tightest budgets determines the duration of the wave. All others have
spare time, which the weights of the pool's organisations turn into a smaller buffer
(lower concurrency) or fewer moves (a longer grace period).
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final

from ...state.models.templates import PlanWeights
from .plan_bounds import rounds
from .plan_budgets import PlanBudgets, combine_weights, group_by_unit
from .plan_models import PlanInput, PlanInstance, PoolUnit, RolloutLimits

MAX_DURATION_RATIO: Final = 1.25
"""Maximum ratio of the wave duration to its bound in favour of other metrics."""

MAX_GRACE_SECONDS: Final = 3600.0


@dataclass(frozen=True, slots=True)
class _UnitInput:
    """Hold the inputs of the choice for one unit."""

    items: list[PlanInstance]
    max_unavailable: int
    bound_seconds: float
    target_seconds: float
    cycle_seconds: float
    weights: PlanWeights


def choose_limits(plan_input: PlanInput) -> dict[PoolUnit, RolloutLimits]:
    """Return the limits of each unit, without units that the budgets block."""
    budgets = PlanBudgets(plan_input)
    units = group_by_unit(plan_input)
    max_unavailable = {unit: budgets.max_unavailable(unit) for unit in units}
    bound_cycles = max(
        (rounds(len(items), max_unavailable[unit]) for unit, items in units.items()),
        default=0,
    )
    limits = {}
    for unit, items in units.items():
        if max_unavailable[unit] == 0:
            continue
        weights = combine_weights(plan_input.users.get(unit.pool, {}))
        target_seconds = (
            _target_cycles(bound_cycles, weights) * plan_input.cycle_seconds
        )
        limits[unit] = _choose_unit_limits(
            _UnitInput(
                items,
                max_unavailable[unit],
                bound_cycles * plan_input.cycle_seconds,
                target_seconds,
                plan_input.cycle_seconds,
                weights,
            )
        )
    return limits


def _target_cycles(bound_cycles: int, weights: PlanWeights) -> float:
    """Return the cycles within which a unit has to finish after the canary.

    The cycle of the canary is deducted from the time allowed beyond the bound.
    """
    if weights.rollout >= max(weights.buffer, weights.moves):
        return bound_cycles
    return max(float(bound_cycles), bound_cycles * MAX_DURATION_RATIO - 1)


def _choose_unit_limits(unit: _UnitInput) -> RolloutLimits:
    return min(
        _candidates(unit), key=lambda limits: (_cost(unit, limits), limits.concurrency)
    )


def _candidates(unit: _UnitInput) -> Iterator[RolloutLimits]:
    """Yield limits that meet the target, by descending concurrency."""
    for concurrency in range(unit.max_unavailable, 0, -1):
        rounds_needed = rounds(len(unit.items), concurrency)
        if (
            rounds_needed * unit.cycle_seconds > unit.target_seconds
            and concurrency < unit.max_unavailable
        ):
            return
        yield RolloutLimits(concurrency, 0.0)
        for seconds in (unit.bound_seconds, unit.target_seconds):
            spare = seconds / rounds_needed - unit.cycle_seconds
            if spare > 0:
                yield RolloutLimits(concurrency, min(spare, MAX_GRACE_SECONDS))


def _cost(unit: _UnitInput, limits: RolloutLimits) -> float:
    rounds_needed = rounds(len(unit.items), limits.concurrency)
    # Time within the bound of the tightest unit does not prolong the wave.
    seconds = max(
        unit.bound_seconds, rounds_needed * (unit.cycle_seconds + limits.grace_seconds)
    )
    return (
        unit.weights.buffer * limits.concurrency / unit.max_unavailable
        + unit.weights.moves * _moved_share(unit, limits)
        + unit.weights.rollout * seconds / unit.target_seconds
    )


def _moved_share(unit: _UnitInput, limits: RolloutLimits) -> float:
    """Return the expected share of tasks that outlast the grace period.

    A drain starts at a random point of a task's run, so a task that is twice as long
    as the grace period is moved in half of the cases.
    """
    durations = [task.duration for item in unit.items for task in item.tasks]
    if not durations:
        return 0.0
    moved = sum(
        max(0.0, 1.0 - limits.grace_seconds / duration) for duration in durations
    )
    return moved / len(durations)
