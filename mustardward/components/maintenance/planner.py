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
from .plan_models import (
    Plan,
    PlanInput,
    PlanInstance,
    PlanMetrics,
    PlanStep,
    PoolUnit,
    RolloutLimits,
)
from .plan_paces import choose_limits
from .plan_tasks import TaskSimulation
from .plan_units import PlanBudgets, group_by_unit


def plan_wave(plan_input: PlanInput) -> Plan:
    """Return the plan of a wave that nothing disturbs."""
    planner = _WaveSimulator(plan_input, choose_limits(plan_input))
    for _ in planner.run():
        pass
    return planner.plan()


async def async_plan_wave(plan_input: PlanInput) -> Plan:
    """Return the plan, letting the loop go on in between.

    A plan of thousands of instances takes seconds; made in one go it would stop every
    request of this entry, and look to its timers like a pause of the process.
    """
    planner = _WaveSimulator(plan_input, choose_limits(plan_input))
    for _ in planner.run():
        await anyio.lowlevel.checkpoint()
    return planner.plan()


@dataclass(slots=True)
class _UnitProgress:
    """Hold how far one unit is."""

    pending: list[PlanInstance]
    out: int = 0
    max_out: int = 0


class _WaveSimulator:
    """Carry a wave out on paper."""

    def __init__(
        self, plan_input: PlanInput, limits: dict[PoolUnit, RolloutLimits]
    ) -> None:
        self._plan_input = plan_input
        self._limits = limits
        self._budgets = PlanBudgets(plan_input)
        self._tasks = TaskSimulation(plan_input)
        self._units = {
            unit: _UnitProgress(items)
            for unit, items in group_by_unit(plan_input).items()
        }
        self._binding = {
            unit: budget
            for unit in self._units
            if (budget := self._budgets.tightest(unit)) is not None
        }
        self._running: list[tuple[float, str, PlanInstance]] = []
        self._steps: list[PlanStep] = []
        self._finished = 0
        self._now = 0.0
        self._growth_limited = False

    def run(self) -> Iterator[None]:
        """Take and return instances until nothing more can be taken.

        Yields after each time at which instances came back.
        """
        self._start_units(self._order_units(self._units))
        while self._running:
            self._now = self._running[0][0]
            pools = set()
            while self._running and self._running[0][0] == self._now:
                item = heapq.heappop(self._running)[2]
                self._finish(item)
                pools.add(item.unit.pool)
            # Only growth holds back units of other pools than those that changed.
            changed = {unit for unit in self._units if unit.pool in pools}
            self._start_units(
                self._order_units(self._units if self._growth_limited else changed)
            )
            yield

    def plan(self) -> Plan:
        """Return what was planned."""
        unplanned = [
            item.instance_id
            for progress in self._units.values()
            for item in progress.pending
        ]
        return Plan(
            tuple(self._steps),
            PlanMetrics(
                buffer=sum(item.max_out for item in self._units.values()),
                rollout_seconds=self._now,
                moves=sum(step.moves for step in self._steps),
            ),
            self._binding,
            tuple(sorted(unplanned)),
        )

    def _finish(self, item: PlanInstance) -> None:
        self._finished += 1
        self._units[item.unit].out -= 1
        self._budgets.restore(item)
        self._tasks.finish(item)

    def _start_units(self, units: list[PoolUnit]) -> None:
        available_starts = growth_limit(self._finished, self._plan_input.canary) - len(
            self._running
        )
        for unit in units:
            while available_starts > 0 and self._may_start(unit):
                self._start(unit)
                available_starts -= 1
        self._growth_limited = available_starts <= 0

    def _order_units(self, units: Iterable[PoolUnit]) -> list[PoolUnit]:
        """Return units with something left, those with the most turns left first."""
        rounds_left = {
            unit: -len(self._units[unit].pending) / self._limits[unit].concurrency
            for unit in units
            if self._units[unit].pending and unit in self._limits
        }
        return sorted(rounds_left, key=lambda unit: (rounds_left[unit], unit))

    def _may_start(self, unit: PoolUnit) -> bool:
        progress = self._units[unit]
        return (
            bool(progress.pending)
            and progress.out < self._limits[unit].concurrency
            and self._budgets.margin(unit) >= 1
        )

    def _start(self, unit: PoolUnit) -> None:
        now = self._now
        progress = self._units[unit]
        grace_seconds = self._limits[unit].grace_seconds
        item = min(
            progress.pending,
            key=lambda candidate: (
                self._tasks.count_moves(candidate, now, grace_seconds),
                -self._budgets.available_in_rack(candidate),
                candidate.instance_id,
            ),
        )
        progress.pending.remove(item)
        progress.out += 1
        progress.max_out = max(progress.max_out, progress.out)
        self._budgets.remove(item)
        drain, moves = self._tasks.drain(item, now, grace_seconds)
        end_seconds = now + drain + self._plan_input.reboot_seconds
        heapq.heappush(self._running, (end_seconds, item.instance_id, item))
        self._steps.append(PlanStep(item.instance_id, unit, now, end_seconds, moves))
