"""Serve a simulated worker over HTTP."""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import asdict, dataclass, replace
from typing import Any, Literal

import httpx
import msgspec
from pydantic import BaseModel, ConfigDict
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from ..const import HEADER_RAN
from ..exceptions import PlatformRefusedError, StaleGenerationError
from ..helpers.timer import TimerService
from .common import (
    BodyError,
    ConnectionReset,
    async_handle_body_error,
    async_parse_body,
    error_response,
)
from .protocol.models import TaskOrder, TaskReport
from .serving import async_serve
from .tasks import UnknownTaskError
from .worker import StandInWorker, WorkerOptions
from .worker_serve import HEADER_REFUSAL, ServeApp

TASK_ACTIONS = ("renew", "checkpoint", "throttle", "stop")


class PowerActionModel(BaseModel):
    """Body of a call from the platform's power service to a worker."""

    model_config = ConfigDict(extra="forbid")

    action: Literal["look", "drain", "return", "reboot", "up"]
    boot: int = 0


class FaultChangesModel(BaseModel):
    """Body of a fault change, validated by the fault switch."""

    model_config = ConfigDict(extra="allow")


class TaskCallModel(BaseModel):
    """Body of a call on a leased task."""

    model_config = ConfigDict(extra="forbid")

    generation: int
    lease_seconds: float = 0.0


class WorkerApp:
    """Route ``/serve`` directly to the worker and other paths through starlette."""

    def __init__(self, worker: StandInWorker) -> None:
        self._worker = worker
        self._serve_app = ServeApp(worker)
        self._router = Starlette(
            routes=[
                Route("/tasks/{task_id}", self._async_task, methods=["GET", "PUT"]),
                Route("/tasks/{task_id}/{action}", self._async_act, methods=["POST"]),
                Route("/usage", self._async_usage, methods=["GET"]),
                Route("/admin/faults", self._async_faults, methods=["GET", "POST"]),
                Route("/admin/power", self._async_power, methods=["POST"]),
                Route(
                    "/admin/executions",
                    self._async_executions,
                    methods=["GET", "DELETE"],
                ),
            ],
            exception_handlers={
                BodyError: async_handle_body_error,
                PlatformRefusedError: _async_handle_task_error,
            },
        )

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Serve one request."""
        path = scope.get("path", "")
        if path.startswith("/serve/"):
            await self._serve_app(scope, receive, send)
            return
        if not path.startswith("/admin/"):
            await self._worker.async_wait_unfrozen()
            if not self._worker.reachable:
                await ConnectionReset()(scope, receive, send)
                return
        await self._router(scope, receive, send)

    async def _async_task(self, request: Request) -> Response:
        worker = self._worker
        now = worker.timers.monotonic()
        task_id = request.path_params["task_id"]
        if request.method == "GET":
            return _report_response(worker.tasks.report(task_id, now))
        order = await _async_parse_order(request)
        if not (worker.tasks.has_attempt(order)):
            worker.tasks.check(order.task_id, order.generation)
            refused = worker.check_admission(order.pool_generation)
            if refused is not None:
                worker.executions.record_refusal(refused)
                return not_run_response(refused)
        report = worker.tasks.start(order, now, worker.faults.active.fail_all)
        worker.record_usage()
        return _report_response(report)

    async def _async_act(self, request: Request) -> Response:
        task_id = request.path_params["task_id"]
        action = request.path_params["action"]
        if action not in TASK_ACTIONS:
            return error_response(404, "action-unknown")
        model = await async_parse_body(request, TaskCallModel)
        worker = self._worker
        now = worker.timers.monotonic()
        if action == "renew":
            report = worker.tasks.renew(
                task_id, model.generation, model.lease_seconds, now
            )
        else:
            task_action: Callable[[str, int, float], TaskReport] = getattr(
                worker.tasks, action
            )
            report = task_action(task_id, model.generation, now)
        worker.record_usage()
        return _report_response(report)

    async def _async_usage(self, request: Request) -> Response:
        return JSONResponse(asdict(self._worker.usage()))

    async def _async_faults(self, request: Request) -> Response:
        faults = self._worker.faults
        if request.method == "POST":
            model = await async_parse_body(request, FaultChangesModel)
            try:
                faults.change(**(model.model_extra or {}))
            except ValueError as error:
                raise BodyError(str(error)) from error
        return JSONResponse(faults.active.model_dump())

    async def _async_power(self, request: Request) -> Response:
        worker = self._worker
        model = await async_parse_body(request, PowerActionModel)
        await worker.async_wait_unfrozen()
        if worker.faults.active.down:
            return ConnectionReset()
        worker.change_power(model.action, model.boot)
        return JSONResponse(
            {
                "running": worker.in_progress,
                "power": worker.power,
                "boot": worker.boot,
            }
        )

    async def _async_executions(self, request: Request) -> Response:
        worker = self._worker
        if request.method == "DELETE":
            worker.executions.clear()
            return Response(status_code=204)
        now = worker.timers.monotonic()
        return JSONResponse(
            {
                "instance": worker.options.instance_id,
                "now": now,
                "requests": [
                    asdict(item) for item in worker.executions.list_executions()
                ],
                "tasks": [asdict(run) for run in worker.tasks.runs(now)],
                "refusals": worker.executions.refusals,
            }
        )


def not_run_response(cause: str) -> Response:
    """Return the response to work that was definitely not run."""
    headers = {HEADER_RAN: "no", HEADER_REFUSAL: cause}
    return JSONResponse({"code": cause}, status_code=503, headers=headers)


async def _async_handle_task_error(request: Request, error: Exception) -> Response:
    if isinstance(error, UnknownTaskError):
        return error_response(404, error.code)
    if isinstance(error, StaleGenerationError):
        return error_response(409, error.code, detail=error.detail)
    return error_response(409, PlatformRefusedError.code, detail=str(error))


async def _async_parse_order(request: Request) -> TaskOrder:
    try:
        order = msgspec.msgpack.decode(await request.body(), type=TaskOrder)
    except msgspec.MsgspecError as error:
        raise BodyError(str(error)) from error
    return replace(order, task_id=request.path_params["task_id"])


def _report_response(report: TaskReport) -> Response:
    body = msgspec.msgpack.encode(report)
    return Response(body, media_type="application/msgpack")


@dataclass(frozen=True, slots=True)
class RunningWorker:
    """A worker served at ``address``."""

    address: str
    worker: StandInWorker


@asynccontextmanager
async def async_run_worker(
    timers: TimerService,
    options: WorkerOptions,
    platform_url: str = "",
    host: str = "127.0.0.1",
    port: int = 0,
) -> AsyncIterator[RunningWorker]:
    """Serve a simulated worker until the block ends and list it on the platform."""
    worker = StandInWorker(timers, options)
    app = WorkerApp(worker)
    async with async_serve(app, host, port, worker.connections) as address:
        if platform_url:
            await _async_register(platform_url, options, address)
        yield RunningWorker(address, worker)


async def _async_register(
    platform_url: str, options: WorkerOptions, address: str
) -> None:
    async with httpx.AsyncClient(trust_env=False) as client:
        response = await client.post(
            f"{platform_url}/admin/instances",
            json={
                "instance_id": options.instance_id,
                "kind": "worker",
                "data_centre": options.data_centre,
                "rack": options.rack,
                "address": address,
                "boot": 1,
            },
        )
        response.raise_for_status()
