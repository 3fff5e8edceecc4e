"""Choose for each unit how many instances to take at once and how long to wait; pure.

The unit whose budgets are tightest sets the time of the wave. All others have time to
spare, which is turned into less buffer (fewer at once) or fewer moves (more patience),
as the weights of the organisations on the pool say.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final

from ...state.models.templates import PlanWeights
from .plan_bounds import rounds
from .plan_models import Pace, PlanInput, PlanInstance, Unit
from .plan_units import PlanBudgets, group_by_unit, weights_of

STRETCH: Final = 1.25
"""How much longer than its bound a wave may take for the sake of other measures."""

MAXIMUM_PATIENCE_SECONDS: Final = 3600.0


@dataclass(frozen=True, slots=True)
class _Facts:
    """Hold what the choice for one unit is made from."""

    items: list[PlanInstance]
    most: int
    bound: float
    target: float
    cycle: float
    weights: PlanWeights


def choose_paces(facts: PlanInput) -> dict[Unit, Pace]:
    """Return the pace of each unit; none for one that no budget lets go."""
    budgets = PlanBudgets(facts)
    units = group_by_unit(facts)
    most = {unit: budgets.most_at_once(unit) for unit in units}
    bound = max(
        (rounds(len(items), most[unit]) for unit, items in units.items()), default=0
    )
    paces = {}
    for unit, items in units.items():
        if most[unit] == 0:
            continue
        weights = weights_of(facts.users.get(unit.pool, {}))
        target = _target(bound, weights) * facts.cycle_seconds
        paces[unit] = _choose(
            _Facts(
                items,
                most[unit],
                bound * facts.cycle_seconds,
                target,
                facts.cycle_seconds,
                weights,
            )
        )
    return paces


def _target(bound: int, weights: PlanWeights) -> float:
    """Return the cycles in which a unit has to be through once the canary is back.

    The canary's cycle comes out of the time that may be spent beyond the bound.
    """
    if weights.rollout >= max(weights.buffer, weights.moves):
        return bound
    return max(float(bound), bound * STRETCH - 1)


def _choose(facts: _Facts) -> Pace:
    return min(_paces(facts), key=lambda pace: (_cost(facts, pace), pace.concurrency))


def _paces(facts: _Facts) -> Iterator[Pace]:
    """Yield paces that keep the target, from the fastest on."""
    for concurrency in range(facts.most, 0, -1):
        turns = rounds(len(facts.items), concurrency)
        if turns * facts.cycle > facts.target and concurrency < facts.most:
            return
        yield Pace(concurrency, 0.0)
        for seconds in (facts.bound, facts.target):
            spare = seconds / turns - facts.cycle
            if spare > 0:
                yield Pace(concurrency, min(spare, MAXIMUM_PATIENCE_SECONDS))


def _cost(facts: _Facts, pace: Pace) -> float:
    turns = rounds(len(facts.items), pace.concurrency)
    # Within the bound of the tightest unit, time costs the wave nothing.
    seconds = max(facts.bound, turns * (facts.cycle + pace.patience))
    return (
        facts.weights.buffer * pace.concurrency / facts.most
        + facts.weights.moves * _moved_share(facts, pace)
        + facts.weights.rollout * seconds / facts.target
    )


def _moved_share(facts: _Facts, pace: Pace) -> float:
    """Return the share of tasks that are still running when patience is over.

    A task is met at any point of its run, so one twice as long as the patience moves
    in half of the cases.
    """
    lengths = [task.length for item in facts.items for task in item.tasks]
    if not lengths:
        return 0.0
    moved = sum(max(0.0, 1.0 - pace.patience / length) for length in lengths)
    return moved / len(lengths)
