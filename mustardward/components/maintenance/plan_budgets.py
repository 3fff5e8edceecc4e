"""Track the budgets of a plan independently of the replicated state; pure."""

from __future__ import annotations

from collections import defaultdict

from ...state.budget_counters import (
    FLEET_SCOPE,
    Budget,
    PoolCounter,
    ScopeCount,
    compute_budget,
)
from ...state.models.templates import Parameters, PlanWeights
from .plan_models import PlanInput, PlanInstance, PoolUnit


class PlanBudgets:
    """Track the counters of all units while instances are removed and restored."""

    def __init__(self, plan_input: PlanInput) -> None:
        self._users = plan_input.users
        self._unreachable_data_centres = plan_input.unreachable_data_centres
        self._counters: dict[str, dict[str, PoolCounter]] = defaultdict(dict)
        for item in plan_input.instances:
            self._counter(item.unit).add(item.rack, item.available, 1)

    def remove(self, item: PlanInstance) -> None:
        """Count an instance as unavailable."""
        counter = self._counter(item.unit)
        counter.add(item.rack, True, -1)
        counter.add(item.rack, False, 1)

    def restore(self, item: PlanInstance) -> None:
        """Count an instance as available again."""
        counter = self._counter(item.unit)
        counter.add(item.rack, False, -1)
        counter.add(item.rack, True, 1)

    def tightest(self, unit: PoolUnit) -> Budget | None:
        """Return the budget with the smallest margin, or None without users."""
        users = self._users.get(unit.pool, {})
        counts = {
            unit.data_centre: self._count(unit),
            FLEET_SCOPE: self._fleet_count(unit.pool),
        }
        return min(
            (
                compute_budget(name, parameters, unit.pool, scope, count)
                for scope, count in counts.items()
                for name, parameters in users.items()
            ),
            key=lambda item: item.margin,
            default=None,
        )

    def margin(self, unit: PoolUnit) -> int:
        """Return how many more instances of a unit may become unavailable."""
        tightest = self.tightest(unit)
        return self._count(unit).total if tightest is None else tightest.margin

    def available_in_rack(self, item: PlanInstance) -> int:
        """Return the number of available instances of the unit in an item's rack."""
        return self._counter(item.unit).racks.get(item.rack, 0)

    def max_unavailable(self, unit: PoolUnit) -> int:
        """Return the maximum number of instances that may be unavailable at once.

        Instances are removed from the largest rack first, which lowers the reserve.
        """
        racks = sorted(self._counter(unit).racks.values())
        removed = 0
        count = self._count(unit)
        users = self._users.get(unit.pool, {})
        while racks:
            largest = racks[-1]
            reduced = ScopeCount(count.total, count.unavailable + removed, largest)
            margins = (
                compute_budget(name, parameters, unit.pool, "", reduced).margin
                for name, parameters in users.items()
            )
            if min(margins, default=1) < 1:
                break
            racks[-1] -= 1
            if racks[-1] == 0:
                racks.pop()
            racks.sort()
            removed += 1
        return removed

    def _counter(self, unit: PoolUnit) -> PoolCounter:
        return self._counters[unit.pool].setdefault(unit.data_centre, PoolCounter())

    def _count(self, unit: PoolUnit) -> ScopeCount:
        counter = self._counter(unit)
        return ScopeCount(counter.total, counter.unavailable, counter.largest)

    def _fleet_count(self, pool: str) -> ScopeCount:
        total = unavailable = largest = 0
        for data_centre, counter in self._counters[pool].items():
            total += counter.total
            if data_centre in self._unreachable_data_centres:
                unavailable += counter.total
                continue
            unavailable += counter.unavailable
            largest = max(largest, counter.largest)
        return ScopeCount(total, unavailable, largest)


def group_by_unit(plan_input: PlanInput) -> dict[PoolUnit, list[PlanInstance]]:
    """Return the instances to maintain by unit, sorted by id."""
    units: dict[PoolUnit, list[PlanInstance]] = defaultdict(list)
    for item in sorted(plan_input.instances, key=lambda instance: instance.instance_id):
        if item.instance_id in plan_input.due:
            units[item.unit].append(item)
    return dict(units)


def combine_weights(users: dict[str, Parameters]) -> PlanWeights:
    """Return the weights of a pool as the mean of its organisations' weights.

    The weights of each organisation are normalised and then scaled by the weight of its
    quota, so that their absolute size has no effect.
    """
    buffer = rollout = moves = 0.0
    for parameters in users.values():
        weights = parameters.weights
        total = weights.buffer + weights.rollout + weights.moves
        if total > 0:
            share = parameters.quota.weight / total
            buffer += weights.buffer * share
            rollout += weights.rollout * share
            moves += weights.moves * share
    total = buffer + rollout + moves
    if total == 0:
        return PlanWeights(1 / 3, 1 / 3, 1 / 3)
    return PlanWeights(buffer / total, rollout / total, moves / total)
