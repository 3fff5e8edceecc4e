"""Test owners that are cut off from the log with their data centre."""

from __future__ import annotations

import asyncio

import msgspec
import pytest

from mustardward.components.ledger.const import PREFIX_JOB, TOPIC
from mustardward.components.ledger.ledger import encode
from mustardward.platform.models import Room
from mustardward.platform.store import KEY_WAVE_PREFIX, TOPIC_OPERATOR
from mustardward.standin.estate.worker import Workload

from ..scheduling.builders import a_job, a_step
from .twice_mutants import MUTANTS
from .twice_walk import NODES, TwiceWalk
from .twice_world import PLATFORM, POOL_A, Machine

JOB = f"{1:016x}"
LOSSES = ("maintained", "crashed")
OWNER_ZONE = "z1"
CUT_SECONDS = 15.9
TASK_SECONDS = 1.5
TASK_COUNT = 8
TASK_ROOM = Room(4000, 100)
"""Two tasks fill a worker, so that the job's tasks run in both data centres."""


class IsolatedOwnerWalk(TwiceWalk):
    """Cut the owner's data centre off, except from the fleet service.

    :param loss: how the workers of the other data centre end, once the next owner has
        acknowledged their runs.
    """

    def __init__(self, seed: int, loss: str) -> None:
        super().__init__(seed)
        self._loss = loss

    async def _async_walk(self) -> list[str]:
        world = self.world
        world.disturbed = False
        ticker = asyncio.create_task(world.async_tick())
        self._configure()
        for machine in world.machines.values():
            machine.error_rate = 0.0
            world.boot(machine)
        for number in range(len(NODES)):
            self._start_entry(number)
        await self._async_advance(3.0)
        self._submit_job()
        await self._async_wait_for_both_zones()
        self._cut_owner_zone()
        await self._async_advance(1.0)
        if self._loss == "maintained":
            self._publish_maintenance()
        await self._async_advance(1.0)
        if self._loss == "crashed":
            self._crash_other_zone()
        await self._async_advance(CUT_SECONDS)
        await self._async_advance(4.0)
        ticker.cancel()
        for entry in self._entries.values():
            await entry.async_end()
        return world.violations

    def _submit_job(self) -> None:
        world = self.world
        world.workloads[f"{JOB}.0"] = Workload(TASK_ROOM, TASK_SECONDS)
        step = a_step(
            count=TASK_COUNT,
            cpu=TASK_ROOM.cpu,
            mem_mb=TASK_ROOM.mem_mb,
            estimate_ms=1000 * TASK_SECONDS,
        )
        record = a_job(
            step, job=JOB, queue="host /a/", service=POOL_A, accepted_at=world.now
        ).record
        world.store.append(TOPIC, [(PREFIX_JOB + JOB, encode(record))])

    async def _async_wait_for_both_zones(self) -> None:
        for _ in range(100):
            busy = [m for m in self.world.live() if m.worker and m.worker.runs]
            if len({machine.zone for machine in busy}) == 2:
                return
            await self._async_advance(0.05)
        raise AssertionError("tasks run in one data centre only")

    def _cut_owner_zone(self) -> None:
        world = self.world
        inside = [node for node, zone in NODES if zone == OWNER_ZONE]
        outside = [node for node, zone in NODES if zone != OWNER_ZONE]
        for node in inside:
            world.cut(node, PLATFORM, CUT_SECONDS)
            for other in outside:
                world.cut(node, other, CUT_SECONDS)
        for machine in world.machines.values():
            is_inside = machine.zone == OWNER_ZONE
            if is_inside:
                world.cut(machine.name, PLATFORM, CUT_SECONDS)
            for node in outside if is_inside else inside:
                world.cut(node, machine.name, CUT_SECONDS)

    def _other_machines(self) -> list[Machine]:
        machines = self.world.machines.values()
        return [machine for machine in machines if machine.zone != OWNER_ZONE]

    def _crash_other_zone(self) -> None:
        for machine in self._other_machines():
            self.world.take_down(machine, "down", CUT_SECONDS)

    def _publish_maintenance(self) -> None:
        """Have the next owner maintain the workers of the other data centre."""
        names = [machine.name for machine in self._other_machines()]
        wave = {"wave": 1, "machines": names, "duration-s": 3, "max-count": len(names)}
        record = (f"{KEY_WAVE_PREFIX}1", msgspec.json.encode(wave))
        self.world.store.append(TOPIC_OPERATOR, [record])


@pytest.mark.parametrize("loss", LOSSES)
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_isolated_owner_does_not_restart_runs_that_its_successor_acknowledged(
    seed: int, loss: str
) -> None:
    """Guard against a run that is repeated since its worker is gone, not its end."""
    walk = IsolatedOwnerWalk(seed, loss)
    assert not walk.walk()
    assert len(walk.epochs) > 1


@pytest.mark.parametrize("loss", LOSSES)
def test_walk_finds_an_isolated_owner_that_repeats_lost_runs(
    loss: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guard against a walk that can't detect the missing confirmation."""
    MUTANTS["lost-runs-are-repeated-unconfirmed"](monkeypatch)
    assert IsolatedOwnerWalk(1, loss).walk()
