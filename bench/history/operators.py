"""Publish configuration, schedule waves and move instances, as operators do."""

from __future__ import annotations

from dataclasses import dataclass, field
from itertools import count
from math import inf
from random import Random
from typing import Any, Final

import anyio
import httpx

from mustardward.state.models.templates import Overrides, PutOrganisation

from .callers import Balancer
from .layout import POOLS, SERVICES, TEMPLATE
from .models import OperatorCall, Published
from .world import World

_PAUSE_SECONDS: Final = 0.4


@dataclass(slots=True, eq=False)
class Operators:
    """Run operators that do not know of each other.

    Parameters are published to the log itself, so that two operators may base their
    changes on the same revision; waves and moves go through the entries' interface.
    """

    world: World
    balancer: Balancer
    random: Random
    stopping: bool = False
    _numbers: Any = field(default_factory=count)

    async def async_publish(self) -> None:
        """Publish new deadlines for organisations; two operators race."""
        random = Random(self.random.random())
        while not self.stopping:
            await anyio.sleep(random.expovariate(1 / _PAUSE_SECONDS))
            name = random.choice(sorted(SERVICES))
            await self._async_publish_one(name, random)

    async def _async_publish_one(self, name: str, random: Random) -> None:
        watcher = self.world.watcher
        known = watcher.state.organisations.get(name)
        base = known.revision if known else 0
        start = self.world.now()
        await anyio.sleep(random.random() * 0.1)
        if self.world.platform.log.faults.active.outage:
            return
        overrides = Overrides(
            services=SERVICES[name], deadline_seconds=5.0 + random.random()
        )
        record_id = f"publish-{next(self._numbers)}"
        body = PutOrganisation(name, TEMPLATE, overrides)
        taken = watcher.propose(body, record_id, base)
        accepted = taken.revision >= 0
        self.world.history.published.append(
            Published(
                operation_id=record_id,
                name=name,
                base=base,
                start=start,
                end=self.world.now(),
                accepted_at=taken.at if accepted else inf,
                revision=taken.revision,
            )
        )

    async def async_schedule_waves(self) -> None:
        """Schedule waves over pools, now and then two at once."""
        random = Random(self.random.random())
        async with httpx.AsyncClient(timeout=6.0, trust_env=False) as client:
            while not self.stopping:
                pools = random.sample(POOLS, random.randint(1, len(POOLS)))
                body = {"pools": pools, "maximum_failures": 4}
                path = f"/waves/wave-{next(self._numbers)}"
                await self._async_post(client, random, path, body)
                await anyio.sleep(random.uniform(3.0, 8.0))

    async def async_move_instances(self) -> None:
        """Ask for moves of instances between pools and back."""
        random = Random(self.random.random())
        async with httpx.AsyncClient(timeout=6.0, trust_env=False) as client:
            while not self.stopping:
                await anyio.sleep(random.uniform(0.5, 2.0))
                state = self.world.watcher.state
                instance = state.instances[random.choice(sorted(state.instances))]
                target = next(pool for pool in POOLS if pool != instance.pool)
                body = {"instance_id": instance.instance_id, "target": target}
                await self._async_post(client, random, "/moves", body)

    async def _async_post(
        self,
        client: httpx.AsyncClient,
        random: Random,
        path: str,
        body: dict[str, Any],
    ) -> None:
        ready = self.balancer.ready
        if not ready:
            return
        entry, start, status = random.choice(ready), self.world.now(), 0
        try:
            answer = await client.post(entry.place.operators_url + path, json=body)
            status = answer.status_code
        except httpx.HTTPError:
            pass
        self.world.history.calls.append(
            OperatorCall(path, start, self.world.now(), status)
        )
