"""Test the wave and pool commands against the operators' routes."""

from __future__ import annotations

import json
from types import SimpleNamespace
from typing import Any

import anyio
import pytest
from click.testing import CliRunner, Result

from mustardward.cli.client import OperatorClient
from mustardward.cli.main import main
from mustardward.components.keys import FLEET_LOG, MEMBERSHIP, POOL_PROBER
from mustardward.components.maintenance import api as wave_api  # noqa: F401
from mustardward.components.maintenance.models import executor_name
from mustardward.components.pools import api as pool_api  # noqa: F401
from mustardward.components.pools.api import EntriesUnknownError
from mustardward.state.budgets import BudgetExceededError
from mustardward.state.models.pools import Pool
from tests.components.maintenance.harness import FIRST, MaintenanceHarness
from tests.fakes.routes import async_route


@pytest.fixture
def harness(monkeypatch: pytest.MonkeyPatch) -> MaintenanceHarness:
    """Return a data centre that the commands reach without a network."""
    harness = MaintenanceHarness(minimum_available=0.6)
    prober = SimpleNamespace(async_probe=harness.async_probe)
    found = {
        FLEET_LOG: harness.log,
        MEMBERSHIP: harness.membership,
        POOL_PROBER: prober,
    }
    core: Any = SimpleNamespace(get=found.__getitem__, find=found.get)

    def call(self: OperatorClient, method: str, path: str, **options: Any) -> Any:
        return anyio.run(async_route, core, method, path, options.get("body"))

    monkeypatch.setattr(OperatorClient, "call", call)
    return harness


def run(*arguments: str) -> Result:
    return CliRunner().invoke(main, arguments)


def test_plan_lists_steps_and_binding_budgets(harness: MaintenanceHarness) -> None:
    shown = run("wave", "plan", "--pool", "etching")
    assert shown.exit_code == 0, shown.output
    assert shown.output.count("dc1-etching-") == 8
    assert "binding" in shown.output and "dairy" in shown.output
    as_json = run("wave", "plan", "--pool", "etching", "--output", "json")
    assert len(json.loads(as_json.output)["steps"]) == 8


def test_wave_is_scheduled_paused_and_listed(harness: MaintenanceHarness) -> None:
    scheduled = run("wave", "schedule", "w1", "--pool", "etching", "--canary", "2")
    assert scheduled.exit_code == 0, scheduled.output
    harness.signal("start")
    paused = run("wave", "pause", "w1", "--reason", "storm")
    assert paused.exit_code == 0, paused.output
    assert harness.status() == "paused"
    assert "storm" in run("wave", "status", "w1").output
    assert "paused" in run("wave", "status").output


def test_instance_is_moved_and_the_move_cancelled(harness: MaintenanceHarness) -> None:
    harness.driver.state.pools["casting"] = Pool("casting", 1)
    moved = run("pool", "move", FIRST, "casting", "--output", "json")
    assert moved.exit_code == 0, moved.output
    move = json.loads(moved.output)["move"]
    shown = run("pool", "show", "etching")
    assert (
        move in shown.output and executor_name(harness.membership.own) in shown.output
    )
    assert run("pool", "cancel-move", move).exit_code == 0
    assert harness.driver.state.moves == {}
    assert "casting" in run("pool", "list").output


def test_move_is_refused_if_unreported_failures_exceed_the_budget(
    harness: MaintenanceHarness,
) -> None:
    """Guard against a move that takes a pool below its minimum of available workers.

    In a pool without traffic, failed workers stay unreported unless the pool is probed
    before the move.
    """
    harness.driver.state.pools["casting"] = Pool("casting", 1)
    harness.unreported = ["dc1-etching-005", "dc1-etching-006", "dc1-etching-007"]
    refused = run("pool", "move", FIRST, "casting")
    assert isinstance(refused.exception, BudgetExceededError)
    assert harness.driver.state.moves == {}


def test_move_is_refused_without_a_known_entry(harness: MaintenanceHarness) -> None:
    """Guard against an instance that changes its pool while entries send it work.

    An entry that knows no member of the instance's data centre would record a move that
    waits for no acknowledgement.
    """
    harness.driver.state.instances[FIRST].data_centre = "dc9"
    refused = run("pool", "move", FIRST, "casting")
    assert isinstance(refused.exception, EntriesUnknownError)
    assert harness.log.proposed == []
