"""Call the platform's list of instances and its pool service."""

from __future__ import annotations

import httpx
import msgspec

from ...exceptions import PlatformOutcomeUnknownError, PlatformUnavailableError
from .http import PlatformHttp, refused
from .models import InstancePower, ListedInstance


class HttpListingService:
    """Read the platform's lagging list over HTTP."""

    def __init__(self, http: PlatformHttp) -> None:
        self._http = http

    async def async_list(self, data_centre: str = "") -> tuple[ListedInstance, ...]:
        """Return the list, or a part that holds at least one data centre's."""
        answer = await self._http.async_read("/instances", data_centre=data_centre)
        if answer.status_code != 200:
            raise refused(answer)
        try:
            return msgspec.json.decode(answer.content, type=tuple[ListedInstance, ...])
        except msgspec.MsgspecError as error:
            raise PlatformUnavailableError(str(error)) from error


class HttpPowerService:
    """Drain, reboot and return instances over HTTP."""

    def __init__(self, http: PlatformHttp) -> None:
        self._http = http

    async def async_get(self, instance_id: str) -> InstancePower:
        """Return the state of one instance."""
        answer = await self._http.async_read(f"/power/{instance_id}")
        try:
            return _power(answer)
        except msgspec.MsgspecError as error:
            raise PlatformUnavailableError(str(error)) from error

    async def async_drain(
        self, instance_id: str, operation_id: str, generation: int
    ) -> InstancePower:
        """Give the instance no new tasks from the platform's side."""
        return await self._async_change(instance_id, "drain", operation_id, generation)

    async def async_reboot(
        self, instance_id: str, operation_id: str, generation: int
    ) -> InstancePower:
        """Reboot the instance; refused unless it is drained."""
        return await self._async_change(instance_id, "reboot", operation_id, generation)

    async def async_return(
        self, instance_id: str, operation_id: str, generation: int
    ) -> InstancePower:
        """Let the instance serve again without a reboot."""
        return await self._async_change(instance_id, "return", operation_id, generation)

    async def _async_change(
        self, instance_id: str, action: str, operation_id: str, generation: int
    ) -> InstancePower:
        answer = await self._http.async_send(
            "POST",
            f"/power/{instance_id}/{action}",
            json={"operation_id": operation_id, "generation": generation},
        )
        try:
            return _power(answer)
        except msgspec.MsgspecError as error:
            raise PlatformOutcomeUnknownError(str(error)) from error


def _power(answer: httpx.Response) -> InstancePower:
    if answer.status_code != 200:
        raise refused(answer)
    return msgspec.json.decode(answer.content, type=InstancePower)
