"""Replay a load of jobs on a store that is many times slower than usual."""

from __future__ import annotations

import anyio

from .slow_store import CALLER_SECONDS, Answer, World, run_virtual

SLOW_SECONDS = 5.4


def replay(slowness: float) -> tuple[list[Answer], World]:
    """Return what became of the jobs submitted while the store was slow."""
    worlds: list[World] = []

    async def async_main() -> None:
        async with anyio.create_task_group() as tasks:
            world = World(tasks)
            worlds.append(world)
            tasks.start_soon(world.async_renew)
            await anyio.sleep(3.0)
            world.partition.slowness = slowness
            await world.async_submit_for(SLOW_SECONDS)
            world.partition.slowness = 1.0
            await anyio.sleep(4.0)
            tasks.cancel_scope.cancel()

    run_virtual(async_main)
    return worlds[0].answers(), worlds[0]


def test_jobs_are_stored_in_time_on_a_store_94_times_slower() -> None:
    """Guard against callers that wait in vain while retries fill the partition.

    Each of 42 entries appends its own callers' jobs, retries appends that are merely
    late, and sends them to peers too.
    """
    answers, world = replay(94.0)
    assert len(answers) == round(SLOW_SECONDS * 40)
    in_time = [a for a in answers if a.status == 200 and (a.stored or 0.0) <= 1.5]
    assert len(in_time) >= 0.9 * len(answers)
    assert max(answer.waited for answer in answers) < CALLER_SECONDS - 0.5
    assert max(world.partition.intervals) <= 1.2


def test_jobs_are_stored_or_refused_early_on_a_store_200_times_slower() -> None:
    """Guard against callers that wait for seconds for a job that can't be stored."""
    answers, _ = replay(200.0)
    assert len(answers) == round(SLOW_SECONDS * 40)
    for answer in answers:
        stored = answer.status == 200 and (answer.stored or 0.0) <= 3.0
        assert stored or (answer.status == 503 and answer.waited <= 0.1), answer
