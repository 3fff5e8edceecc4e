"""Ask entries what they hold to be in force."""

from __future__ import annotations

from dataclasses import dataclass
from itertools import cycle
from typing import Any, Final

import anyio
import httpx

from .layout import POOLS, SERVICES
from .models import OwnerSeen, RevisionSeen
from .world import EntryProcess, World

_PAUSE_SECONDS: Final = 0.25


@dataclass(slots=True, eq=False)
class Viewers:
    """Ask each entry again and again, one question at a time."""

    world: World

    async def async_run(self) -> None:
        """Ask until cancelled."""
        async with anyio.create_task_group() as group:
            for entry in self.world.entries:
                group.start_soon(self._async_watch, entry)

    async def _async_watch(self, entry: EntryProcess) -> None:
        pools = cycle(POOLS)
        async with httpx.AsyncClient(timeout=1.0, trust_env=False) as client:
            while True:
                # A process that catches up shows operators how far it is, and says
                # that it is not ready; nothing is in force there yet.
                if await self._async_is_ready(client, entry):
                    for name in SERVICES:
                        await self._async_ask(client, entry, name)
                    await self._async_ask_owners(client, entry, next(pools))
                await anyio.sleep(_PAUSE_SECONDS)

    async def _async_is_ready(
        self, client: httpx.AsyncClient, entry: EntryProcess
    ) -> bool:
        try:
            answer = await client.get(f"{entry.place.url}/-/ready")
        except httpx.HTTPError:
            return False
        return answer.status_code == 200

    async def _async_ask(
        self, client: httpx.AsyncClient, entry: EntryProcess, name: str
    ) -> None:
        start, incarnation = self.world.now(), entry.incarnation
        url = f"{entry.place.operators_url}/organisations/{name}"
        try:
            answer = await client.get(url)
        except httpx.HTTPError:
            return
        if answer.status_code != 200 or incarnation != entry.incarnation:
            return
        body: dict[str, Any] = answer.json()
        self.world.history.revisions_seen.append(
            RevisionSeen(
                entry=entry.place.name,
                incarnation=incarnation,
                name=name,
                revision=int(body["revision"]),
                start=start,
                end=self.world.now(),
            )
        )

    async def _async_ask_owners(
        self, client: httpx.AsyncClient, entry: EntryProcess, pool: str
    ) -> None:
        start, label = self.world.now(), entry.label
        try:
            answer = await client.get(f"{entry.place.operators_url}/pools/{pool}")
        except httpx.HTTPError:
            return
        if answer.status_code != 200 or label != entry.label:
            return
        for item in answer.json()["instances"]:
            self.world.history.owners_seen.append(
                OwnerSeen(
                    start=start,
                    end=self.world.now(),
                    entry=label,
                    generation=int(item["generation"]),
                    instance=item["instance"],
                    pool=pool,
                )
            )
