"""Plan and steer waves and moves from the command line."""

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
def site(monkeypatch: pytest.MonkeyPatch) -> MaintenanceHarness:
    """Return a data centre that the commands reach without a network."""
    site = MaintenanceHarness(minimum_available=0.6)
    look = SimpleNamespace(async_probe=site.async_probe)
    found = {FLEET_LOG: site.log, MEMBERSHIP: site.membership, POOL_PROBER: look}
    core: Any = SimpleNamespace(get=found.__getitem__, find=found.get)

    def call(self: OperatorClient, method: str, path: str, **more: Any) -> Any:
        return anyio.run(async_route, core, method, path, more.get("body"))

    monkeypatch.setattr(OperatorClient, "call", call)
    return site


def run(*arguments: str) -> Result:
    return CliRunner().invoke(main, arguments)


def test_a_plan_lists_turns_and_what_binds(site: MaintenanceHarness) -> None:
    shown = run("wave", "plan", "--pool", "etching")
    assert shown.exit_code == 0, shown.output
    assert shown.output.count("dc1-etching-") == 8
    assert "binding" in shown.output and "dairy" in shown.output
    as_json = run("wave", "plan", "--pool", "etching", "--output", "json")
    assert len(json.loads(as_json.output)["steps"]) == 8


def test_a_wave_is_scheduled_paused_and_listed(site: MaintenanceHarness) -> None:
    scheduled = run("wave", "schedule", "w1", "--pool", "etching", "--canary", "2")
    assert scheduled.exit_code == 0, scheduled.output
    site.signal("start")
    paused = run("wave", "pause", "w1", "--reason", "storm")
    assert paused.exit_code == 0, paused.output
    assert site.status() == "paused"
    assert "storm" in run("wave", "status", "w1").output
    assert "paused" in run("wave", "status").output


def test_an_instance_is_moved_and_the_move_cancelled(site: MaintenanceHarness) -> None:
    site.driver.state.pools["casting"] = Pool("casting", 1)
    moved = run("pool", "move", FIRST, "casting", "--output", "json")
    assert moved.exit_code == 0, moved.output
    move = json.loads(moved.output)["move"]
    shown = run("pool", "show", "etching")
    assert move in shown.output and executor_name(site.membership.own) in shown.output
    assert run("pool", "cancel-move", move).exit_code == 0
    assert site.driver.state.moves == {}
    assert "casting" in run("pool", "list").output


def test_a_move_is_refused_beside_workers_that_nobody_missed(
    site: MaintenanceHarness,
) -> None:
    """Look at the pool before one of its instances moves away.

    Symptom: a move takes a pool below a floor while two workers have long been down.
    Sequence: a rack fails in a pool without traffic; an operator moves an instance.
    Cause: only waves looked at the pool first.
    """
    site.driver.state.pools["casting"] = Pool("casting", 1)
    site.unreported = ["dc1-etching-005", "dc1-etching-006", "dc1-etching-007"]
    refused = run("pool", "move", FIRST, "casting")
    assert isinstance(refused.exception, BudgetExceededError)
    assert site.driver.state.moves == {}


def test_a_move_is_refused_where_no_entry_is_known(site: MaintenanceHarness) -> None:
    """Refuse a move that nobody could acknowledge.

    Symptom: an instance changes its pool while entries still send it work.
    Sequence: an entry that knows no member of the instance's data centre takes the
    call. Cause: a record that names nobody waits for nobody.
    """
    site.driver.state.instances[FIRST].data_centre = "dc9"
    refused = run("pool", "move", FIRST, "casting")
    assert isinstance(refused.exception, EntriesUnknownError)
    assert site.log.proposed == []
