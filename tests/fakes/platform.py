"""Run the stand-in platform and connect the product's clients to it."""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass

import anyio
import httpx

from mustardward.const import HEADER_DATA_CENTRE
from mustardward.helpers.timer import DrivenTimerService
from mustardward.standin.platform import (
    PlatformOptions,
    StandInPlatform,
    async_run_platform,
)
from mustardward.standin.protocol.http import PlatformHttp
from mustardward.standin.protocol.instances import HttpListingService, HttpPowerService
from mustardward.standin.protocol.log import HttpLogService
from mustardward.standin.protocol.worker import HttpWorkerService
from mustardward.standin.worker import StandInWorker, WorkerOptions
from mustardward.standin.worker_app import async_run_worker


@dataclass(slots=True)
class PlatformBench:
    """Hold a running stand-in platform, its clock and the clients connected to it."""

    timers: DrivenTimerService
    url: str
    platform: StandInPlatform
    log: HttpLogService
    listing: HttpListingService
    power: HttpPowerService
    workers: HttpWorkerService


@asynccontextmanager
async def async_platform_bench(
    options: PlatformOptions | None = None,
) -> AsyncIterator[PlatformBench]:
    """Run a stand-in platform with a driven clock inside the block."""
    timers = DrivenTimerService()
    async with async_run_platform(timers, options) as running:
        headers = {HEADER_DATA_CENTRE: "dc-1"}
        async with httpx.AsyncClient(
            base_url=running.url, headers=headers, trust_env=False
        ) as client:
            http = PlatformHttp(client, timeout_seconds=5.0)
            yield PlatformBench(
                timers=timers,
                url=running.url,
                platform=running.platform,
                log=HttpLogService(http),
                listing=HttpListingService(http),
                power=HttpPowerService(http),
                workers=HttpWorkerService(http),
            )


@dataclass(slots=True)
class WorkerBench:
    """Hold a running stand-in worker and an HTTP client connected to it."""

    worker: StandInWorker
    address: str
    client: httpx.AsyncClient


@asynccontextmanager
async def async_worker_bench(
    timers: DrivenTimerService, platform_url: str = "", instance_id: str = "worker-1"
) -> AsyncIterator[WorkerBench]:
    """Run a stand-in worker with a driven clock inside the block."""
    options = WorkerOptions(instance_id=instance_id)
    async with (
        async_run_worker(timers, options, platform_url) as running,
        httpx.AsyncClient(
            base_url=f"http://{running.address}", trust_env=False
        ) as client,
    ):
        yield WorkerBench(running.worker, running.address, client)


async def async_until(condition: Callable[[], bool]) -> None:
    """Wait for loopback traffic until a condition holds."""
    for _ in range(2000):
        if condition():
            return
        await anyio.sleep(0.001)
    raise AssertionError("condition was never met")
