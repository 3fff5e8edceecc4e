"""Answer operators who plan and steer waves."""

from __future__ import annotations

from typing import Any, cast

import pytest

from mustardward.components.api.routes import ApiRequest
from mustardward.components.keys import FLEET_LOG
from mustardward.components.maintenance import api
from mustardward.core import Core
from mustardward.state.fold import RevisionConflictError
from tests.components.maintenance.site import FIRST, MaintenanceHarness

pytestmark = pytest.mark.anyio


def ask(site: MaintenanceHarness, model: Any = None, **path: str) -> ApiRequest:
    """Return an operator's request."""
    core = Core(cast(Any, None), site.timers, cast(Any, None))
    core.put(FLEET_LOG, site.log)
    return ApiRequest(core, "operator", path, {}, model)


async def test_a_plan_changes_nothing_and_names_what_binds() -> None:
    site = MaintenanceHarness(minimum_available=0.75)
    answer = await api.async_plan(ask(site, api.WaveModel(pools=("etching",))))
    assert site.log.proposed == []
    assert len(answer.body["steps"]) == 8
    assert answer.body["binding"][0]["organisation"] == "dairy"
    assert answer.body["steps"][0]["begins"] == 0.0


async def test_a_wave_is_scheduled_watched_and_paused() -> None:
    site = MaintenanceHarness()
    model = api.WaveModel(pools=("etching",), canary=2)
    answer = await api.async_schedule(ask(site, model, wave_id="w1"))
    assert answer.status == 202
    executor = site.executor()
    await executor.async_step()
    await executor.async_step()
    shown = (await api.async_show(ask(site, wave_id="w1"))).body
    assert (shown["status"], shown["out"], shown["limit"]) == ("running", 2, 2)
    assert shown["claims"][0]["instance"] == FIRST
    assert [claim["stage"] for claim in shown["claims"]] == ["claimed", "claimed"]
    signal = ask(site, api.SignalModel(reason="storm"), wave_id="w1", signal="pause")
    await api.async_signal(signal)
    listed = (await api.async_list(ask(site))).body
    assert (listed[0]["status"], listed[0]["reason"]) == ("paused", "storm")


async def test_an_operator_who_saw_an_older_wave_gets_a_conflict() -> None:
    site = MaintenanceHarness()
    site.schedule()
    seen = site.driver.state.waves["w1"].revision
    site.signal("start")
    model = api.SignalModel(base_revision=seen)
    with pytest.raises(RevisionConflictError):
        await api.async_signal(ask(site, model, wave_id="w1", signal="cancel"))


async def test_unknown_waves_and_signals_are_named() -> None:
    site = MaintenanceHarness()
    site.schedule()
    with pytest.raises(api.WaveUnknownError):
        await api.async_show(ask(site, wave_id="w9"))
    with pytest.raises(api.SignalUnknownError):
        model = api.SignalModel()
        await api.async_signal(ask(site, model, wave_id="w1", signal="finish"))
