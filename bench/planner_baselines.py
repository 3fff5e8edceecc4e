"""Carry waves out as operators do without a planner, and check plans in the fold."""

from __future__ import annotations

import math
from collections import defaultdict
from dataclasses import dataclass
from itertools import count
from typing import Any

from returns.result import Success

from mustardward.components.maintenance.plan_budgets import PlanBudgets
from mustardward.components.maintenance.plan_models import (
    Plan,
    PlanInput,
    PlanInstance,
    PlanMetrics,
)
from mustardward.components.maintenance.task_simulation import TaskSimulation
from mustardward.state.fleet import FleetState
from mustardward.state.fold import Fold
from mustardward.state.handlers.all import FLEET_HANDLERS
from mustardward.state.models.maintenance import (
    Absence,
    AdvanceClaim,
    ReleaseClaim,
    ScheduleWave,
    SignalWave,
    TakeClaim,
)
from mustardward.state.models.pools import Instance, Pool
from mustardward.state.models.templates import Organisation, Overrides
from mustardward.state.records import NO_BASE, encode_batch, make_record

FIXED_BUFFER = 0.25


@dataclass(frozen=True, slots=True)
class Baseline:
    """Hold a baseline's metrics and how many floors it broke."""

    metrics: PlanMetrics
    broken: int


def one_at_a_time(facts: PlanInput) -> Baseline:
    """Take one instance after another."""
    due = [item for item in facts.instances if item.instance_id in facts.due]
    seconds, moves, broken = _batches(facts, [[item] for item in due])
    return Baseline(PlanMetrics(1, seconds, moves), broken)


def rack_by_rack(facts: PlanInput) -> Baseline:
    """Take as many racks at once as a fixed buffer covers, in each data centre."""
    centres: dict[str, dict[str, list[PlanInstance]]] = defaultdict(
        lambda: defaultdict(list)
    )
    for item in facts.instances:
        if item.instance_id in facts.due:
            centres[item.unit.data_centre][item.rack].append(item)
    rows: list[list[list[PlanInstance]]] = []
    for racks in centres.values():
        ordered = [racks[name] for name in sorted(racks)]
        step = max(1, math.floor(FIXED_BUFFER * len(ordered)))
        rows.append(
            [
                [item for rack in ordered[start : start + step] for item in rack]
                for start in range(0, len(ordered), step)
            ]
        )
    longest = max((len(row) for row in rows), default=0)
    batches = [
        [item for row in rows if turn < len(row) for item in row[turn]]
        for turn in range(longest)
    ]
    seconds, moves, broken = _batches(facts, batches)
    units: dict[Any, int] = defaultdict(int)
    for item in facts.instances:
        units[item.unit] += 1
    buffer = sum(math.ceil(FIXED_BUFFER * size) for size in units.values())
    return Baseline(PlanMetrics(buffer, seconds, moves), broken)


def _batches(
    facts: PlanInput, batches: list[list[PlanInstance]]
) -> tuple[float, int, int]:
    budgets = PlanBudgets(facts)
    tasks = TaskSimulation(facts, prefer_finished=False)
    now = 0.0
    moves = broken = 0
    for batch in batches:
        for item in batch:
            budgets.remove(item)
        longest = 0.0
        for item in batch:
            drain, moved = tasks.drain(item, now, 0.0)
            longest = max(longest, drain)
            moves += moved
        for unit in {item.unit for item in batch}:
            tightest = budgets.tightest(unit)
            if tightest is not None and tightest.available < tightest.floor:
                broken += 1
        now += longest + facts.reboot_seconds
        for item in batch:
            budgets.restore(item)
            tasks.finish(item)
    return now, moves, broken


class FoldCheck:
    """Fold every turn of a plan and count what the fold refuses or leaves broken."""

    def __init__(self, facts: PlanInput) -> None:
        self._fold = Fold(fleet_state(facts), FLEET_HANDLERS)
        self._numbers = count(1)

    def run(self, facts: PlanInput, plan: Plan) -> int:
        """Return the number of refusals over the whole plan."""
        pools = tuple(sorted(facts.users))
        refused = self._put(
            ScheduleWave("w", pools, tuple(sorted(facts.due)), facts.canary)
        )
        revision = self._fold.state.waves["w"].revision
        refused += self._put(SignalWave("w", "start"), revision)
        steps = list(enumerate(plan.steps))
        turns = [
            (step.start_seconds, 1, order, step.instance_id) for order, step in steps
        ]
        turns += [
            (step.end_seconds, 0, order, step.instance_id) for order, step in steps
        ]
        for _, begins, _, name in sorted(turns):
            if begins:
                refused += self._put(TakeClaim("w", name, "e#1", 1))
                continue
            claim = self._fold.state.claims.get(name)
            generation = claim.generation if claim else 0
            for stage in ("draining", "drained", "rebooting"):
                refused += self._put(AdvanceClaim(name, generation, stage))
            refused += self._put(ReleaseClaim(name, generation, "done", 2))
        return refused

    def _put(self, body: Any, base: int = NO_BASE) -> int:
        envelope = make_record(
            body,
            record_id=f"r{next(self._numbers)}",
            actor="bench",
            stamp=0.0,
            base_revision=base,
        )
        offset = self._fold.next_offset
        outcome = self._fold.apply(offset, encode_batch([envelope]))[0]
        return 0 if isinstance(outcome.result, Success) else 1


def fleet_state(facts: PlanInput) -> FleetState:
    """Return the folded state that the facts describe."""
    state = FleetState()
    for pool, users in facts.users.items():
        state.pools[pool] = Pool(pool, 1)
        for name, parameters in users.items():
            state.organisations[name] = Organisation(
                name, "t", 1, 1, Overrides(), parameters
            )
    for item in facts.instances:
        state.instances[item.instance_id] = Instance(
            item.instance_id, item.unit.data_centre, item.rack, "", item.unit.pool, 1
        )
        if not item.available:
            state.absences[item.instance_id] = Absence(
                item.instance_id, "failed", "bench", 1
            )
    return state
