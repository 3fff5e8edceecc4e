"""Test wave plans by applying them to the replicated state."""

from __future__ import annotations

from dataclasses import replace

import pytest

from mustardward.components.maintenance.plan_bounds import canary_bound, rollout_bound
from mustardward.components.maintenance.plan_inputs import build_plan_input
from mustardward.components.maintenance.plan_models import Plan, PlanInput, PlanTask
from mustardward.components.maintenance.planner import plan_wave
from mustardward.state.models.maintenance import (
    AdvanceClaim,
    ReleaseClaim,
    TakeClaim,
)
from mustardward.state.models.templates import PlanWeights
from tests.fakes.fleet import FoldDriver, build_fleet, build_organisation

EVEN = PlanWeights()
MOVES = PlanWeights(buffer=1.0, rollout=1.0, moves=6.0)
BUFFER = PlanWeights(buffer=6.0, rollout=1.0, moves=1.0)


def build_driver(weights: PlanWeights = EVEN, minimum: float = 0.5) -> FoldDriver:
    """Return a fleet of two pools, one with tight budgets, in two data centres."""
    tight = build_organisation(
        "dairy", ("etching",), minimum_available=0.75, weights=weights
    )
    loose = build_organisation(
        "club", ("casting",), minimum_available=minimum, weights=weights
    )
    state = build_fleet(
        tight, loose, pools=("etching", "casting"), data_centres=("dc1", "dc2"), size=8
    )
    return FoldDriver(state)


def build_input(driver: FoldDriver) -> PlanInput:
    """Return the inputs for a wave over all instances, with tasks of any length."""
    names = sorted(driver.state.instances)
    tasks = {
        name: [
            PlanTask(30.0 * (1 + (number * 7 + item * 13) % 20), 600.0)
            for item in range(number % 5)
        ]
        for number, name in enumerate(names)
    }
    return build_plan_input(
        driver.state, ("etching", "casting"), frozenset(names), tasks, canary=1
    )


def apply_plan(driver: FoldDriver, plan: Plan) -> None:
    """Apply each step of a plan at its time; all of them must be admitted."""
    driver.run_wave(pools=("etching", "casting"))
    starts = [(step.start_seconds, 1, step) for step in plan.steps]
    ends = [(step.end_seconds, 0, step) for step in plan.steps]
    generations: dict[str, int] = {}
    for _, is_start, step in sorted(starts + ends, key=lambda item: item[:2]):
        name = step.instance_id
        if is_start:
            generations[name] = driver.accept(TakeClaim("w1", name, "e#1", 1))
            continue
        for stage in ("draining", "drained", "rebooting"):
            driver.accept(AdvanceClaim(name, generations[name], stage))
        driver.accept(ReleaseClaim(name, generations[name], "done", 2))


@pytest.mark.parametrize("weights", [EVEN, MOVES, BUFFER])
def test_every_step_of_a_plan_is_admitted(weights: PlanWeights) -> None:
    driver = build_driver(weights)
    plan = plan_wave(build_input(driver))
    assert len(plan.steps) == 32
    apply_plan(driver, plan)
    assert len(driver.state.waves["w1"].done) == 32


def test_canary_is_planned_first_and_alone() -> None:
    plan = plan_wave(build_input(build_driver()))
    first, second = plan.steps[:2]
    assert first.start_seconds == 0.0
    assert second.start_seconds == first.end_seconds
    assert first.moves == 0


def test_weights_trade_moves_against_buffer() -> None:
    by_moves = plan_wave(build_input(build_driver(MOVES))).metrics
    by_buffer = plan_wave(build_input(build_driver(BUFFER))).metrics
    assert by_moves.moves < by_buffer.moves
    assert by_buffer.buffer < by_moves.buffer


def test_rollout_time_is_close_to_its_lower_bound() -> None:
    plan_input = build_input(build_driver())
    plan = plan_wave(plan_input)
    assert rollout_bound(plan_input) <= canary_bound(plan_input)
    assert canary_bound(plan_input) <= plan.metrics.rollout_seconds
    assert plan.metrics.rollout_seconds <= 1.3 * rollout_bound(plan_input)


def test_instances_blocked_by_budgets_are_returned_and_not_planned() -> None:
    driver = build_driver(minimum=1.0)
    plan = plan_wave(build_input(driver))
    assert {name.split("-")[1] for name in plan.blocked} == {"casting"}
    assert len(plan.blocked) == 16
    assert {step.unit.pool for step in plan.steps} == {"etching"}
    binding = {unit.pool: budget for unit, budget in plan.binding.items()}
    assert binding["casting"].organisation == "club"


def test_plan_is_independent_of_input_order() -> None:
    plan_input = build_input(build_driver())
    shuffled = replace(plan_input, instances=tuple(reversed(plan_input.instances)))
    assert plan_wave(plan_input).steps == plan_wave(shuffled).steps
