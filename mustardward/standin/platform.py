"""Serve the simulated log, instance list and power service on one address."""

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
from .common import BodyError, async_handle_body_error, async_parse_body
from .listing import StandInListing
from .log import LogOptions, StandInLog
from .power import StandInPower
from .serving import async_serve


class PlatformFaultsModel(BaseModel):
    """Body of a fault change; each service validates its own faults."""

    model_config = ConfigDict(extra="forbid")

    log: dict[str, object] = {}
    listing: dict[str, object] = {}
    power: dict[str, object] = {}


@dataclass(frozen=True, slots=True)
class PlatformOptions:
    """Options of the simulated platform."""

    log: LogOptions = field(default_factory=LogOptions)
    listing_lag_seconds: float = 2.0
    reboot_seconds: float = 5.0


class StandInPlatform:
    """The three services of the platform.

    :param tasks: runs work that outlives a call.
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
        """Return the application that serves all services and the admin calls."""
        routes = [
            *self.log.routes(),
            *self.listing.routes(),
            *self.power.routes(),
            Route("/admin/faults", self._async_faults, methods=["GET", "POST"]),
            Route("/admin/counts", self._async_counts, methods=["GET"]),
        ]
        return Starlette(
            routes=routes,
            exception_handlers={BodyError: async_handle_body_error},
        )

    async def _async_faults(self, request: Request) -> Response:
        if request.method == "POST":
            model = await async_parse_body(request, PlatformFaultsModel)
            try:
                self.log.faults.change(**model.log)
                self.listing.faults.change(**model.listing)
                self.power.faults.change(**model.power)
            except ValueError as error:
                raise BodyError(str(error)) from error
        return JSONResponse(
            {
                "log": self.log.faults.active.model_dump(),
                "listing": self.listing.faults.active.model_dump(),
                "power": self.power.faults.active.model_dump(),
            }
        )

    async def _async_counts(self, request: Request) -> Response:
        return JSONResponse(self.log.counts())


@dataclass(frozen=True, slots=True)
class RunningPlatform:
    """A platform served at ``url``."""

    url: str
    platform: StandInPlatform


@asynccontextmanager
async def async_run_platform(
    timers: TimerService,
    options: PlatformOptions | None = None,
    host: str = "127.0.0.1",
    port: int = 0,
) -> AsyncIterator[RunningPlatform]:
    """Serve a simulated platform until the block ends."""
    async with (
        httpx.AsyncClient(trust_env=False) as client,
        anyio.create_task_group() as tasks,
    ):
        platform = StandInPlatform(timers, tasks, client, options or PlatformOptions())
        async with async_serve(platform.app(), host, port) as address:
            yield RunningPlatform(f"http://{address}", platform)
        tasks.cancel_scope.cancel()
