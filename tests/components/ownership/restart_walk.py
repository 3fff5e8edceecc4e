"""Walk through restarts of workers under their ids, soon followed by cuts.

A steady stream of jobs with short, long and long-running tasks runs in three data
centres. One to four times some workers restart under their ids behind a link that is
down for 0.3 to 1.0 s, and write their entries up to 1.5 s later. A start or poll that
was meant for the previous incarnation may reach the next one, whose clock, fencing
token and numbers of ends start anew. Up to 2.0 s after the link is back, the workers
are cut off for 1 to 14 s: from all entries, from some or from the platform as well, in
both directions or in one. Within 1.0 s of that cut the owner releases the shard, is
killed, is frozen, is cut off from the store or stays.

In a part of the walks calls to workers are also executed 1 to 12 s late; in a part of
these also by the next incarnation. ``--no-late-calls`` leaves them out.
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from functools import partial
from typing import ClassVar

from mustardward.platform.models import Room, SubmittedStep
from mustardward.standin.estate.worker import Workload

from ..scheduling.builders import a_step
from .owner_loss_walk import DIRECTIONS, LOSS_NODES, ZONES, OwnerLossWalk
from .twice_walk import ALLOWED, main
from .twice_world import PLATFORM, Faults, Machine

WARM_UP_SECONDS = 4.0
MAX_RESTARTS = 4
RESTART_INTERVAL_SECONDS = (4.0, 9.0)
LAST_CUT_SECONDS = 12.0
LINK_DOWN_SECONDS = (0.3, 1.0)
MAX_ENTRY_DELAY_SECONDS = 1.5
CUT_DELAYS_SECONDS = (0.4, 0.4, 1.0, 2.0)
CUTS_SECONDS = ((1.0, 6.0), (6.0, 14.0), (6.0, 14.0))
OWNER_CHANGE_SECONDS = (-1.0, 1.0)
ENTRY_RESTART_SECONDS = (1.0, 5.0)
BURST_SECONDS = (-0.6, 0.2)
BURST_JOBS = (3, 8)
SHORT_SECONDS = (0.05, 2.0)
LONG_SECONDS = (3.0, 14.0)
MAX_LONG_RUNNING_STEPS = 3
LATE_SHARE = 0.1


class RestartWalk(OwnerLossWalk):
    """Run one walk.

    :param late_calls: whether the walk may have calls that are executed late.
    """

    nodes: ClassVar[tuple[tuple[str, str], ...]] = LOSS_NODES[:4]
    late_calls = True

    def __init__(self, seed: int, faults: Faults = ALLOWED) -> None:
        super().__init__(seed, faults)
        rng = self._rng
        self._jobs_a_second = rng.choice((0.8, 1.5, 2.5))
        self._task_cpu = rng.choice(((500, 1000), (1000, 2000, 4000)))
        self._long_share = rng.choice((0.3, 0.6))
        self._in_burst = False
        self._has_late_calls = rng.random() < 0.4
        self.world.late_calls_survive = rng.random() < 0.5

    async def _async_disturb(self) -> None:
        world, rng = self.world, self._rng
        late_share = LATE_SHARE if self.late_calls and self._has_late_calls else 0.0
        for machine in world.machines.values():
            machine.error_rate = late_share
            machine.outcomes = ("late",)
        count = rng.randint(1, MAX_RESTARTS)
        pauses = [rng.uniform(*RESTART_INTERVAL_SECONDS) for _ in range(count - 1)]
        pauses.append(LAST_CUT_SECONDS)
        self._submit_steadily(world.now + WARM_UP_SECONDS + sum(pauses))
        await self._async_advance(WARM_UP_SECONDS)
        for pause in pauses:
            self._restart_and_cut()
            await self._async_advance(pause)

    def _build_step(self, workload: str, after: list[int]) -> SubmittedStep:
        rng = self._rng
        # Long-running tasks keep the sessions polling.
        lasts = self._long_running < MAX_LONG_RUNNING_STEPS
        self._long_running += lasts
        is_long = self._in_burst or rng.random() < self._long_share
        seconds = rng.uniform(*(LONG_SECONDS if is_long else SHORT_SECONDS))
        room = Room(1000 if lasts else rng.choice(self._task_cpu), 100)
        self.world.workloads[workload] = Workload(room, seconds, lasts)
        return a_step(
            count=rng.randint(4, 10) if lasts else rng.randint(1, 8),
            cpu=room.cpu,
            mem_mb=room.mem_mb,
            estimate_ms=1000 * seconds,
            long_running=lasts,
            after=[] if lasts else after,
        )

    def _restart_and_cut(self) -> None:
        """Restart workers under their ids, cut them off, and change the owner."""
        world, rng = self.world, self._rng
        machines = self._choose_machines()
        back_seconds = rng.uniform(*LINK_DOWN_SECONDS)
        for machine in machines:
            self._restart_behind_cut(machine, back_seconds)
        cut_seconds = back_seconds + rng.choice(CUT_DELAYS_SECONDS) * rng.random()
        change_seconds = cut_seconds + rng.uniform(*OWNER_CHANGE_SECONDS)
        world.later(cut_seconds, partial(self._cut_again, machines))
        world.later(max(0.0, change_seconds), self._draw_owner_change())
        world.later(
            cut_seconds + rng.uniform(*ENTRY_RESTART_SECONDS), self._restart_entry
        )
        if rng.random() < 0.7:
            burst_seconds = back_seconds + rng.uniform(*BURST_SECONDS)
            world.later(max(0.0, burst_seconds), self._submit_burst)

    def _choose_machines(self) -> list[Machine]:
        """Return the workers of a data centre, or some workers."""
        zone = self._rng.choice(ZONES)
        live = [machine for machine in self.world.live() if machine.zone == zone]
        return live if live and self._rng.random() < 0.6 else self._some_live()

    def _restart_behind_cut(self, machine: Machine, seconds: float) -> None:
        rng = self._rng
        for node, _ in self.nodes:
            self.world.cut(machine.name, node, seconds)
        entry_delay_seconds = rng.uniform(0.0, MAX_ENTRY_DELAY_SECONDS)
        self.world.cut(machine.name, PLATFORM, seconds + entry_delay_seconds)
        self._restart_under_id(machine, rng.uniform(0.0, seconds))

    def _submit_burst(self) -> None:
        """Submit jobs of long tasks, so that starts meet the restarted workers."""
        self._in_burst = True
        for _ in range(self._rng.randint(*BURST_JOBS)):
            self._submit()
        self._in_burst = False

    def _cut_again(self, machines: list[Machine]) -> None:
        rng = self._rng
        others = [node for node, _ in self.nodes]
        if rng.random() < 0.3:
            others = rng.sample(others, k=rng.randint(1, len(others) - 1))
        if rng.random() < 0.5:
            others.append(PLATFORM)
        seconds = rng.uniform(*rng.choice(CUTS_SECONDS))
        direction = rng.choice(DIRECTIONS)
        for machine in machines:
            self._cut_worker(machine, others, seconds, direction)

    def _draw_owner_change(self) -> Callable[[], None]:
        return self._rng.choice(
            (
                self._release_owner,
                self._release_owner,
                self._kill_owner,
                self._freeze_owner,
                self._cut_owner_from_store,
                self._keep_owner,
            )
        )

    def _keep_owner(self) -> None:
        self.world.note("the owner stays")


def find_violations(seed: int, late_calls: bool = True) -> list[str]:
    """Return the violations of one walk.

    :param late_calls: whether it may have calls that are executed late.
    """
    walk = RestartWalk(seed)
    walk.late_calls = late_calls
    return walk.walk()


if __name__ == "__main__":
    RestartWalk.late_calls = "--no-late-calls" not in sys.argv
    main(RestartWalk)
