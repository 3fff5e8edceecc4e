"""Replay a load of jobs on a store that is many times slower than usual."""

from __future__ import annotations

import anyio
import pytest

from .slow_store import CALLER_SECONDS, Answer, World, run_virtual

SLOW_SECONDS = 5.4
JOBS_PER_SECOND = 40.0
PHASES = [0.0, 0.13, 0.26, 0.37]


def replay(slowness: float, phase: float = 0.0) -> tuple[list[Answer], World]:
    """Return what became of the jobs submitted while the store was slow.

    :param phase: when the store becomes slow, relative to the entries' reads.
    """
    worlds: list[World] = []

    async def async_main() -> None:
        async with anyio.create_task_group() as tasks:
            world = World(tasks)
            worlds.append(world)
            tasks.start_soon(world.async_renew)
            await anyio.sleep(3.0 + phase)
            world.partition.slowness = slowness
            await world.async_submit_for(SLOW_SECONDS, JOBS_PER_SECOND)
            world.partition.slowness = 1.0
            await anyio.sleep(4.0)
            tasks.cancel_scope.cancel()

    run_virtual(async_main)
    answers = worlds[0].answers()
    assert len(answers) == round(SLOW_SECONDS * JOBS_PER_SECOND)
    return answers, worlds[0]


@pytest.mark.parametrize("phase", PHASES)
def test_jobs_are_stored_in_time_on_a_store_94_times_slower(phase: float) -> None:
    """Guard against callers that wait in vain while retries fill the partition.

    Each of 42 entries appends its own callers' jobs, retries appends that are merely
    late, and sends them to peers too.
    """
    answers, world = replay(94.0, phase)
    in_time = [a for a in answers if a.status == 200 and (a.stored or 0.0) <= 1.5]
    assert len(in_time) >= 0.9 * len(answers)
    assert max(answer.waited for answer in answers) < CALLER_SECONDS - 0.5
    assert max(world.partition.intervals) <= 1.2


@pytest.mark.parametrize("phase", PHASES)
def test_jobs_are_stored_or_refused_early_on_a_store_200_times_slower(
    phase: float,
) -> None:
    """Guard against jobs that are stored when their callers have given up."""
    for answer in replay(200.0, phase)[0]:
        stored = answer.stored is not None and answer.stored <= CALLER_SECONDS
        assert stored or (answer.status == 503 and answer.waited <= 0.1), answer


@pytest.mark.parametrize("slowness", [20.0, 24.0])
def test_jobs_are_stored_on_a_store_that_is_a_little_slow(slowness: float) -> None:
    """Guard against a slow store that counts as fast, and whose partition is full."""
    answers, world = replay(slowness)
    assert {answer.status for answer in answers} == {200}
    assert max(world.partition.intervals) <= 1.2


def test_callers_get_an_outcome_on_a_store_200_times_slower() -> None:
    """Guard against callers that wait for their full time and learn nothing.

    Their jobs are stored in time, but the store's response arrives after it.
    """
    for answer in replay(200.0)[0]:
        assert answer.status in (200, 503), answer


def test_refused_jobs_are_never_stored() -> None:
    for slowness in (94.0, 200.0):
        for answer in replay(slowness)[0]:
            assert answer.status != 503 or answer.stored is None
