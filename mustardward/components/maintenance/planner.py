"""Plan a wave: which instance when, within every budget; pure.

The plan is the wave carried out on paper: the same canary, growth, budgets and paces
as the executors keep, with nothing failing.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

import anyio.lowlevel

from ...state.handlers.waves import growth_limit
from .plan_models import Measures, Pace, Plan, PlanInput, PlanInstance, PlanStep, Unit
from .plan_paces import choose_paces
from .plan_tasks import TaskTable
from .plan_units import PlanBudgets, group_by_unit


def plan_wave(facts: PlanInput) -> Plan:
    """Return the plan of a wave that nothing disturbs."""
    planner = _Planner(facts, choose_paces(facts))
    for _ in planner.run():
        pass
    return planner.plan()


async def async_plan_wave(facts: PlanInput) -> Plan:
    """Return the plan, letting the loop go on in between.

    A plan of thousands of instances takes seconds; made in one go it would stop every
    request of this entry, and look to its timers like a pause of the process.
    """
    planner = _Planner(facts, choose_paces(facts))
    for _ in planner.run():
        await anyio.lowlevel.checkpoint()
    return planner.plan()


@dataclass(slots=True)
class _Progress:
    """Hold how far one unit is."""

    pending: list[PlanInstance]
    out: int = 0
    peak: int = 0


class _Planner:
    """Carry a wave out on paper."""

    def __init__(self, facts: PlanInput, paces: dict[Unit, Pace]) -> None:
        self._facts = facts
        self._paces = paces
        self._budgets = PlanBudgets(facts)
        self._tasks = TaskTable(facts)
        self._units = {
            unit: _Progress(items) for unit, items in group_by_unit(facts).items()
        }
        self._binding = {
            unit: budget
            for unit in self._units
            if (budget := self._budgets.tightest(unit)) is not None
        }
        self._returns: list[tuple[float, str, PlanInstance]] = []
        self._steps: list[PlanStep] = []
        self._finished = 0
        self._now = 0.0
        self._held_back = False

    def run(self) -> Iterator[None]:
        """Take and return instances until nothing more can be taken.

        Yields after each time at which instances came back.
        """
        self._take_from(self._order(self._units))
        while self._returns:
            self._now = self._returns[0][0]
            pools = set()
            while self._returns and self._returns[0][0] == self._now:
                item = heapq.heappop(self._returns)[2]
                self._return(item)
                pools.add(item.unit.pool)
            # Only growth holds back units of other pools than those that changed.
            changed = {unit for unit in self._units if unit.pool in pools}
            self._take_from(self._order(self._units if self._held_back else changed))
            yield

    def plan(self) -> Plan:
        """Return what was planned."""
        left = [
            item.instance_id
            for progress in self._units.values()
            for item in progress.pending
        ]
        return Plan(
            tuple(self._steps),
            Measures(
                buffer=sum(item.peak for item in self._units.values()),
                rollout_seconds=self._now,
                moves=sum(step.moves for step in self._steps),
            ),
            self._binding,
            tuple(sorted(left)),
        )

    def _return(self, item: PlanInstance) -> None:
        self._finished += 1
        self._units[item.unit].out -= 1
        self._budgets.give(item)
        self._tasks.finish(item)

    def _take_from(self, units: list[Unit]) -> None:
        left = growth_limit(self._finished, self._facts.canary) - len(self._returns)
        for unit in units:
            while left > 0 and self._may_take(unit):
                self._take(unit)
                left -= 1
        self._held_back = left <= 0

    def _order(self, units: Iterable[Unit]) -> list[Unit]:
        """Return units with something left, those with the most turns left first."""
        turns = {
            unit: -len(self._units[unit].pending) / self._paces[unit].concurrency
            for unit in units
            if self._units[unit].pending and unit in self._paces
        }
        return sorted(turns, key=lambda unit: (turns[unit], unit))

    def _may_take(self, unit: Unit) -> bool:
        progress = self._units[unit]
        return (
            bool(progress.pending)
            and progress.out < self._paces[unit].concurrency
            and self._budgets.margin(unit) >= 1
        )

    def _take(self, unit: Unit) -> None:
        now = self._now
        progress = self._units[unit]
        patience = self._paces[unit].patience
        item = min(
            progress.pending,
            key=lambda one: (
                self._tasks.outlasting(one, now, patience),
                -self._budgets.rack_available(one),
                one.instance_id,
            ),
        )
        progress.pending.remove(item)
        progress.out += 1
        progress.peak = max(progress.peak, progress.out)
        self._budgets.take(item)
        drain, moves = self._tasks.drain(item, now, patience)
        ends = now + drain + self._facts.reboot_seconds
        heapq.heappush(self._returns, (ends, item.instance_id, item))
        self._steps.append(PlanStep(item.instance_id, unit, now, ends, moves))
