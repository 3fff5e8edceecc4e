"""Stand in for the platform's pool service: drain, reboot and return instances."""

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
from .common import async_body, async_with_faults, refusal
from .faults import FaultSwitch, PowerFaults
from .listing import StandInListing
from .protocol.models import InstancePower, ListedState, PowerState

WORKER_TIMEOUT_SECONDS: Final = 2.0


class PowerCallModel(BaseModel):
    """Hold the body of a call that changes an instance."""

    model_config = ConfigDict(extra="forbid")

    operation_id: str = Field(min_length=1)
    generation: int = Field(ge=0)


@dataclass(slots=True, eq=False)
class _Held:
    """Hold one instance; ``seen`` are the operation ids that took effect."""

    power: InstancePower
    seen: set[str] = field(default_factory=set)


class StandInPower:
    """Drain, reboot and return the workers on the list.

    :param client: carries the calls to the workers.
    :param reboot_seconds: how long a reboot takes.
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
        self._held: dict[str, _Held] = {}
        self.faults = FaultSwitch(PowerFaults())

    def routes(self) -> list[Route]:
        """Return the published routes."""
        one = "/power/{instance_id}"
        return [
            Route(one, self._async_get, methods=["GET"]),
            Route(
                f"{one}/drain", self._async_call(self._async_drain), methods=["POST"]
            ),
            Route(
                f"{one}/reboot", self._async_call(self._async_reboot), methods=["POST"]
            ),
            Route(
                f"{one}/return", self._async_call(self._async_return), methods=["POST"]
            ),
        ]

    def _find(self, instance_id: str) -> _Held | None:
        held = self._held.get(instance_id)
        listed = self._listing.current.get(instance_id)
        if held is None and listed is not None:
            power = InstancePower(instance_id, PowerState.SERVING, listed.boot, 0, 0)
            held = self._held.setdefault(instance_id, _Held(power))
        return held

    async def _async_get(self, request: Request) -> Response:
        async def run() -> Response:
            held = self._find(request.path_params["instance_id"])
            if held is None:
                return refusal(404, "instance-unknown")
            await self._async_refresh(held)
            return _answer(held)

        return await async_with_faults(request, self.faults, self._timers, run)

    def _async_call(
        self, action: Callable[[_Held], Awaitable[Response]]
    ) -> Callable[[Request], Awaitable[Response]]:
        async def endpoint(request: Request) -> Response:
            model = await async_body(request, PowerCallModel)

            async def run() -> Response:
                held = self._find(request.path_params["instance_id"])
                if held is None:
                    return refusal(404, "instance-unknown")
                return await self._async_once(held, model, action)

            return await async_with_faults(request, self.faults, self._timers, run)

        return endpoint

    async def _async_once(
        self,
        held: _Held,
        model: PowerCallModel,
        action: Callable[[_Held], Awaitable[Response]],
    ) -> Response:
        if model.generation < held.power.generation:
            return refusal(409, "stale-generation", seen=held.power.generation)
        if model.operation_id in held.seen:
            await self._async_refresh(held)
            return _answer(held)
        held.power = replace(held.power, generation=model.generation)
        answer = await action(held)
        if answer.status_code < 400:
            held.seen.add(model.operation_id)
        return answer

    async def _async_drain(self, held: _Held) -> Response:
        if held.power.state in (PowerState.DRAINING, PowerState.DRAINED):
            return _answer(held)
        if held.power.state is not PowerState.SERVING:
            return refusal(409, "not-serving", state=held.power.state)
        if await self._async_tell(held, "drain") is None:
            return refusal(503, "instance-unreachable")
        held.power = replace(held.power, state=PowerState.DRAINING)
        self._list(held, ListedState.LEAVING)
        await self._async_refresh(held)
        return _answer(held)

    async def _async_reboot(self, held: _Held) -> Response:
        await self._async_refresh(held)
        if held.power.state is not PowerState.DRAINED:
            return refusal(409, "not-drained", state=held.power.state)
        held.power = replace(held.power, state=PowerState.REBOOTING)
        await self._async_tell(held, "reboot")
        self._tasks.start_soon(self._async_finish_reboot, held)
        return _answer(held)

    async def _async_return(self, held: _Held) -> Response:
        if held.power.state is PowerState.SERVING:
            return _answer(held)
        if held.power.state not in (PowerState.DRAINING, PowerState.DRAINED):
            return refusal(409, "not-drained", state=held.power.state)
        if await self._async_tell(held, "return") is None:
            return refusal(503, "instance-unreachable")
        held.power = replace(held.power, state=PowerState.SERVING)
        self._list(held, ListedState.LIVE)
        return _answer(held)

    async def _async_finish_reboot(self, held: _Held) -> None:
        await self._timers.async_sleep(self._reboot_seconds)
        boot = held.power.boot + 1
        stays = held.power.instance_id in self.faults.now.stay_down
        up = not stays and await self._async_tell(held, "up", boot) is not None
        if not up:
            held.power = replace(held.power, state=PowerState.DOWN, running=0)
            self._listing.remove(held.power.instance_id)
            return
        held.power = replace(held.power, state=PowerState.SERVING, boot=boot, running=0)
        self._list(held, ListedState.LIVE)

    async def _async_refresh(self, held: _Held) -> None:
        if held.power.state is not PowerState.DRAINING:
            return
        running = await self._async_tell(held, "look")
        if running is None or held.power.state is not PowerState.DRAINING:
            return
        state = PowerState.DRAINED if running == 0 else PowerState.DRAINING
        held.power = replace(held.power, state=state, running=running)

    async def _async_tell(self, held: _Held, action: str, boot: int = 0) -> int | None:
        listed = self._listing.current.get(held.power.instance_id)
        if listed is None:
            return None
        try:
            answer = await self._client.post(
                f"http://{listed.address}/admin/power",
                json={"action": action, "boot": boot},
                timeout=WORKER_TIMEOUT_SECONDS,
            )
            answer.raise_for_status()
        except httpx.HTTPError:
            return None
        running: int = answer.json()["running"]
        return running

    def _list(self, held: _Held, state: ListedState) -> None:
        listed = self._listing.current.get(held.power.instance_id)
        if listed is not None:
            self._listing.put(replace(listed, state=state, boot=held.power.boot))


def _answer(held: _Held) -> Response:
    return JSONResponse(asdict(held.power))
