"""Clients of the platform's instance list and power service."""

from __future__ import annotations

import httpx
import msgspec

from ...exceptions import PlatformOutcomeUnknownError, PlatformUnavailableError
from .http import PlatformHttp, build_refusal_error
from .models import InstancePower, ListedInstance


class HttpListingService:
    """Read the platform's lagging list over HTTP."""

    def __init__(self, http: PlatformHttp) -> None:
        self._http = http

    async def async_list(self, data_centre: str = "") -> tuple[ListedInstance, ...]:
        """Return the list, filtered by data centre if the platform supports it.

        The result holds at least the instances of ``data_centre`` and may hold others.
        """
        response = await self._http.async_read("/instances", data_centre=data_centre)
        if response.status_code != 200:
            raise build_refusal_error(response)
        try:
            return msgspec.json.decode(
                response.content, type=tuple[ListedInstance, ...]
            )
        except msgspec.MsgspecError as error:
            raise PlatformUnavailableError(str(error)) from error


class HttpPowerService:
    """Drain, reboot and return instances over HTTP."""

    def __init__(self, http: PlatformHttp) -> None:
        self._http = http

    async def async_get(self, instance_id: str) -> InstancePower:
        """Return the state of one instance."""
        response = await self._http.async_read(f"/power/{instance_id}")
        try:
            return _decode_power(response)
        except msgspec.MsgspecError as error:
            raise PlatformUnavailableError(str(error)) from error

    async def async_drain(
        self, instance_id: str, operation_id: str, generation: int
    ) -> InstancePower:
        """Stop the platform from giving the instance new tasks."""
        return await self._async_change(instance_id, "drain", operation_id, generation)

    async def async_reboot(
        self, instance_id: str, operation_id: str, generation: int
    ) -> InstancePower:
        """Reboot the instance, which has to be drained."""
        return await self._async_change(instance_id, "reboot", operation_id, generation)

    async def async_return(
        self, instance_id: str, operation_id: str, generation: int
    ) -> InstancePower:
        """Return the instance to service without a reboot."""
        return await self._async_change(instance_id, "return", operation_id, generation)

    async def _async_change(
        self, instance_id: str, action: str, operation_id: str, generation: int
    ) -> InstancePower:
        response = await self._http.async_send(
            "POST",
            f"/power/{instance_id}/{action}",
            json={"operation_id": operation_id, "generation": generation},
        )
        try:
            return _decode_power(response)
        except msgspec.MsgspecError as error:
            raise PlatformOutcomeUnknownError(str(error)) from error


def _decode_power(response: httpx.Response) -> InstancePower:
    if response.status_code != 200:
        raise build_refusal_error(response)
    return msgspec.json.decode(response.content, type=InstancePower)
