"""Test the operator API for waves."""

from __future__ import annotations

from typing import Any, cast

import pytest

from mustardward.components.api.routes import ApiRequest
from mustardward.components.keys import FLEET_LOG
from mustardward.components.maintenance import api
from mustardward.core import Core
from mustardward.state.fold import RevisionConflictError
from tests.components.maintenance.harness import FIRST, MaintenanceHarness

pytestmark = pytest.mark.anyio


def build_request(
    harness: MaintenanceHarness, model: Any = None, **path: str
) -> ApiRequest:
    """Return an operator's request."""
    core = Core(cast(Any, None), harness.timers, cast(Any, None))
    core.put(FLEET_LOG, harness.log)
    return ApiRequest(core, "operator", path, {}, model)


async def test_plan_proposes_nothing_and_returns_binding_budgets() -> None:
    harness = MaintenanceHarness(minimum_available=0.75)
    response = await api.async_plan(
        build_request(harness, api.WaveModel(pools=("etching",)))
    )
    assert harness.log.proposed == []
    assert len(response.body["steps"]) == 8
    assert response.body["binding"][0]["organisation"] == "dairy"
    assert response.body["steps"][0]["begins"] == 0.0


async def test_wave_is_scheduled_shown_and_paused() -> None:
    harness = MaintenanceHarness()
    model = api.WaveModel(pools=("etching",), canary=2)
    response = await api.async_schedule(build_request(harness, model, wave_id="w1"))
    assert response.status == 202
    executor = harness.executor()
    await executor.async_step()
    await executor.async_step()
    shown = (await api.async_show(build_request(harness, wave_id="w1"))).body
    assert (shown["status"], shown["out"], shown["limit"]) == ("running", 2, 2)
    assert shown["claims"][0]["instance"] == FIRST
    assert [claim["stage"] for claim in shown["claims"]] == ["claimed", "claimed"]
    signal = build_request(
        harness, api.SignalModel(reason="storm"), wave_id="w1", signal="pause"
    )
    await api.async_signal(signal)
    listed = (await api.async_list(build_request(harness))).body
    assert (listed[0]["status"], listed[0]["reason"]) == ("paused", "storm")


async def test_outdated_base_revision_is_rejected() -> None:
    harness = MaintenanceHarness()
    harness.schedule()
    outdated_revision = harness.driver.state.waves["w1"].revision
    harness.signal("start")
    model = api.SignalModel(base_revision=outdated_revision)
    with pytest.raises(RevisionConflictError):
        await api.async_signal(
            build_request(harness, model, wave_id="w1", signal="cancel")
        )


async def test_unknown_waves_and_signals_are_rejected() -> None:
    harness = MaintenanceHarness()
    harness.schedule()
    with pytest.raises(api.WaveUnknownError):
        await api.async_show(build_request(harness, wave_id="w9"))
    with pytest.raises(api.SignalUnknownError):
        model = api.SignalModel()
        await api.async_signal(
            build_request(harness, model, wave_id="w1", signal="finish")
        )
