"""Publish configuration, schedule waves and move instances, as operators do."""

from __future__ import annotations

from dataclasses import dataclass, field
from itertools import count
from math import inf
from random import Random
from typing import Any, Final

import anyio

from mustardward.state.models.maintenance import ScheduleWave
from mustardward.state.models.pools import RequestMove
from mustardward.state.models.templates import Overrides, PutOrganisation

from .layout import POOLS, SERVICES, TEMPLATE
from .models import Published
from .world import World

_PAUSE_SECONDS: Final = 0.4


@dataclass(slots=True, eq=False)
class Operators:
    """Run operators that do not know of each other.

    They write to the log, since that is where operators publish; what the entries'
    interface offers besides is tried by its own tests.
    """

    world: World
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
        if self.world.platform.log.faults.now.outage:
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
        while not self.stopping:
            pools = random.sample(POOLS, random.randint(1, len(POOLS)))
            number = next(self._numbers)
            wave = ScheduleWave(f"wave-{number}", tuple(pools), maximum_failures=4)
            self.world.watcher.propose(wave, f"wave-{number}", 0)
            await anyio.sleep(random.uniform(3.0, 8.0))

    async def async_move_instances(self) -> None:
        """Ask for moves of instances between pools and back."""
        random = Random(self.random.random())
        while not self.stopping:
            await anyio.sleep(random.uniform(1.0, 3.0))
            state = self.world.watcher.state
            instance = state.instances[random.choice(sorted(state.instances))]
            target = next(pool for pool in POOLS if pool != instance.pool)
            expected = tuple(
                entry.place.name
                for entry in self.world.entries
                if entry.place.data_centre == instance.data_centre
            )
            number = next(self._numbers)
            body = RequestMove(f"move-{number}", instance.instance_id, target, expected)
            self.world.watcher.propose(body, f"move-{number}", instance.generation)
