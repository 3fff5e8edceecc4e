"""Test that an owner plans no more starts than it can send in time."""

from __future__ import annotations

from collections import deque

import pytest

from mustardward.components.dispatch.const import START_MAX_AGE_SECONDS
from mustardward.components.dispatch.start_window import StartWindow
from mustardward.components.scheduling.commands import Start
from mustardward.components.scheduling.models import QueuePolicy
from mustardward.platform.models import Room

from ..scheduling.builders import SchedulerBench, a_job, a_step

WORKERS = 60
JOBS = 60
TASKS = 40
TICK_SECONDS = 0.01


class PacedOwner:
    """Plan starts and send a limited number of them per tick.

    :param starts_per_tick: starts that are sent in a tick.
    """

    def __init__(self, starts_per_tick: int) -> None:
        self.harness = SchedulerBench()
        self.window = StartWindow()
        self.planned = 0
        self.sent = 0
        self.seconds = 0.0
        self._starts_per_tick = starts_per_tick
        self._waiting: deque[tuple[float, Start]] = deque()
        for number in range(WORKERS):
            self.harness.worker(f"w{number:02d}", capacity=Room(64000, 64000))
        for number in range(JOBS):
            self.harness.add(a_job(a_step(count=TASKS, cpu=100), job=f"{number:016x}"))

    def tick(self) -> None:
        """Plan once and send as many starts as fit into a tick."""
        harness = self.harness
        available = self.window.available(len(self._waiting))
        commands = harness.scheduler.plan(harness.now, harness.now, available)
        for start in commands:
            if isinstance(start, Start):
                self.planned += 1
                self._waiting.append((harness.now, start))
        remaining = self._starts_per_tick
        while remaining and self._waiting:
            planned_at, start = self._waiting.popleft()
            if harness.now - planned_at > START_MAX_AGE_SECONDS:
                self.window.record_withdrawn(harness.now)
                harness.scheduler.reports.start_withdrawn(
                    start.task, start.run, harness.now
                )
                continue
            harness.accept(start)
            self.sent += 1
            remaining -= 1
        harness.now += TICK_SECONDS
        self.seconds += TICK_SECONDS

    def run(self) -> None:
        """Run until all tasks are started."""
        while self.sent < JOBS * TASKS:
            self.tick()


@pytest.mark.parametrize("starts_per_tick", [1, 2, 5])
def test_slow_owner_plans_few_starts_in_vain(starts_per_tick: int) -> None:
    """Guard against an owner short of processor time that falls further behind.

    Of 2,400 simultaneous tasks, 100 to 500 can be started per second. If the planner
    does not know this limit, it plans all of them, most starts are withdrawn half a
    second later, and these are planned again.
    """
    owner = PacedOwner(starts_per_tick)
    owner.run()
    assert owner.planned < 1.5 * JOBS * TASKS
    assert owner.seconds < 1.05 * JOBS * TASKS * TICK_SECONDS / starts_per_tick


def test_fast_owner_is_not_limited() -> None:
    owner = PacedOwner(starts_per_tick=40)
    owner.run()
    assert owner.planned == JOBS * TASKS
    assert owner.seconds < 1.1 * JOBS * TASKS * TICK_SECONDS / 40


def test_pools_alternate_when_few_starts_may_be_planned() -> None:
    harness = SchedulerBench()
    for pool in ("pool-a", "pool-b"):
        harness.worker(f"{pool}-1", service=pool)
    for number, pool in enumerate(("pool-a", "pool-b")):
        harness.policy = QueuePolicy(service=pool, target_seconds=1.0)
        harness.add(a_job(a_step(count=4, cpu=100), job=f"{number:016x}"))
    started = set()
    for _ in range(2):
        for command in harness.scheduler.plan(harness.now, harness.now, 1):
            assert isinstance(command, Start)
            harness.accept(command)
            started.add(command.worker)
    assert started == {"pool-a-1", "pool-b-1"}
