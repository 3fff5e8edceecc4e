"""Act as an operator and as a caller on an embedded fleet."""

from __future__ import annotations

from typing import Any

import httpx

from ..exceptions import MustardwardError
from .fleet import caller_url, operator_url
from .models import RunningFleet


class CallRefusedError(MustardwardError):
    """Report that an operator's call on the embedded fleet was refused."""

    code = "call-refused"


class FleetOperator:
    """Call the operators' interface of one entry.

    :param client: carries the calls; its owner closes it.
    """

    def __init__(self, fleet: RunningFleet, client: httpx.AsyncClient) -> None:
        self._fleet = fleet
        self._client = client

    @property
    def client(self) -> httpx.AsyncClient:
        """Return the client, for callers' requests."""
        return self._client

    def caller_urls(self) -> tuple[str, ...]:
        """Return where each entry takes callers' requests."""
        return tuple(caller_url(core) for core in self._fleet.entries.values())

    async def async_call(
        self, method: str, path: str, body: Any = None, data_centre: str | None = None
    ) -> Any:
        """Return the answer's JSON.

        :raises CallRefusedError: for any answer that says it failed.
        """
        answer = await self.async_try(method, path, body, data_centre)
        if answer.is_error:
            raise CallRefusedError(f"{method} {path} {answer.text}")
        return answer.json()

    async def async_try(
        self, method: str, path: str, body: Any = None, data_centre: str | None = None
    ) -> httpx.Response:
        """Return the answer, whatever it says."""
        core = self._fleet.first_entry(data_centre)
        url = operator_url(core) + path
        return await self._client.request(method, url, json=body, timeout=30.0)

    async def async_register(self) -> int:
        """Register the pools and workers of the plan; return how many workers."""
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
            for planned in self._fleet.planned.values()
        ]
        answer = await self.async_call("POST", "/instances", {"instances": instances})
        if answer["refused"]:
            raise CallRefusedError(f"instances refused={answer['refused']}")
        return len(instances)
