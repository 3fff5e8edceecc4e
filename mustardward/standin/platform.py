"""Serve the stand-in log, list and pool service under one address."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import anyio
import httpx
from anyio.abc import TaskGroup
from pydantic import BaseModel, ConfigDict
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from ..helpers.timer import TimerService
from .common import BodyError, async_body, async_body_refusal
from .listing import StandInListing
from .log import LogOptions, StandInLog
from .power import StandInPower
from .serving import async_serve


class PlatformFaultsModel(BaseModel):
    """Hold changes of faults by service; each service checks its own."""

    model_config = ConfigDict(extra="forbid")

    log: dict[str, object] = {}
    listing: dict[str, object] = {}
    power: dict[str, object] = {}


@dataclass(frozen=True, slots=True)
class PlatformOptions:
    """Size the stand-in platform."""

    log: LogOptions = field(default_factory=LogOptions)
    listing_lag_seconds: float = 2.0
    reboot_seconds: float = 5.0


class StandInPlatform:
    """Hold the three services of the platform.

    :param tasks: group for what goes on after a call was answered.
    """

    def __init__(
        self,
        timers: TimerService,
        tasks: TaskGroup,
        client: httpx.AsyncClient,
        options: PlatformOptions,
    ) -> None:
        self.log = StandInLog(timers, tasks, options.log)
        self.listing = StandInListing(timers, options.listing_lag_seconds)
        self.power = StandInPower(
            timers, tasks, self.listing, client, options.reboot_seconds
        )

    def app(self) -> Starlette:
        """Return the application of all services and the admin calls."""
        routes = [
            *self.log.routes(),
            *self.listing.routes(),
            *self.power.routes(),
            Route("/admin/faults", self._async_faults, methods=["GET", "POST"]),
            Route("/admin/counts", self._async_counts, methods=["GET"]),
        ]
        return Starlette(
            routes=routes,
            exception_handlers={BodyError: async_body_refusal},
        )

    async def _async_faults(self, request: Request) -> Response:
        if request.method == "POST":
            model = await async_body(request, PlatformFaultsModel)
            try:
                self.log.faults.change(**model.log)
                self.listing.faults.change(**model.listing)
                self.power.faults.change(**model.power)
            except ValueError as error:
                raise BodyError(str(error)) from error
        return JSONResponse(
            {
                "log": self.log.faults.now.model_dump(),
                "listing": self.listing.faults.now.model_dump(),
                "power": self.power.faults.now.model_dump(),
            }
        )

    async def _async_counts(self, request: Request) -> Response:
        return JSONResponse(self.log.counts())


@dataclass(frozen=True, slots=True)
class RunningPlatform:
    """Hold a platform that is being served at ``url``."""

    url: str
    platform: StandInPlatform


@asynccontextmanager
async def async_run_platform(
    timers: TimerService,
    options: PlatformOptions | None = None,
    host: str = "127.0.0.1",
    port: int = 0,
) -> AsyncIterator[RunningPlatform]:
    """Serve a stand-in platform inside the block."""
    async with (
        httpx.AsyncClient(trust_env=False) as client,
        anyio.create_task_group() as tasks,
    ):
        platform = StandInPlatform(timers, tasks, client, options or PlatformOptions())
        async with async_serve(platform.app(), host, port) as address:
            yield RunningPlatform(f"http://{address}", platform)
        tasks.cancel_scope.cancel()
