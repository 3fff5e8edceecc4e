"""Restart workers under their ids, and cut them off once they accept a start.

The workers are unreachable while they restart, so that the owner's poll of the previous
incarnation is still unanswered when it sends the next start. The new incarnation
accepts that start with a deadline of the previous clock, and is cut off before anybody
hears of it.
"""

from __future__ import annotations

import asyncio
from enum import Enum

from mustardward.components.ledger.const import PREFIX_JOB, TOPIC
from mustardward.components.ledger.ledger import encode
from mustardward.platform.bodies import StartBody
from mustardward.platform.models import Room
from mustardward.standin.estate.worker import Workload

from ..scheduling.builders import a_job, a_step
from .twice_walk import NODES, TwiceWalk
from .twice_world import PLATFORM, POOL_A, Machine

LONG_RUNNING_JOB = f"{1:016x}"
JOB = f"{2:016x}"
SMALL_ROOM = Room(500, 100)
TASK_ROOM = Room(4000, 100)
TASK_SECONDS = 14.0
DOWN_SECONDS = 0.6
ENTRY_SECONDS = 1.5
CUT_SECONDS = 16.0
CONTACT_SECONDS = 1.0


class Ownership(Enum):
    """What becomes of the ownership after the workers are cut off.

    ADOPTED: the next owner reaches the workers once, before they are cut off again.
    """

    KEPT = "kept"
    RELEASED = "released"
    KILLED = "killed"
    ADOPTED = "adopted"


class RestartedWorkerWalk(TwiceWalk):
    """Run one walk.

    :param misdirected: the machines that accepted a start meant for the incarnation
        before.
    """

    def __init__(self, seed: int, ownership: Ownership) -> None:
        super().__init__(seed)
        self._ownership = ownership
        self._restarted: set[str] = set()
        self.misdirected: set[str] = set()

    async def _async_walk(self) -> list[str]:
        world = self.world
        ticker = await self._async_begin()
        await self._async_restart_workers()
        await self._async_change_owner()
        await self._async_advance(CUT_SECONDS)
        ticker.cancel()
        for entry in self._entries.values():
            await entry.async_end()
        return world.violations

    async def _async_begin(self) -> asyncio.Task[None]:
        """Start tasks that keep the sessions polling; return the world's ticker."""
        self.world.writes_birth_times = True
        ticker = self._begin_calm()
        await self._async_advance(3.0)
        self._submit_step(LONG_RUNNING_JOB, 8, SMALL_ROOM, long_running=True)
        await self._async_advance(3.0)
        return ticker

    def _submit_step(
        self, job: str, count: int, room: Room, long_running: bool = False
    ) -> None:
        world = self.world
        world.workloads[f"{job}.0"] = Workload(room, TASK_SECONDS, long_running)
        step = a_step(
            count=count,
            cpu=room.cpu,
            mem_mb=room.mem_mb,
            estimate_ms=1000 * TASK_SECONDS,
            long_running=long_running,
        )
        record = a_job(
            step, job=job, queue="host /a/", service=POOL_A, accepted_at=world.now
        ).record
        world.store.append(TOPIC, [(PREFIX_JOB + job, encode(record))])

    async def _async_restart_workers(self) -> None:
        """Restart the workers of one data centre, and start tasks on them."""
        world = self.world
        owner_zone = self._owner().zone
        machines = [
            machine
            for machine in world.live()
            if machine.pool == POOL_A and machine.zone != owner_zone
        ]
        execute = world.start

        def start(machine: Machine, order: StartBody) -> tuple[str, float]:
            answer = execute(machine, order)
            is_misdirected = machine.name in self._restarted and not answer[0]
            if is_misdirected and order.task.startswith(JOB):
                self.misdirected.add(machine.name)
                self._cut_off(machine, CUT_SECONDS)
            return answer

        world.start = start  # type: ignore[method-assign]
        await self._async_wait_for_renewal()
        for machine in machines:
            self._restart(machine)
        await self._async_advance(DOWN_SECONDS)
        self._submit_step(JOB, 8, TASK_ROOM)
        for _ in range(20):
            await self._async_advance(0.05)
            if self.misdirected:
                return

    async def _async_wait_for_renewal(self) -> None:
        """Wait until the next polls have been sent, whose answers will be lost."""
        seen = len(self.world.trace)
        while not any("renew " in text for _, text in self.world.trace[seen:]):
            await self._async_advance(0.05)

    def _restart(self, machine: Machine) -> None:
        world = self.world
        worker = machine.worker
        assert worker is not None
        self._cut_off(machine, DOWN_SECONDS)
        # Its entry is written a heartbeat later.
        world.cut(machine.name, PLATFORM, DOWN_SECONDS + ENTRY_SECONDS)
        world.take_down(machine, "up", DOWN_SECONDS)
        world.boot(machine, worker.id)
        self._restarted.add(machine.name)

    def _cut_off(self, machine: Machine, seconds: float) -> None:
        for place in (PLATFORM, *(node for node, _ in NODES)):
            self.world.cut(machine.name, place, seconds)

    async def _async_change_owner(self) -> None:
        entry = self._owner()
        owner = entry.ownership.owner
        assert owner is not None
        if self._ownership is Ownership.KEPT:
            return
        await self._async_advance(0.1)
        if self._ownership is Ownership.KILLED:
            entry.process.kill()
            return
        entry.spawn(owner.async_release())
        if self._ownership is Ownership.ADOPTED:
            machines = [self.world.machines[name] for name in self.misdirected]
            for machine in machines:
                self.world._cuts.pop((machine.name, PLATFORM))
            await self._async_advance(CONTACT_SECONDS)
            self.world._cuts.clear()
            while not all(map(self._is_adopted, machines)):
                await self._async_advance(0.02)
            for machine in machines:
                self._cut_off(machine, CUT_SECONDS)

    def _is_adopted(self, machine: Machine) -> bool:
        """Return whether the present owner has adopted the runs of a worker."""
        owner = self._owner().ownership.owner
        if owner is None or machine.worker is None:
            return False
        worker = owner.scheduler.state.workers.get(machine.worker.id)
        return worker is not None and worker.confirmed and bool(worker.tasks)
