"""Test the attribution of error budget spend."""

from __future__ import annotations

from typing import cast

import httpx
import pytest

from mustardward.components.entry.attribution import BudgetAttributor
from mustardward.components.keys import FLEET_LOG
from mustardward.core import Core
from mustardward.helpers.timer import DrivenTimerService
from mustardward.state.models.maintenance import Absence, Claim
from mustardward.state.protocols import FleetLog
from tests.fakes.entry import ReadyLog, build_settings, respond_ok, running_entry
from tests.fakes.policy import build_state

pytestmark = pytest.mark.anyio

CLAIM = Claim("dc-a-racks-0", "w1", "entry-1", 1, "claimed", 1)
ABSENCE = Absence("dc-a-racks-1", "failed", "entry-1", 1)


def build_attributor(claimed: bool, absent: bool) -> BudgetAttributor:
    core = Core(build_settings(), DrivenTimerService(), None)  # type: ignore[arg-type]
    state = build_state(2, "racks", "dc-a")
    if claimed:
        state.claims[CLAIM.instance_id] = CLAIM
    if absent:
        state.absences[ABSENCE.instance_id] = ABSENCE
    core.put(FLEET_LOG, cast(FleetLog, ReadyLog(state=state)))
    return BudgetAttributor(core)


@pytest.mark.parametrize(
    ("code", "claimed", "absent", "attempts", "expected"),
    [
        ("overloaded", True, True, 0, "wave"),
        ("overloaded", False, True, 0, "failure"),
        ("overloaded", False, False, 0, "neighbour"),
        ("workers-busy", False, False, 2, "neighbour"),
        ("worker-unreachable", False, False, 2, "failure"),
        ("worker-unreachable", True, False, 2, "wave"),
        ("quota-exceeded", True, True, 0, "refusal"),
        ("deadline-exceeded", False, False, 1, "worker"),
        ("deadline-exceeded", True, False, 0, "wave"),
        ("path-invalid", True, True, 0, ""),
        ("caller-gone", True, True, 1, ""),
    ],
)
def test_cause_depends_on_code_and_state(
    code: str, claimed: bool, absent: bool, attempts: int, expected: str
) -> None:
    assert (
        build_attributor(claimed, absent).attribute(code, "racks", attempts) == expected
    )


def test_capacity_loss_of_other_pools_and_data_centres_is_ignored() -> None:
    attributor = build_attributor(True, True)
    assert attributor.attribute("overloaded", "quotes", 0) == "neighbour"


async def test_unresolved_names_are_not_reported() -> None:
    """Guard against unbounded memory from unknown names in reports and metrics.

    A caller that requests one unknown organisation after another, such as a port
    scanner, would otherwise add a report entry and metric label with each name.
    """
    async with running_entry(respond_ok) as (entry, _):
        async with httpx.AsyncClient() as client:
            await client.get(f"{entry.url}/made-up/turn/")
            await client.get(f"{entry.url}/hvelv/turn/")
    found = [(item.organisation, item.code, item.cause) for item in entry.finished]
    assert found == [("", "organisation-unknown", ""), ("hvelv", "", "")]
