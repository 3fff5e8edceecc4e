"""Walk through one long loss of the owner while many short tasks run and wait.

Three data centres have two entries and at least three workers each. A steady stream of
jobs fills the workers, so that many of the jobs may start in a second data centre. Then
the owner is lost for 4 to 17 s, in one of these ways:

- its data centre is cut off with it from all others, the store and the fleet service;
  in both directions or in one, ending at once or link by link;
- it is paused, also between the check and the sending of a command;
- it is cut off alone, from the store or from all;
- the owner of the moment is lost in one of these ways every 7 s.

Up to three other faults happen from 6 s before to 10 s after the loss begins, or near
its end. Workers may start again under their ids, and what is sent into a cut may arrive
after it.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from functools import partial
from typing import ClassVar

from mustardward.components.ledger.const import PREFIX_JOB, TOPIC
from mustardward.components.ledger.ledger import encode
from mustardward.platform.models import Room, SubmittedStep
from mustardward.standin.estate.worker import Workload

from ..scheduling.builders import a_job, a_step
from .twice_entries import Entry
from .twice_walk import ALLOWED, TwiceWalk, main
from .twice_world import (
    FLEET,
    PLATFORM,
    POOL_A,
    POOL_B,
    STANDBY,
    Faults,
    Machine,
)

ZONES = ("z1", "z2", "z3")
LOSS_NODES = tuple((f"node-{zone}-{n}", zone) for n in (1, 2) for zone in ZONES)
WARM_UP_SECONDS = 2.5
LOSS_AT_SECONDS = (6.5, 8.5)
LOSS_SECONDS = (4.0, 17.0)
SERIES_INTERVAL_SECONDS = 7.0
DISTURBED_SECONDS = 26.0
SETTLE_SECONDS = 6.0
OTHER_FAULTS_SECONDS = (-6.0, 10.0)
NEAR_THE_END_SECONDS = (-2.0, 0.2)
MAX_OTHER_FAULTS = 3
DIRECTIONS = ("both", "both", "to", "from")
CUT_SECONDS = (0.5, 1.5, 3.0, 6.0, 12.0)
DOWN_SECONDS = (0.05, 0.2, 0.7, 2.0)


def build_layout(seed: int) -> tuple[tuple[str, str], ...]:
    """Return the data centre and pool of each machine."""
    rng = random.Random(seed)
    count = rng.choice((3, 3, 4))
    layout = [(zone, POOL_A) for zone in ZONES for _ in range(count)]
    if rng.random() < 0.2:
        layout += [(zone, POOL_B) for zone in ZONES]
    if rng.random() < 0.2:
        layout += [(zone, STANDBY) for zone in rng.sample(ZONES, k=2)]
    return tuple(layout)


class OwnerLossWalk(TwiceWalk):
    """Run one walk; with even seeds all cuts spare the fleet service."""

    nodes: ClassVar[tuple[tuple[str, str], ...]] = LOSS_NODES
    settle_seconds: ClassVar[float] = SETTLE_SECONDS

    def __init__(self, seed: int, faults: Faults = ALLOWED) -> None:
        super().__init__(seed, faults, build_layout(seed))
        rng, world = self._rng, self.world
        world.writes_birth_times = True
        world.cuts_reach_fleet = bool(seed % 2)
        world.late_calls_survive = False
        world.keeps_bytes = rng.random() < 0.6
        self._loss_seconds = rng.uniform(*LOSS_SECONDS)
        self._jobs_a_second = rng.choice((1.5, 2.5, 4.0))
        self._task_cpu = rng.choice(((1000, 2000, 4000), (4000,), (2000, 4000, 8000)))
        self._error_rate = rng.choice((0.0, 0.0, 0.005, 0.03))

    async def _async_disturb(self) -> None:
        world, rng = self.world, self._rng
        for machine in world.machines.values():
            machine.error_rate = self._error_rate
        await self._async_advance(WARM_UP_SECONDS)
        started_at = world.now
        self._submit_steadily(started_at + DISTURBED_SECONDS)
        loss_at = started_at + rng.uniform(*LOSS_AT_SECONDS)
        plan: list[tuple[float, Callable[[], None]]] = [(loss_at, self._lose_owner)]
        if rng.random() < 0.15:
            plan += [
                (loss_at + number * SERIES_INTERVAL_SECONDS, self._lose_owner)
                for number in (1, 2)
            ]
        events = self._events()
        for _ in range(rng.randint(0, MAX_OTHER_FAULTS)):
            at = loss_at + rng.uniform(*OTHER_FAULTS_SECONDS)
            if rng.random() < 0.25:
                at = loss_at + self._loss_seconds + rng.uniform(*NEAR_THE_END_SECONDS)
            plan.append((at, rng.choice(events)))
        for at, event in sorted(plan, key=lambda planned: planned[0]):
            await self._async_advance(at - world.now)
            if world.violations:
                return
            event()
        await self._async_advance(started_at + DISTURBED_SECONDS - world.now)

    def _events(self) -> list[Callable[[], None]]:
        return [
            *[self._restart_workers] * 6,
            *[self._crash_workers] * 2,
            *[self._cut_workers] * 4,
            *[self._disturb_workers] * 4,
            *[self._disturb_store] * 2,
            *[self._disturb_fleet] * 1,
            *[self._cut_data_centre] * 3,
            *[self._pause_entries] * 2,
            self._slow_store,
        ]

    # Load.

    def _submit_steadily(self, until: float) -> None:
        if self.world.now < until and not self.world.violations:
            self._submit()
            pause = self._rng.expovariate(self._jobs_a_second)
            self.world.later(pause, lambda: self._submit_steadily(until))

    def _submit(self) -> None:
        """Submit a job of one to three steps of short tasks."""
        rng, world = self._rng, self.world
        name = f"{len(self._jobs) + 1:016x}"
        self._jobs.append(name)
        steps = []
        for number in range(rng.choice((1, 1, 1, 2, 3))):
            after = [rng.randrange(number)] if number and rng.random() < 0.8 else []
            steps.append(self._build_step(f"{name}.{number}", after))
        has_b = any(machine.pool == POOL_B for machine in world.machines.values())
        prefix, pool = ("b", POOL_B) if has_b and rng.random() < 0.2 else ("a", POOL_A)
        record = a_job(
            *steps,
            job=name,
            queue=f"host /{prefix}/",
            service=pool,
            accepted_at=world.now,
        ).record
        world.store.append(TOPIC, [(PREFIX_JOB + name, encode(record))])

    def _build_step(self, workload: str, after: list[int]) -> SubmittedStep:
        rng = self._rng
        seconds = rng.uniform(0.05, 2.0) if rng.random() < 0.6 else 0.1
        room = Room(rng.choice(self._task_cpu), 100)
        self.world.workloads[workload] = Workload(room, seconds)
        return a_step(
            count=rng.randint(1, 8),
            cpu=room.cpu,
            mem_mb=room.mem_mb,
            estimate_ms=1000 * seconds * rng.choice((0.3, 1.0, 1.0, 3.0)),
            after=after,
        )

    # What becomes of the owner.

    def _lose_owner(self) -> None:
        owner = self._owner()
        lose = self._rng.choice(
            (
                self._cut_data_centre_of,
                self._cut_data_centre_of,
                self._pause,
                self._cut_alone,
            )
        )
        lose(owner, self._loss_seconds)

    def _cut_data_centre_of(self, entry: Entry, seconds: float) -> None:
        self._cut_off(entry.zone, seconds)

    def _pause(self, entry: Entry, seconds: float) -> None:
        suspended = self._rng.random() < 0.3
        at_send = self._rng.random() < 0.5
        self.world.note(
            f"{entry.node} pauses for {seconds:.1f} s {suspended=} {at_send=}"
        )
        if at_send:
            entry.process.freeze_at_send = (seconds, suspended)
        else:
            entry.process.freeze(seconds, suspended)

    def _cut_alone(self, entry: Entry, seconds: float) -> None:
        world = self.world
        others = [PLATFORM, *(node for node, _ in self.nodes if node != entry.node)]
        if self._rng.random() < 0.5:
            others += list(world.machines)
        direction = self._rng.choice(DIRECTIONS)
        world.note(f"{entry.node} is cut off, {direction} {others}, {seconds:.1f} s")
        for other in others:
            self._cut_link(entry.node, other, seconds, direction)

    def _pause_entries(self) -> None:
        for node in self._rng.sample(sorted(self._entries), k=self._rng.randint(2, 5)):
            seconds = self._rng.uniform(1.0, 1.5)
            self.world.note(f"{node} pauses for {seconds:.1f} s")
            self._entries[node].process.freeze(seconds)

    # What becomes of data centres and links.

    def _cut_data_centre(self) -> None:
        """Cut off any data centre."""
        seconds = self._rng.choice(CUT_SECONDS)
        self._cut_off(self._rng.choice(ZONES), seconds)

    def _cut_off(self, zone: str, seconds: float) -> None:
        """Cut a data centre off from all others and the platform."""
        world, rng = self.world, self._rng
        direction = rng.choice(DIRECTIONS)
        ends_at_once = rng.random() < 0.5
        world.note(f"{zone} is cut off, {direction=} {seconds:.1f} s {ends_at_once=}")
        places = {m.name: m.zone for m in world.machines.values()} | dict(self.nodes)
        inside = sorted(place for place in places if places[place] == zone)
        outside = sorted(place for place in places if places[place] != zone)
        for one in inside:
            for other in (PLATFORM, *outside):
                lasts = seconds if ends_at_once else seconds * rng.uniform(0.7, 1.0)
                self._cut_link(one, other, lasts, direction)

    def _cut_link(self, one: str, other: str, seconds: float, direction: str) -> None:
        if other == PLATFORM and self.world.cuts_reach_fleet:
            self._cut_link(one, FLEET, seconds, direction)
        if direction in ("both", "from"):
            self.world.cut_one_way(one, other, seconds)
        if direction in ("both", "to"):
            self.world.cut_one_way(other, one, seconds)

    # What becomes of workers.

    def _some_live(self) -> list[Machine]:
        live = self.world.live()
        if self._rng.random() < 0.5:
            zone = self._rng.choice(ZONES)
            live = [machine for machine in live if machine.zone == zone] or live
        return self._rng.sample(live, k=min(len(live), self._rng.randint(1, 5)))

    def _restart_workers(self) -> None:
        """Restart workers under their ids, one after the other."""
        for machine in self._some_live():
            delay = self._rng.uniform(0.0, 2.0)
            self.world.later(delay, partial(self._restart, machine))

    def _restart(self, machine: Machine) -> None:
        if machine.worker is not None:
            self._restart_under_id(machine, self._rng.choice(DOWN_SECONDS))

    def _restart_under_id(self, machine: Machine, seconds: float) -> None:
        """Start a worker again under its id after some seconds."""
        worker = machine.worker
        assert worker is not None
        self.world.take_down(machine, "down", float("inf"))

        def boot() -> None:
            machine.state = "up"
            self.world.boot(machine, worker.id)
            self.world.count("same-id")

        self.world.later(seconds, boot)

    def _crash_workers(self) -> None:
        for machine in self._some_live():
            self.world.take_down(machine, "down", self._rng.choice(DOWN_SECONDS))

    def _cut_workers(self) -> None:
        """Cut workers off from the platform, the owner, the entries or all."""
        owner = self._owner().node
        nodes = [node for node, _ in self.nodes]
        others = self._rng.choice(([PLATFORM], [owner], nodes, [PLATFORM, *nodes]))
        seconds = self._rng.choice(CUT_SECONDS)
        direction = self._rng.choice(DIRECTIONS)
        for machine in self._some_live():
            self._cut_worker(machine, others, seconds, direction)

    def _cut_worker(
        self, machine: Machine, others: list[str], seconds: float, direction: str
    ) -> None:
        self.world.note(f"{machine.name} is cut off, {direction} {others}, {seconds} s")
        for other in others:
            self._cut_link(machine.name, other, seconds, direction)

    def _disturb_workers(self) -> None:
        """Let calls to workers fail in one way for a while."""
        outcome = self._rng.choice(("lost", "answer-lost", "late", "slow", "refused"))
        seconds = self._rng.choice((1.0, 3.0, 6.0, 9.0))
        for machine in self._some_live():
            machine.broken_until = self.world.now + seconds
            machine.broken_outcome = outcome
            self.world.note(f"all calls to {machine.name} for {seconds} s: {outcome}")


def find_violations(seed: int) -> list[str]:
    """Return the violations of one walk."""
    return OwnerLossWalk(seed).walk()


if __name__ == "__main__":
    main(OwnerLossWalk)
