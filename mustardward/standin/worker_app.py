"""Serve a stand-in worker over HTTP."""

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
from .common import BodyError, NoAnswer, async_body, async_body_refusal, refusal
from .protocol.models import TaskOrder, TaskReport
from .serving import async_serve
from .tasks import UnknownTaskError
from .worker import StandInWorker, WorkerOptions
from .worker_serve import HEADER_REFUSAL, ServeApp

TASK_ACTIONS = ("renew", "checkpoint", "throttle", "stop")


class PowerActionModel(BaseModel):
    """Hold what the platform's pool service tells a worker."""

    model_config = ConfigDict(extra="forbid")

    action: Literal["look", "drain", "return", "reboot", "up"]
    boot: int = 0


class FaultChangesModel(BaseModel):
    """Hold changes of faults; the switch checks them."""

    model_config = ConfigDict(extra="allow")


class TaskCallModel(BaseModel):
    """Hold a call on a task that is held under a lease."""

    model_config = ConfigDict(extra="forbid")

    generation: int
    lease_seconds: float = 0.0


class WorkerApp:
    """Route ``/serve`` straight to the worker and the rest through starlette."""

    def __init__(self, worker: StandInWorker) -> None:
        self._worker = worker
        self._serve = ServeApp(worker)
        self._other = Starlette(
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
                BodyError: async_body_refusal,
                PlatformRefusedError: _async_task_refusal,
            },
        )

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Serve one request."""
        path = scope.get("path", "")
        if path.startswith("/serve/"):
            await self._serve(scope, receive, send)
            return
        if not path.startswith("/admin/"):
            await self._worker.async_thaw()
            if not self._worker.reachable:
                await NoAnswer()(scope, receive, send)
                return
        await self._other(scope, receive, send)

    async def _async_task(self, request: Request) -> Response:
        worker = self._worker
        now = worker.timers.monotonic()
        task_id = request.path_params["task_id"]
        if request.method == "GET":
            return _report(worker.tasks.report(task_id, now))
        order = await _async_order(request)
        if not (worker.tasks.holds(order)):
            worker.tasks.check(order.task_id, order.generation)
            refused = worker.refusal(order.pool_generation)
            if refused is not None:
                worker.executions.refuse(refused)
                return refusal_not_run(refused)
        report = worker.tasks.start(order, now, worker.faults.now.fail_all)
        worker.note_usage()
        return _report(report)

    async def _async_act(self, request: Request) -> Response:
        task_id = request.path_params["task_id"]
        action = request.path_params["action"]
        if action not in TASK_ACTIONS:
            return refusal(404, "action-unknown")
        model = await async_body(request, TaskCallModel)
        worker = self._worker
        now = worker.timers.monotonic()
        if action == "renew":
            report = worker.tasks.renew(
                task_id, model.generation, model.lease_seconds, now
            )
        else:
            act: Callable[[str, int, float], TaskReport] = getattr(worker.tasks, action)
            report = act(task_id, model.generation, now)
        worker.note_usage()
        return _report(report)

    async def _async_usage(self, request: Request) -> Response:
        return JSONResponse(asdict(self._worker.usage()))

    async def _async_faults(self, request: Request) -> Response:
        faults = self._worker.faults
        if request.method == "POST":
            model = await async_body(request, FaultChangesModel)
            try:
                faults.change(**(model.model_extra or {}))
            except ValueError as error:
                raise BodyError(str(error)) from error
        return JSONResponse(faults.now.model_dump())

    async def _async_power(self, request: Request) -> Response:
        worker = self._worker
        model = await async_body(request, PowerActionModel)
        await worker.async_thaw()
        if worker.faults.now.down:
            return NoAnswer()
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
                "requests": [asdict(item) for item in worker.executions.all()],
                "tasks": [asdict(run) for run in worker.tasks.runs(now)],
                "refusals": worker.executions.refusals,
            }
        )


def refusal_not_run(cause: str) -> Response:
    """Return the answer to work that was certainly not run."""
    headers = {HEADER_RAN: "no", HEADER_REFUSAL: cause}
    return JSONResponse({"code": cause}, status_code=503, headers=headers)


async def _async_task_refusal(request: Request, error: Exception) -> Response:
    if isinstance(error, UnknownTaskError):
        return refusal(404, error.code)
    if isinstance(error, StaleGenerationError):
        return refusal(409, error.code, detail=error.detail)
    return refusal(409, PlatformRefusedError.code, detail=str(error))


async def _async_order(request: Request) -> TaskOrder:
    try:
        order = msgspec.msgpack.decode(await request.body(), type=TaskOrder)
    except msgspec.MsgspecError as error:
        raise BodyError(str(error)) from error
    return replace(order, task_id=request.path_params["task_id"])


def _report(report: TaskReport) -> Response:
    body = msgspec.msgpack.encode(report)
    return Response(body, media_type="application/msgpack")


@dataclass(frozen=True, slots=True)
class RunningWorker:
    """Hold a worker that is being served at ``address``."""

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
    """Serve a stand-in worker inside the block and put it on the platform's list."""
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
        answer = await client.post(
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
        answer.raise_for_status()
