"""Test renewals that reach the next incarnation of a worker under the same id."""

from __future__ import annotations

from functools import partial

import pytest

from mustardward.platform.bodies import StartBody

from .restarted_worker_walk import (
    CUT_SECONDS,
    JOB,
    SMALL_ROOM,
    Ownership,
    RestartedWorkerWalk,
)
from .twice_walk import NODES
from .twice_world import POOL_A, Machine

SEED = 2
LISTED_SECONDS = 0.4
"""Time in which a run that has started is listed by a poll."""


class RenewedWorkerWalk(RestartedWorkerWalk):
    """Release the shard after a poll has renewed the lease of a restarted worker.

    The next owner starts tasks on the worker, which is cut off once they are listed.

    :param answered: whether the worker's answer to that poll arrives.
    """

    def __init__(self, seed: int, answered: bool) -> None:
        super().__init__(seed, Ownership.RELEASED)
        self._answered = answered

    async def _async_walk(self) -> list[str]:
        world = self.world
        ticker = await self._async_begin()
        machines = self._machines_to_restart()
        await self._async_renew_restarted(machines)
        entry = self._owner()
        owner = entry.ownership.owner
        assert owner is not None
        self._cut_off_after_starts(machines)
        entry.spawn(owner.async_release())
        self._submit_step(JOB, 4, SMALL_ROOM)
        await self._async_advance(0.5)
        self._let_answers_arrive(machines)
        await self._async_advance(CUT_SECONDS)
        ticker.cancel()
        for other in self._entries.values():
            await other.async_end()
        return world.violations

    def _machines_to_restart(self) -> list[Machine]:
        owner_zone = self._owner().zone
        return [
            machine
            for machine in self.world.live()
            if machine.pool == POOL_A and machine.zone != owner_zone
        ]

    async def _async_renew_restarted(self, machines: list[Machine]) -> None:
        """Restart workers; wait until the owner's polls have renewed their leases."""
        world = self.world
        await self._async_wait_for_renewal()
        for machine in machines:
            self._restart(machine)
            if not self._answered:
                for node, _ in NODES:
                    world.cut_one_way(machine.name, node, CUT_SECONDS)
        for _ in range(100):
            await self._async_advance(0.05)
            if world.counts.get("excessive-renewal", 0) >= len(machines):
                break
        await self._async_advance(0.1)

    def _let_answers_arrive(self, machines: list[Machine]) -> None:
        if not self._answered:
            for machine in machines:
                for node, _ in NODES:
                    self.world._cuts.pop((machine.name, node), None)

    def _cut_off_after_starts(self, machines: list[Machine]) -> None:
        world = self.world
        execute = world.start

        def start(machine: Machine, order: StartBody) -> tuple[str, float]:
            answer = execute(machine, order)
            if machine in machines and order.task.startswith(JOB) and not answer[0]:
                cut_off = partial(self._cut_off, machine, CUT_SECONDS)
                world.later(LISTED_SECONDS, cut_off)
                self.misdirected.add(machine.name)
            return answer

        world.start = start  # type: ignore[method-assign]


@pytest.mark.parametrize("answered", [True, False])
def test_run_on_a_worker_that_an_earlier_owner_renewed_is_not_repeated_beside_it(
    answered: bool,
) -> None:
    """Guard against a renewal that a restarted worker takes for the longest lease."""
    walk = RenewedWorkerWalk(SEED, answered)
    violations = walk.walk()
    assert walk.world.counts.get("excessive-renewal")
    assert walk.misdirected
    assert not violations
