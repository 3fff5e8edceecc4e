"""Simulate the platform's power service, which drains and reboots instances."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import asdict, dataclass, field, replace
from typing import Final

import httpx
from anyio.abc import TaskGroup
from pydantic import BaseModel, ConfigDict, Field
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from ..helpers.timer import TimerService
from .common import async_parse_body, async_with_faults, error_response
from .faults import FaultSwitch, PowerFaults
from .listing import StandInListing
from .protocol.models import InstancePower, ListedState, PowerState

WORKER_TIMEOUT_SECONDS: Final = 2.0


class PowerCallModel(BaseModel):
    """Body of a call that changes the power state of an instance."""

    model_config = ConfigDict(extra="forbid")

    operation_id: str = Field(min_length=1)
    generation: int = Field(ge=0)


@dataclass(slots=True, eq=False)
class _InstanceRecord:
    """Power state of an instance and the ids of its completed operations."""

    power: InstancePower
    completed_operations: set[str] = field(default_factory=set)


class StandInPower:
    """Drain, reboot and return the listed workers.

    :param client: HTTP client for calls to the workers.
    :param reboot_seconds: duration of a reboot.
    """

    def __init__(
        self,
        timers: TimerService,
        tasks: TaskGroup,
        listing: StandInListing,
        client: httpx.AsyncClient,
        reboot_seconds: float = 5.0,
    ) -> None:
        self._timers = timers
        self._tasks = tasks
        self._listing = listing
        self._client = client
        self._reboot_seconds = reboot_seconds
        self._records: dict[str, _InstanceRecord] = {}
        self.faults = FaultSwitch(PowerFaults())

    def routes(self) -> list[Route]:
        """Return the public routes."""
        instance_path = "/power/{instance_id}"
        return [
            Route(instance_path, self._async_get, methods=["GET"]),
            Route(
                f"{instance_path}/drain",
                self._build_endpoint(self._async_drain),
                methods=["POST"],
            ),
            Route(
                f"{instance_path}/reboot",
                self._build_endpoint(self._async_reboot),
                methods=["POST"],
            ),
            Route(
                f"{instance_path}/return",
                self._build_endpoint(self._async_return),
                methods=["POST"],
            ),
        ]

    def _get_record(self, instance_id: str) -> _InstanceRecord | None:
        record = self._records.get(instance_id)
        listed = self._listing.current.get(instance_id)
        if record is None and listed is not None:
            power = InstancePower(instance_id, PowerState.SERVING, listed.boot, 0, 0)
            record = self._records.setdefault(instance_id, _InstanceRecord(power))
        return record

    async def _async_get(self, request: Request) -> Response:
        async def run() -> Response:
            record = self._get_record(request.path_params["instance_id"])
            if record is None:
                return error_response(404, "instance-unknown")
            await self._async_refresh(record)
            return _power_response(record)

        return await async_with_faults(request, self.faults, self._timers, run)

    def _build_endpoint(
        self, action: Callable[[_InstanceRecord], Awaitable[Response]]
    ) -> Callable[[Request], Awaitable[Response]]:
        async def endpoint(request: Request) -> Response:
            model = await async_parse_body(request, PowerCallModel)

            async def run() -> Response:
                record = self._get_record(request.path_params["instance_id"])
                if record is None:
                    return error_response(404, "instance-unknown")
                return await self._async_apply(record, model, action)

            return await async_with_faults(request, self.faults, self._timers, run)

        return endpoint

    async def _async_apply(
        self,
        record: _InstanceRecord,
        model: PowerCallModel,
        action: Callable[[_InstanceRecord], Awaitable[Response]],
    ) -> Response:
        if model.generation < record.power.generation:
            return error_response(
                409, "stale-generation", completed_operations=record.power.generation
            )
        if model.operation_id in record.completed_operations:
            await self._async_refresh(record)
            return _power_response(record)
        record.power = replace(record.power, generation=model.generation)
        response = await action(record)
        if response.status_code < 400:
            record.completed_operations.add(model.operation_id)
        return response

    async def _async_drain(self, record: _InstanceRecord) -> Response:
        if record.power.state in (PowerState.DRAINING, PowerState.DRAINED):
            return _power_response(record)
        if record.power.state is not PowerState.SERVING:
            return error_response(409, "not-serving", state=record.power.state)
        if await self._async_command_worker(record, "drain") is None:
            return error_response(503, "instance-unreachable")
        record.power = replace(record.power, state=PowerState.DRAINING)
        self._update_listing(record, ListedState.LEAVING)
        await self._async_refresh(record)
        return _power_response(record)

    async def _async_reboot(self, record: _InstanceRecord) -> Response:
        await self._async_refresh(record)
        if record.power.state is not PowerState.DRAINED:
            return error_response(409, "not-drained", state=record.power.state)
        record.power = replace(record.power, state=PowerState.REBOOTING)
        await self._async_command_worker(record, "reboot")
        self._tasks.start_soon(self._async_finish_reboot, record)
        return _power_response(record)

    async def _async_return(self, record: _InstanceRecord) -> Response:
        if record.power.state is PowerState.SERVING:
            return _power_response(record)
        if record.power.state not in (PowerState.DRAINING, PowerState.DRAINED):
            return error_response(409, "not-drained", state=record.power.state)
        if await self._async_command_worker(record, "return") is None:
            return error_response(503, "instance-unreachable")
        record.power = replace(record.power, state=PowerState.SERVING)
        self._update_listing(record, ListedState.LIVE)
        return _power_response(record)

    async def _async_finish_reboot(self, record: _InstanceRecord) -> None:
        await self._timers.async_sleep(self._reboot_seconds)
        boot = record.power.boot + 1
        stays_down = record.power.instance_id in self.faults.active.stay_down
        came_up = (
            not stays_down
            and await self._async_command_worker(record, "up", boot) is not None
        )
        if not came_up:
            record.power = replace(record.power, state=PowerState.DOWN, running=0)
            self._listing.remove(record.power.instance_id)
            return
        record.power = replace(
            record.power, state=PowerState.SERVING, boot=boot, running=0
        )
        self._update_listing(record, ListedState.LIVE)

    async def _async_refresh(self, record: _InstanceRecord) -> None:
        if record.power.state is not PowerState.DRAINING:
            return
        running = await self._async_command_worker(record, "look")
        if running is None or record.power.state is not PowerState.DRAINING:
            return
        state = PowerState.DRAINED if running == 0 else PowerState.DRAINING
        record.power = replace(record.power, state=state, running=running)

    async def _async_command_worker(
        self, record: _InstanceRecord, action: str, boot: int = 0
    ) -> int | None:
        listed = self._listing.current.get(record.power.instance_id)
        if listed is None:
            return None
        try:
            response = await self._client.post(
                f"http://{listed.address}/admin/power",
                json={"action": action, "boot": boot},
                timeout=WORKER_TIMEOUT_SECONDS,
            )
            response.raise_for_status()
        except httpx.HTTPError:
            return None
        running: int = response.json()["running"]
        return running

    def _update_listing(self, record: _InstanceRecord, state: ListedState) -> None:
        listed = self._listing.current.get(record.power.instance_id)
        if listed is not None:
            self._listing.put(replace(listed, state=state, boot=record.power.boot))


def _power_response(record: _InstanceRecord) -> Response:
    return JSONResponse(asdict(record.power))
