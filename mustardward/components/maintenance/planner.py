"""Plan when each instance of a wave is maintained, within all budgets; pure.

The planner simulates the wave without failures, under the same canary, growth limit,
budgets and rollout limits as the executors apply.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

import anyio.lowlevel

from ...state.handlers.waves import growth_limit
from .plan_budgets import PlanBudgets, group_by_unit
from .plan_models import (
    Plan,
    PlanInput,
    PlanInstance,
    PlanMetrics,
    PlanStep,
    PoolUnit,
    RolloutLimits,
)
from .rollout_limits import choose_limits
from .task_simulation import TaskSimulation


def plan_wave(plan_input: PlanInput) -> Plan:
    """Return the plan of a wave without failures."""
    simulator = _WaveSimulator(plan_input, choose_limits(plan_input))
    for _ in simulator.run():
        pass
    return simulator.plan()


async def async_plan_wave(plan_input: PlanInput) -> Plan:
    """Return the plan of a wave without blocking the event loop.

    Planning thousands of instances takes seconds. Without yielding it would stall all
    requests of this entry node, and its timers would detect a pause of the process.
    """
    simulator = _WaveSimulator(plan_input, choose_limits(plan_input))
    for _ in simulator.run():
        await anyio.lowlevel.checkpoint()
    return simulator.plan()


@dataclass(slots=True)
class _UnitProgress:
    """Track the progress of one unit."""

    pending: list[PlanInstance]
    unavailable: int = 0
    max_unavailable: int = 0


class _WaveSimulator:
    """Simulate a wave."""

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
        self._in_progress: list[tuple[float, str, PlanInstance]] = []
        self._steps: list[PlanStep] = []
        self._finished = 0
        self._now = 0.0
        self._growth_limited = False

    def run(self) -> Iterator[None]:
        """Start and finish instances until no further instance can be started.

        Yields after each point in time at which instances finished.
        """
        self._start_units(self._order_units(self._units))
        while self._in_progress:
            self._now = self._in_progress[0][0]
            pools = set()
            while self._in_progress and self._in_progress[0][0] == self._now:
                item = heapq.heappop(self._in_progress)[2]
                self._finish(item)
                pools.add(item.unit.pool)
            # Units of unchanged pools can only have been blocked by the growth limit.
            changed = {unit for unit in self._units if unit.pool in pools}
            self._start_units(
                self._order_units(self._units if self._growth_limited else changed)
            )
            yield

    def plan(self) -> Plan:
        """Return the plan that results from the simulation."""
        unplanned = [
            item.instance_id
            for progress in self._units.values()
            for item in progress.pending
        ]
        return Plan(
            tuple(self._steps),
            PlanMetrics(
                buffer=sum(item.max_unavailable for item in self._units.values()),
                rollout_seconds=self._now,
                moves=sum(step.moves for step in self._steps),
            ),
            self._binding,
            tuple(sorted(unplanned)),
        )

    def _finish(self, item: PlanInstance) -> None:
        self._finished += 1
        self._units[item.unit].unavailable -= 1
        self._budgets.restore(item)
        self._tasks.finish(item)

    def _start_units(self, units: list[PoolUnit]) -> None:
        available_starts = growth_limit(self._finished, self._plan_input.canary) - len(
            self._in_progress
        )
        for unit in units:
            while available_starts > 0 and self._may_start(unit):
                self._start(unit)
                available_starts -= 1
        self._growth_limited = available_starts <= 0

    def _order_units(self, units: Iterable[PoolUnit]) -> list[PoolUnit]:
        """Return the units with pending instances, most remaining rounds first."""
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
            and progress.unavailable < self._limits[unit].concurrency
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
        progress.unavailable += 1
        progress.max_unavailable = max(progress.max_unavailable, progress.unavailable)
        self._budgets.remove(item)
        drain, moves = self._tasks.drain(item, now, grace_seconds)
        end_seconds = now + drain + self._plan_input.reboot_seconds
        heapq.heappush(self._in_progress, (end_seconds, item.instance_id, item))
        self._steps.append(PlanStep(item.instance_id, unit, now, end_seconds, moves))
