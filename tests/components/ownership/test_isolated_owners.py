"""Test owners that are cut off from the log with their data centre."""

from __future__ import annotations

from typing import ClassVar

import msgspec
import pytest

from mustardward.components.dispatch.const import AUTHORITY_SECONDS
from mustardward.components.ledger.const import PREFIX_JOB, TOPIC
from mustardward.components.ledger.ledger import encode
from mustardward.components.scheduling.const import MAX_LEASE_SECONDS
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
LONG_TASK_SECONDS = 12.0
TASK_COUNT = 8
TASK_ROOM = Room(4000, 100)
"""Two tasks fill a worker, so that the job's tasks run in both data centres."""


class IsolatedOwnerWalk(TwiceWalk):
    """Cut the owner's data centre off, except from the fleet service.

    :param loss: how the workers of the other data centre end, once the next owner has
        acknowledged their runs.
    """

    task_seconds: ClassVar[float] = TASK_SECONDS
    warm_up_seconds: ClassVar[float] = 3.0

    def __init__(self, seed: int, loss: str = "") -> None:
        super().__init__(seed)
        self._loss = loss

    async def _async_walk(self) -> list[str]:
        world = self.world
        ticker = self._begin_calm()
        await self._async_advance(self.warm_up_seconds)
        self._submit_job()
        await self._async_wait_for_both_zones()
        await self._async_lose_owner()
        await self._async_advance(CUT_SECONDS + 4.0)
        ticker.cancel()
        for entry in self._entries.values():
            await entry.async_end()
        return world.violations

    async def _async_lose_owner(self) -> None:
        self._cut_owner_zone()
        await self._async_advance(1.0)
        if self._loss == "maintained":
            self._publish_maintenance()
        await self._async_advance(1.0)
        if self._loss == "crashed":
            self._crash_other_zone()

    def _submit_job(self) -> None:
        world = self.world
        world.workloads[f"{JOB}.0"] = Workload(TASK_ROOM, self.task_seconds)
        step = a_step(
            count=TASK_COUNT,
            cpu=TASK_ROOM.cpu,
            mem_mb=TASK_ROOM.mem_mb,
            estimate_ms=1000 * self.task_seconds,
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


class IsolatedSuccessorWalk(IsolatedOwnerWalk):
    """Isolate a successor that holds jobs, as it never reached the other data centre.

    :param seconds: time from the successor's claim to its isolation.
    :param crash_seconds: time from the next claim until the workers of the other data
        centre crash, or None if they go on.
    """

    def __init__(self, seed: int, seconds: float, crash_seconds: float | None) -> None:
        super().__init__(seed)
        self._seconds = seconds
        self._crash_seconds = crash_seconds

    async def _async_lose_owner(self) -> None:
        world = self.world
        owner = self._owner()
        (successor,) = (
            node for node, zone in NODES if zone == OWNER_ZONE and node != owner.node
        )
        (other,) = (node for node, zone in NODES if zone != OWNER_ZONE)
        for machine in self._other_machines():
            world.cut(successor, machine.name, CUT_SECONDS)
        world.cut_from_platform(other, 1.2)
        await self._async_advance(0.9)
        assert owner.ownership.owner is not None
        owner.spawn(owner.ownership.owner.async_release())
        await self._async_wait_for_owner(successor)
        await self._async_advance(self._seconds)
        self._cut_owner_zone()
        if self._crash_seconds is not None:
            await self._async_wait_for_owner(other)
            await self._async_advance(self._crash_seconds)
            self._crash_other_zone()

    async def _async_wait_for_owner(self, node: str) -> None:
        for _ in range(100):
            if self._entries[node].is_owner:
                return
            await self._async_advance(0.05)
        raise AssertionError(f"{node} does not own the shard")


class LongTasksWalk(IsolatedSuccessorWalk):
    """Let the tasks run until after the takeover's hold.

    The first owner has been owner for longer than the leases of others may last.
    """

    task_seconds = LONG_TASK_SECONDS
    warm_up_seconds = AUTHORITY_SECONDS + 1.1 * MAX_LEASE_SECONDS


@pytest.mark.parametrize("loss", LOSSES)
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_isolated_owner_does_not_restart_runs_that_its_successor_acknowledged(
    seed: int, loss: str
) -> None:
    """Guard against repeating a run whose worker is gone but whose end is known."""
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


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_isolated_successor_keeps_jobs_held_when_unreported_workers_are_lost(
    seed: int,
) -> None:
    """Guard against a release since a worker is gone whose ends another owner read."""
    walk = IsolatedSuccessorWalk(seed, 0.3, 0.4)
    assert not walk.walk()
    assert len(walk.epochs) > 2


@pytest.mark.parametrize("warm_up_seconds", [3.0, LongTasksWalk.warm_up_seconds])
@pytest.mark.parametrize("seconds", [0.8, 1.2, 1.6])
def test_isolated_successor_keeps_jobs_held_whose_leases_another_owner_renews(
    seconds: float, warm_up_seconds: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guard against a takeover hold that ends by the clock alone."""
    monkeypatch.setattr(LongTasksWalk, "warm_up_seconds", warm_up_seconds)
    walk = LongTasksWalk(1, seconds, None)
    assert not walk.walk()
    assert len(walk.epochs) > 2


def test_walks_find_a_hold_that_ends_unconfirmed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guard against walks that can't detect a missing condition of the hold."""
    with monkeypatch.context() as patch:
        MUTANTS["an-unreported-loss-is-not-confirmed"](patch)
        assert IsolatedSuccessorWalk(1, 0.3, 0.4).walk()
    MUTANTS["a-hold-ends-by-the-clock-alone"](monkeypatch)
    assert LongTasksWalk(1, 1.2, None).walk()
