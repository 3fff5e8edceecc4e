"""Test the replacement of real entry processes during an outage of the log."""

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


async def test_entry_nodes_replaced_during_a_log_outage(
    tmp_path: Path,
) -> None:
    """Guard against a new entry node that serves from an empty state.

    During an outage of the log, one entry node is replaced and gets its state from a
    peer. Then all of them are replaced at once, so that no peer has a state. The new
    node must refuse requests as not ready instead of treating organisations as unknown.
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
            served = await second.async_get("/undredal/service-cellar/wheels")
            assert "no-worker" in served.text and served.headers["mw-ran"] == "no"

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


async def test_data_centre_disconnected_from_the_platform_gets_configuration(
    tmp_path: Path,
) -> None:
    """Guard against a data centre that keeps serving an old configuration.

    It is disconnected from the platform but not from its peers while an organisation
    is added elsewhere. Peers have to relay the change within the configuration bound.
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
            started_at = anyio.current_time()
            response = await second.async_get("/undredal/service-cellar/wheels")
            while "no-worker" not in response.text:
                assert anyio.current_time() - started_at < CONFIGURATION_BOUND_SECONDS
                await anyio.sleep(0.1)
                response = await second.async_get("/undredal/service-cellar/wheels")
            assert "event=log_back" not in second.logged
        group.cancel_scope.cancel()
