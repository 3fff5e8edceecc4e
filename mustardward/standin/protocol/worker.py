"""Call workers for leased tasks and for their usage."""

from __future__ import annotations

import httpx
import msgspec

from ...exceptions import PlatformOutcomeUnknownError, PlatformUnavailableError
from .http import PlatformHttp, refused
from .models import TaskOrder, TaskReport, WorkerUsage


class HttpWorkerService:
    """Run leased tasks on workers over HTTP."""

    def __init__(self, http: PlatformHttp) -> None:
        self._http = http

    async def async_start(self, address: str, order: TaskOrder) -> TaskReport:
        """Start a task, or return the report of the same generation's task."""
        answer = await self._http.async_send(
            "PUT",
            _task_url(address, order.task_id),
            content=msgspec.msgpack.encode(order),
        )
        return _changed(answer)

    async def async_report(self, address: str, task_id: str) -> TaskReport:
        """Return the state of a task."""
        answer = await self._http.async_read(_task_url(address, task_id))
        try:
            return _report(answer)
        except msgspec.MsgspecError as error:
            raise PlatformUnavailableError(str(error)) from error

    async def async_renew(
        self, address: str, task_id: str, generation: int, lease_seconds: float
    ) -> TaskReport:
        """Prolong the lease of a task."""
        answer = await self._http.async_send(
            "POST",
            f"{_task_url(address, task_id)}/renew",
            json={"generation": generation, "lease_seconds": lease_seconds},
        )
        return _changed(answer)

    async def async_checkpoint(
        self, address: str, task_id: str, generation: int
    ) -> TaskReport:
        """Write a checkpoint and stop there."""
        return await self._async_act(address, task_id, "checkpoint", generation)

    async def async_throttle(
        self, address: str, task_id: str, generation: int
    ) -> TaskReport:
        """Let a task run slowly and free its slot."""
        return await self._async_act(address, task_id, "throttle", generation)

    async def async_stop(
        self, address: str, task_id: str, generation: int
    ) -> TaskReport:
        """Stop a task without a checkpoint."""
        return await self._async_act(address, task_id, "stop", generation)

    async def async_usage(self, address: str) -> WorkerUsage:
        """Return the worker's lagging report of its usage."""
        answer = await self._http.async_read(f"http://{address}/usage")
        if answer.status_code != 200:
            raise refused(answer)
        try:
            return msgspec.json.decode(answer.content, type=WorkerUsage)
        except msgspec.MsgspecError as error:
            raise PlatformUnavailableError(str(error)) from error

    async def _async_act(
        self, address: str, task_id: str, action: str, generation: int
    ) -> TaskReport:
        answer = await self._http.async_send(
            "POST",
            f"{_task_url(address, task_id)}/{action}",
            json={"generation": generation},
        )
        return _changed(answer)


def _task_url(address: str, task_id: str) -> str:
    return f"http://{address}/tasks/{task_id}"


def _changed(answer: httpx.Response) -> TaskReport:
    try:
        return _report(answer)
    except msgspec.MsgspecError as error:
        raise PlatformOutcomeUnknownError(str(error)) from error


def _report(answer: httpx.Response) -> TaskReport:
    if answer.status_code != 200:
        raise refused(answer)
    return msgspec.msgpack.decode(answer.content, type=TaskReport)
