"""Test that an owner decides on no more starts than it carries out in time."""

from __future__ import annotations

from collections import deque

import pytest

from mustardward.components.dispatch.const import START_MAX_AGE_SECONDS
from mustardward.components.dispatch.window import StartWindow
from mustardward.components.scheduling.commands import Start
from mustardward.components.scheduling.models import QueuePolicy
from mustardward.platform.models import Room

from ..scheduling.builders import SchedulerBench, a_job, a_step

WORKERS = 60
JOBS = 60
TASKS = 40
TICK_SECONDS = 0.01


class CarryingOwner:
    """Decide on starts, and let some of them leave in each tick.

    :param carried: starts that leave in a tick.
    """

    def __init__(self, carried: int) -> None:
        self.bench = SchedulerBench()
        self.window = StartWindow()
        self.decided = 0
        self.begun = 0
        self.seconds = 0.0
        self._carried = carried
        self._waiting: deque[tuple[float, Start]] = deque()
        for number in range(WORKERS):
            self.bench.worker(f"w{number:02d}", capacity=Room(64000, 64000))
        for number in range(JOBS):
            self.bench.add(a_job(a_step(count=TASKS, cpu=100), job=f"{number:016x}"))

    def tick(self) -> None:
        """Plan once, and carry out what there is time for."""
        bench = self.bench
        room = self.window.available(len(self._waiting))
        commands = bench.scheduler.plan(bench.now, bench.now, room)
        for start in commands:
            if isinstance(start, Start):
                self.decided += 1
                self._waiting.append((bench.now, start))
        left = self._carried
        while left and self._waiting:
            decided_at, start = self._waiting.popleft()
            if bench.now - decided_at > START_MAX_AGE_SECONDS:
                self.window.record_withdrawn(bench.now)
                bench.scheduler.reports.start_withdrawn(
                    start.task, start.run, bench.now
                )
                continue
            bench.accept(start)
            self.begun += 1
            left -= 1
        bench.now += TICK_SECONDS
        self.seconds += TICK_SECONDS

    def run(self) -> None:
        """Go on until all tasks have begun."""
        while self.begun < JOBS * TASKS:
            self.tick()


@pytest.mark.parametrize("carried", [1, 2, 5])
def test_a_slow_owner_decides_little_in_vain(carried: int) -> None:
    """Symptom: an owner short of processor time falls further and further behind.

    Load: 2,400 tasks at once, of which 100 to 500 can leave in a second. Sequence: all
    are decided on, most are withdrawn half a second later, and all of these decided on
    anew. Cause: nothing told the planner how much can be carried out.
    """
    owner = CarryingOwner(carried)
    owner.run()
    assert owner.decided < 1.5 * JOBS * TASKS
    assert owner.seconds < 1.05 * JOBS * TASKS * TICK_SECONDS / carried


def test_a_fast_owner_is_not_held_back() -> None:
    owner = CarryingOwner(carried=40)
    owner.run()
    assert owner.decided == JOBS * TASKS
    assert owner.seconds < 1.1 * JOBS * TASKS * TICK_SECONDS / 40


def test_each_pool_has_its_turn_where_few_starts_may_be_decided() -> None:
    bench = SchedulerBench()
    for pool in ("pool-a", "pool-b"):
        bench.worker(f"{pool}-1", service=pool)
    for number, pool in enumerate(("pool-a", "pool-b")):
        bench.policy = QueuePolicy(service=pool, target_seconds=1.0)
        bench.add(a_job(a_step(count=4, cpu=100), job=f"{number:016x}"))
    started = set()
    for _ in range(2):
        for command in bench.scheduler.plan(bench.now, bench.now, 1):
            assert isinstance(command, Start)
            bench.accept(command)
            started.add(command.worker)
    assert started == {"pool-a-1", "pool-b-1"}
