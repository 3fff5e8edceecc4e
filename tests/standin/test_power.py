"""Test draining, rebooting and returning workers through the platform."""

from __future__ import annotations

import anyio
import httpx
import pytest

from mustardward.exceptions import (
    PlatformOutcomeUnknownError,
    PlatformRefusedError,
    PlatformUnavailableError,
    StaleGenerationError,
)
from mustardward.standin.platform import PlatformOptions
from mustardward.standin.protocol.models import InstancePower, ListedState, PowerState

from ..fakes.platform import (
    PlatformBench,
    async_platform_bench,
    async_until,
    async_worker_bench,
)

pytestmark = pytest.mark.anyio


async def async_power(bench: PlatformBench) -> InstancePower:
    return await bench.power.async_get("worker-1")


async def test_an_instance_drains_reboots_and_comes_back_with_a_new_boot() -> None:
    async with (
        async_platform_bench(PlatformOptions(reboot_seconds=5.0)) as bench,
        async_worker_bench(bench.timers, bench.url) as worker_bench,
    ):
        drained = await bench.power.async_drain("worker-1", "op-1", 1)
        refused = await worker_bench.client.get("/serve/climate/now")
        rebooting = await bench.power.async_reboot("worker-1", "op-2", 1)
        with pytest.raises(httpx.TransportError):
            await worker_bench.client.get("/serve/climate/now")
        await bench.timers.async_advance(5.0)
        await async_until(lambda: worker_bench.worker.boot == 2)
        back = await async_power(bench)
        served = await worker_bench.client.get("/serve/climate/now")
    assert drained.state is PowerState.DRAINED
    assert (refused.status_code, refused.headers["mw-refusal"]) == (503, "draining")
    assert rebooting.state is PowerState.REBOOTING
    assert back == InstancePower("worker-1", PowerState.SERVING, 2, 1, 0)
    assert served.status_code == 200


async def test_an_instance_with_running_work_is_not_rebooted() -> None:
    """Guard against requests interrupted by a planned reboot.

    An instance is drained and rebooted at once, before its requests have finished.
    """
    async with (
        async_platform_bench() as bench,
        async_worker_bench(bench.timers, bench.url) as worker_bench,
        anyio.create_task_group() as tasks,
    ):
        responses: list[httpx.Response] = []

        async def call() -> None:
            responses.append(
                await worker_bench.client.get("/serve/climate/now?sleep=60")
            )

        tasks.start_soon(call)
        await async_until(lambda: worker_bench.worker.executions.running == 1)
        draining = await bench.power.async_drain("worker-1", "op-1", 1)
        with pytest.raises(PlatformRefusedError):
            await bench.power.async_reboot("worker-1", "op-2", 1)
        await bench.timers.async_advance(60.0)
        await async_until(lambda: bool(responses))
        drained = await async_power(bench)
    assert (draining.state, draining.running) == (PowerState.DRAINING, 1)
    assert drained.state is PowerState.DRAINED
    assert responses[0].status_code == 200


async def test_a_repeated_operation_takes_effect_once() -> None:
    """Guard against an instance that reboots twice for one operation.

    The response to a reboot is lost and the executor repeats the operation after the
    instance has booted and was drained again.
    """
    async with (
        async_platform_bench(PlatformOptions(reboot_seconds=5.0)) as bench,
        async_worker_bench(bench.timers, bench.url) as worker_bench,
    ):
        await bench.power.async_drain("worker-1", "drain-1", 1)
        bench.platform.power.faults.change(lose_answers=1)
        with pytest.raises(PlatformOutcomeUnknownError):
            await bench.power.async_reboot("worker-1", "reboot-1", 1)
        await bench.timers.async_advance(5.0)
        await async_until(lambda: worker_bench.worker.boot == 2)
        await bench.power.async_drain("worker-1", "drain-2", 1)
        repeated = await bench.power.async_reboot("worker-1", "reboot-1", 1)
    assert (repeated.state, repeated.boot) == (PowerState.DRAINED, 2)


async def test_a_call_under_an_older_generation_is_refused() -> None:
    """Guard against calls of an outdated executor.

    An executor resumes after a pause and drains an instance that its successor has
    returned to service.
    """
    async with (
        async_platform_bench() as bench,
        async_worker_bench(bench.timers, bench.url),
    ):
        await bench.power.async_drain("worker-1", "op-1", 7)
        await bench.power.async_return("worker-1", "op-2", 8)
        with pytest.raises(StaleGenerationError):
            await bench.power.async_drain("worker-1", "op-3", 7)
        assert (await async_power(bench)).state is PowerState.SERVING


async def test_an_instance_that_does_not_come_back_is_down() -> None:
    async with (
        async_platform_bench(PlatformOptions(reboot_seconds=5.0)) as bench,
        async_worker_bench(bench.timers, bench.url),
    ):
        bench.platform.power.faults.change(stay_down=("worker-1",))
        await bench.power.async_drain("worker-1", "op-1", 1)
        await bench.power.async_reboot("worker-1", "op-2", 1)
        await bench.timers.async_advance(5.0)
        await async_until(lambda: not bench.platform.listing.current)
        assert (await async_power(bench)).state is PowerState.DOWN


async def test_draining_an_unreachable_worker_has_no_effect() -> None:
    async with (
        async_platform_bench() as bench,
        async_worker_bench(bench.timers, bench.url) as worker_bench,
    ):
        worker_bench.worker.faults.change(down=True)
        with pytest.raises(PlatformUnavailableError):
            await bench.power.async_drain("worker-1", "op-1", 1)
        worker_bench.worker.faults.change(down=False)
        drained = await bench.power.async_drain("worker-1", "op-1", 1)
    assert drained.state is PowerState.DRAINED


async def test_the_list_can_be_filtered_by_data_centre() -> None:
    options = PlatformOptions(listing_lag_seconds=0.0)
    async with (
        async_platform_bench(options) as bench,
        async_worker_bench(bench.timers, bench.url),
    ):
        await bench.timers.async_advance(1.0)
        (whole,) = await bench.listing.async_list()
        assert await bench.listing.async_list(whole.data_centre) == (whole,)
        assert await bench.listing.async_list("elsewhere") == ()


async def test_the_list_lags_behind() -> None:
    options = PlatformOptions(listing_lag_seconds=2.0)
    async with (
        async_platform_bench(options) as bench,
        async_worker_bench(bench.timers, bench.url),
    ):
        assert await bench.listing.async_list() == ()
        await bench.timers.async_advance(2.0)
        await bench.power.async_drain("worker-1", "op-1", 1)
        before = await bench.listing.async_list()
        await bench.timers.async_advance(2.0)
        after = await bench.listing.async_list()
    assert [listed.state for listed in before] == [ListedState.LIVE]
    assert [listed.state for listed in after] == [ListedState.LEAVING]
