"""Test how soon a new owner starts tasks while the store is slow."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import anyio
import pytest

from mustardward.components.ledger.const import PREFIX_JOB, TOPIC
from mustardward.components.ledger.ledger import encode
from mustardward.platform.models import Room
from mustardward.standin.estate.worker import Workload

from ..scheduling.builders import a_job, a_step
from .twice_process import ProcessLoop
from .twice_walk import TwiceWalk
from .twice_world import POOL_A, World

JOB_COUNT = 600
APPEND_SECONDS = 0.1
RESPONSE_SECONDS = 0.4
MAX_FIRST_START_SECONDS = 1.0


def submit(world: World, first: int, count: int) -> None:
    """Store accepted jobs of one task that takes 2 s on one core."""
    room = Room(1000, 100)
    for number in range(first, first + count):
        name = f"{number:016x}"
        step = a_step(count=1, cpu=room.cpu, mem_mb=room.mem_mb, estimate_ms=2000.0)
        world.workloads[f"{name}.0"] = Workload(room, 2.0, False)
        job = a_job(
            step,
            job=name,
            queue="host /a/",
            service=POOL_A,
            accepted_at=world.now,
        )
        world.store.append(TOPIC, [(PREFIX_JOB + name, encode(job.record))])


async def async_wait_until(is_reached: Callable[[], bool]) -> None:
    """Wait in virtual time until a condition holds, for at most 10 s."""
    for _ in range(2000):
        if is_reached():
            return
        await anyio.sleep(0.005)
    raise AssertionError("condition not reached")


async def async_first_start_delay(admitted: int) -> float:
    """Return the seconds from the read of a successor's claim to its first start.

    :param admitted: number of jobs that the previous owner has admitted; the others
        are accepted after it was lost.
    """
    walk = TwiceWalk(0)
    world = walk.world
    world.heal()
    ticker = asyncio.create_task(world.async_tick())
    walk._configure()
    for machine in world.machines.values():
        world.boot(machine)
    for number in range(2):
        walk._start_entry(number)
    await anyio.sleep(3.0)
    first, second = walk._entries.values()
    if not first.is_owner:
        first, second = second, first
    submit(world, 0, admitted)
    await anyio.sleep(2.0)
    first.process.kill()
    submit(world, admitted, JOB_COUNT - admitted)
    world.append_seconds = APPEND_SECONDS
    world.response_seconds = RESPONSE_SECONDS
    epoch = second.ledger.owner.epoch
    await async_wait_until(lambda: second.ledger.owner.epoch > epoch)
    read_at = world.now
    started = world.counts.get("started", 0)
    await async_wait_until(lambda: world.counts.get("started", 0) > started)
    seconds = world.now - read_at
    ticker.cancel()
    for entry in (first, second):
        await entry.async_end()
    return seconds


@pytest.mark.parametrize("admitted", [JOB_COUNT, JOB_COUNT // 2, 0])
def test_takeover_with_a_slow_store_starts_tasks_within_a_second(admitted: int) -> None:
    """Guard against callers that wait for a new owner that could start their tasks."""
    with asyncio.Runner(loop_factory=ProcessLoop) as runner:
        seconds = runner.run(async_first_start_delay(admitted))
    assert seconds < MAX_FIRST_START_SECONDS
