"""Operator and caller client of an embedded fleet."""

from __future__ import annotations

from typing import Any

import httpx

from ..exceptions import MustardwardError
from .fleet import caller_url, operator_url
from .models import RunningFleet


class CallRefusedError(MustardwardError):
    """Raised when an operator's call to the embedded fleet was refused."""

    code = "call-refused"


class FleetOperator:
    """Client of the operators' API of an entry.

    :param client: HTTP client, closed by its owner.
    """

    def __init__(self, fleet: RunningFleet, client: httpx.AsyncClient) -> None:
        self._fleet = fleet
        self._client = client

    @property
    def client(self) -> httpx.AsyncClient:
        """Return the HTTP client, for callers' requests."""
        return self._client

    def caller_urls(self) -> tuple[str, ...]:
        """Return the base URL of each entry for callers' requests."""
        return tuple(caller_url(core) for core in self._fleet.entries.values())

    async def async_call(
        self, method: str, path: str, body: Any = None, data_centre: str | None = None
    ) -> Any:
        """Make a call and return the JSON of the response.

        :raises CallRefusedError: for an error status.
        """
        response = await self.async_request(method, path, body, data_centre)
        if response.is_error:
            raise CallRefusedError(f"{method} {path} {response.text}")
        return response.json()

    async def async_request(
        self, method: str, path: str, body: Any = None, data_centre: str | None = None
    ) -> httpx.Response:
        """Make a call and return the response with any status."""
        core = self._fleet.first_entry(data_centre)
        url = operator_url(core) + path
        return await self._client.request(method, url, json=body, timeout=30.0)

    async def async_register(self) -> int:
        """Register the plan's pools and workers; return the number of workers."""
        for pool in self._fleet.plan.pools:
            await self.async_call("PUT", f"/pools/{pool}")
        instances = [
            {
                "instance_id": planned.instance_id,
                "data_centre": planned.data_centre,
                "rack": planned.rack,
                "pool": planned.pool,
                "address": self._fleet.workers[planned.instance_id].address,
                "slots": self._fleet.plan.slots,
            }
            for planned in self._fleet.planned_workers.values()
        ]
        response = await self.async_call("POST", "/instances", {"instances": instances})
        if response["refused"]:
            raise CallRefusedError(f"instances refused={response['refused']}")
        return len(instances)
