"""Submit long jobs and cancel them in groups, as planners do."""

from __future__ import annotations

import json
from collections.abc import Iterator
from dataclasses import dataclass, field
from itertools import count
from random import Random
from typing import Any, Final

import anyio
import httpx

from .callers import Balancer
from .layout import SERVICES
from .models import OperatorCall
from .world import World

ONCE_PREFIX: Final = "once-"
"""Begins the id of a job that is not idempotent."""

_PAUSE_SECONDS: Final = 0.4
_GROUPS: Final = 3


@dataclass(slots=True, eq=False)
class Planners:
    """Submit jobs to entries that are ready."""

    world: World
    balancer: Balancer
    random: Random
    stopping: bool = False
    _numbers: Iterator[int] = field(default_factory=count)

    async def async_run(self) -> None:
        """Submit until told to stop; now and then cancel a group."""
        async with httpx.AsyncClient(timeout=6.0, trust_env=False) as client:
            while not self.stopping:
                await anyio.sleep(self.random.expovariate(1 / _PAUSE_SECONDS))
                if not self.balancer.ready:
                    continue
                if self.random.random() < 0.1:
                    await self._async_cancel(client)
                else:
                    await self._async_submit(client)

    async def _async_submit(self, client: httpx.AsyncClient) -> None:
        organisation = self.random.choice(sorted(SERVICES))
        once = self.random.random() < 0.5
        name = f"{ONCE_PREFIX if once else 'job-'}{next(self._numbers)}"
        program = {
            "run_seconds": round(self.random.expovariate(1 / 1.5), 2),
            "fails": self.random.random() < 0.1,
        }
        body = {
            "organisation": organisation,
            "service": self.random.choice(SERVICES[organisation]).service,
            "payload": json.dumps(program),
            "job_id": name,
            "group": f"group-{self.random.randrange(_GROUPS)}",
            "idempotent": not once,
            "declared_seconds": 1.0,
        }
        await self._async_call(client, "/jobs", name, body)

    async def _async_cancel(self, client: httpx.AsyncClient) -> None:
        body = {
            "organisation": self.random.choice(sorted(SERVICES)),
            "group": f"group-{self.random.randrange(_GROUPS)}",
        }
        name = f"cancel-{next(self._numbers)}"
        await self._async_call(client, "/job-groups/cancel", name, body)

    async def _async_call(
        self, client: httpx.AsyncClient, path: str, name: str, body: dict[str, Any]
    ) -> None:
        entry = self.random.choice(self.balancer.ready)
        start, status = self.world.now(), 0
        try:
            answer = await client.post(entry.place.operators_url + path, json=body)
            status = answer.status_code
        except httpx.HTTPError:
            pass
        self.world.history.calls.append(
            OperatorCall(name, start, self.world.now(), status)
        )
