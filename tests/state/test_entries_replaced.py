"""Replace real entry processes while the log is out."""

from __future__ import annotations

from pathlib import Path

import anyio
import pytest

from mustardward.const import CONFIGURATION_BOUND_SECONDS
from mustardward.helpers.timer import LoopTimerService
from mustardward.standin.platform import RunningPlatform, async_run_platform
from mustardward.state.models.pools import PutPool
from mustardward.state.models.templates import PublishTemplate, PutOrganisation
from mustardward.state.records import encode_batch
from tests.builders import build_parameters, build_record
from tests.fakes.state_processes import running_processes

pytestmark = [pytest.mark.anyio, pytest.mark.processes]


def _publish(platform: RunningPlatform) -> None:
    records = [
        build_record(PutPool("cellar"), "one"),
        build_record(PublishTemplate("dairy", build_parameters("cellar")), "two", 0),
        build_record(PutOrganisation("undredal", "dairy"), "three", 0),
    ]
    platform.platform.log.append("fleet", encode_batch(records))


async def test_what_is_served_when_entries_are_replaced_with_the_log_out(
    tmp_path: Path,
) -> None:
    """Take state from a peer; with none left, refuse truthfully until the log is back.

    Symptom: after an outage of the log, a fresh entry refuses known customers as
    unknown, or answers from nothing. Sequence: the log is out; one entry is replaced,
    then all of them at once. Cause: an empty state is taken for the fleet's.
    """
    async with anyio.create_task_group() as group:
        timers = LoopTimerService(group)
        async with (
            async_run_platform(timers) as platform,
            running_processes(tmp_path, platform.url) as processes,
        ):
            _publish(platform)
            first = await processes.async_start("first", "bergen", [])
            await first.async_logged("event=state_ready .*stream=fleet source=log")
            platform.platform.log.faults.change(outage=True)

            second = await processes.async_start("second", "flam", [first])
            await second.async_logged("event=state_ready .*stream=fleet source=peer")
            known = await second.async_get("/undredal/service-cellar/wheels")
            assert "no-worker" in known.text and known.headers["mw-ran"] == "no"

            await processes.async_kill(first)
            await processes.async_kill(second)
            third = await processes.async_start("third", "bergen", [first, second])
            await third.async_logged("event=log_out .*stream=fleet")
            refused = await third.async_get("/undredal/service-cellar/wheels")
            assert refused.status_code == 503
            assert "not-ready" in refused.text and refused.headers["mw-ran"] == "no"

            platform.platform.log.faults.change(outage=False)
            await third.async_logged("event=state_ready .*stream=fleet source=log")
            again = await third.async_get("/undredal/service-cellar/wheels")
            assert "no-worker" in again.text
        group.cancel_scope.cancel()


async def test_a_data_centre_cut_off_from_the_platform_gets_configuration(
    tmp_path: Path,
) -> None:
    """Relay a change over the peers' protocol within its bound.

    Symptom: one data centre serves an old configuration. Sequence: it is cut off from
    the platform, not from its peers, and an organisation is added elsewhere. Cause:
    entries come from the platform alone.
    """
    async with anyio.create_task_group() as group:
        timers = LoopTimerService(group)
        async with (
            async_run_platform(timers) as platform,
            running_processes(tmp_path, platform.url) as processes,
        ):
            platform.platform.log.append(
                "fleet", encode_batch([build_record(PutPool("cellar"), "zero")])
            )
            first = await processes.async_start("first", "bergen", [])
            await first.async_logged("event=state_ready .*stream=fleet source=log")
            second = await processes.async_start("second", "flam", [first])
            await second.async_logged("event=state_ready .*stream=fleet source=log")
            platform.platform.log.faults.change(cut_off=("flam",))
            await second.async_logged("event=log_out .*stream=fleet")

            _publish(platform)
            began = anyio.current_time()
            answer = await second.async_get("/undredal/service-cellar/wheels")
            while "no-worker" not in answer.text:
                assert anyio.current_time() - began < CONFIGURATION_BOUND_SECONDS
                await anyio.sleep(0.1)
                answer = await second.async_get("/undredal/service-cellar/wheels")
            assert "event=log_back" not in second.logged
        group.cancel_scope.cancel()
