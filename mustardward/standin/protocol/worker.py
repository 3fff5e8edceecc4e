"""Client of the workers, for leased tasks and usage reports."""

from __future__ import annotations

import httpx
import msgspec

from ...exceptions import PlatformOutcomeUnknownError, PlatformUnavailableError
from .http import PlatformHttp, build_refusal_error
from .models import TaskOrder, TaskReport, WorkerUsage


class HttpWorkerService:
    """Run leased tasks on workers over HTTP."""

    def __init__(self, http: PlatformHttp) -> None:
        self._http = http

    async def async_start(self, address: str, order: TaskOrder) -> TaskReport:
        """Start a task, or return its report if the generation was started before."""
        response = await self._http.async_send(
            "PUT",
            _task_url(address, order.task_id),
            content=msgspec.msgpack.encode(order),
        )
        return _decode_change(response)

    async def async_report(self, address: str, task_id: str) -> TaskReport:
        """Return the state of a task."""
        response = await self._http.async_read(_task_url(address, task_id))
        try:
            return _decode_report(response)
        except msgspec.MsgspecError as error:
            raise PlatformUnavailableError(str(error)) from error

    async def async_renew(
        self, address: str, task_id: str, generation: int, lease_seconds: float
    ) -> TaskReport:
        """Extend the lease of a task."""
        response = await self._http.async_send(
            "POST",
            f"{_task_url(address, task_id)}/renew",
            json={"generation": generation, "lease_seconds": lease_seconds},
        )
        return _decode_change(response)

    async def async_checkpoint(
        self, address: str, task_id: str, generation: int
    ) -> TaskReport:
        """Write a checkpoint and stop the task."""
        return await self._async_act(address, task_id, "checkpoint", generation)

    async def async_throttle(
        self, address: str, task_id: str, generation: int
    ) -> TaskReport:
        """Reduce the speed of a task and free its slot."""
        return await self._async_act(address, task_id, "throttle", generation)

    async def async_stop(
        self, address: str, task_id: str, generation: int
    ) -> TaskReport:
        """Stop a task without a checkpoint."""
        return await self._async_act(address, task_id, "stop", generation)

    async def async_usage(self, address: str) -> WorkerUsage:
        """Return the worker's delayed usage report."""
        response = await self._http.async_read(f"http://{address}/usage")
        if response.status_code != 200:
            raise build_refusal_error(response)
        try:
            return msgspec.json.decode(response.content, type=WorkerUsage)
        except msgspec.MsgspecError as error:
            raise PlatformUnavailableError(str(error)) from error

    async def _async_act(
        self, address: str, task_id: str, action: str, generation: int
    ) -> TaskReport:
        response = await self._http.async_send(
            "POST",
            f"{_task_url(address, task_id)}/{action}",
            json={"generation": generation},
        )
        return _decode_change(response)


def _task_url(address: str, task_id: str) -> str:
    return f"http://{address}/tasks/{task_id}"


def _decode_change(response: httpx.Response) -> TaskReport:
    try:
        return _decode_report(response)
    except msgspec.MsgspecError as error:
        raise PlatformOutcomeUnknownError(str(error)) from error


def _decode_report(response: httpx.Response) -> TaskReport:
    if response.status_code != 200:
        raise build_refusal_error(response)
    return msgspec.msgpack.decode(response.content, type=TaskReport)
