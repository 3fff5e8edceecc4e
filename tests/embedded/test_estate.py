"""Run entries against the stand-in of the users' platform, over real connections."""

from __future__ import annotations

import time
from collections import Counter

import anyio
import pytest

from mustardward.embedded.estate import EstateFleet, async_run_estate_fleet, async_until
from mustardward.platform.models import SubmittedStep
from mustardward.standin.estate.estate import EstatePlan
from mustardward.standin.estate.store import StoreMode

pytestmark = pytest.mark.anyio

PREFIX = "/pool-a/"
PLAN = EstatePlan()
MOST_SECONDS = 40.0
SEEN_SECONDS = 0.5
"""Until an entry of a worker was surely read."""


def two_steps() -> list[SubmittedStep]:
    """Return three short tasks and, after them, two more."""
    first = SubmittedStep(count=3, cpu=1000, mem_mb=10, estimate_ms=150)
    second = SubmittedStep(count=2, cpu=1000, mem_mb=10, estimate_ms=150, after=[0])
    return [first, second]


def lasting() -> list[SubmittedStep]:
    """Return two tasks that last, one of which may be missing."""
    step = SubmittedStep(
        count=2, cpu=1000, mem_mb=10, estimate_ms=150, long_running=True, may_miss=1
    )
    return [step]


def starts_of(fleet: EstateFleet) -> Counter[str]:
    """Return how often each task was started on the workers that live."""
    return Counter(
        task for worker in fleet.estate.workers.values() for task, _ in worker.starts
    )


def maintained(fleet: EstateFleet) -> list[str]:
    """Return the instances whose maintenance was ordered."""
    return [machine for kind, machine, _ in fleet.estate.orders if kind == "maintain"]


async def test_a_job_runs_each_task_once_and_is_told_as_done() -> None:
    with anyio.fail_after(MOST_SECONDS):
        async with async_run_estate_fleet(PLAN, entries=2) as fleet:
            path = await fleet.async_submit(PREFIX, two_steps())
            await fleet.async_wait_state(path, "done")
            starts = starts_of(fleet)
            assert len(starts) == 5
            assert set(starts.values()) == {1}


async def test_a_job_that_always_fails_is_told_as_failed() -> None:
    with anyio.fail_after(MOST_SECONDS):
        async with async_run_estate_fleet(PLAN, entries=1) as fleet:
            step = SubmittedStep(count=1, cpu=1000, mem_mb=10, estimate_ms=50)
            path = await fleet.async_submit(PREFIX, [step], spec="fails")
            await fleet.async_wait_state(path, "failed")
            assert set(starts_of(fleet).values()) == {3}


async def test_a_job_that_crashes_its_workers_is_told_as_failed() -> None:
    """Guards against tasks that are started anew however many workers they crash."""
    with anyio.fail_after(MOST_SECONDS):
        async with async_run_estate_fleet(PLAN, entries=1) as fleet:
            step = SubmittedStep(count=2, cpu=1000, mem_mb=10, estimate_ms=50)
            path = await fleet.async_submit(PREFIX, [step], spec="crashes")
            await fleet.async_wait_state(path, "failed")
            assert len(fleet.estate.crashed) <= 3
            beside = await fleet.async_submit(PREFIX, two_steps())
            await fleet.async_wait_state(beside, "done")


async def test_workers_that_have_shrunk_are_not_filled_beyond_their_room() -> None:
    """Guards against starts that bring a worker that guards nothing over its room."""
    with anyio.fail_after(MOST_SECONDS):
        async with async_run_estate_fleet(
            EstatePlan(enforce_capacity=False), 1
        ) as fleet:
            workers = fleet.estate.workers
            for name in [name for name, w in workers.items() if w.pool == "pool-a"]:
                fleet.estate.resize(name, cores=2)
            await anyio.sleep(SEEN_SECONDS)
            step = SubmittedStep(count=6, cpu=1000, mem_mb=10, estimate_ms=300)
            paths = [await fleet.async_submit(PREFIX, [step]) for _ in range(3)]
            for path in paths:
                await fleet.async_wait_state(path, "done")
            assert [worker.overcommitted_starts for worker in workers.values()] == [
                0
            ] * len(workers)


async def test_a_cancelled_job_ends_on_its_workers() -> None:
    with anyio.fail_after(MOST_SECONDS):
        async with async_run_estate_fleet(PLAN, entries=2) as fleet:
            path = await fleet.async_submit(PREFIX, lasting())
            await fleet.async_wait_state(path, "running")
            await fleet.async_cancel(path)
            await fleet.async_wait_state(path, "cancelled")
            workers = fleet.estate.workers
            await async_until(lambda: not any(w.runs for w in workers.values()))


async def test_another_entry_goes_on_when_the_owner_loses_power() -> None:
    """What the lost owner had started is adopted, not started again."""
    with anyio.fail_after(MOST_SECONDS):
        async with async_run_estate_fleet(PLAN, entries=3) as fleet:
            path = await fleet.async_submit(PREFIX, lasting())
            await fleet.async_wait_state(path, "running")
            before = starts_of(fleet)
            owner = fleet.owner()
            assert owner is not None
            owner.kill()
            done = await fleet.async_submit(PREFIX, two_steps())
            await fleet.async_wait_state(done, "done")
            after = starts_of(fleet)
            assert all(after[task] == count for task, count in before.items())
            assert fleet.owner() is not owner


async def test_jobs_are_answered_while_the_store_refuses_for_a_while() -> None:
    with anyio.fail_after(MOST_SECONDS):
        async with async_run_estate_fleet(PLAN, entries=2) as fleet:
            fleet.estate.store.mode = StoreMode.REFUSING
            async with anyio.create_task_group() as tasks:

                async def async_return() -> None:
                    await anyio.sleep(1.0)
                    fleet.estate.store.mode = StoreMode.SERVING

                tasks.start_soon(async_return)
                path = await fleet.async_submit(PREFIX, two_steps())
            await fleet.async_wait_state(path, "done")
            assert set(starts_of(fleet).values()) == {1}


async def test_a_wave_maintains_each_instance_without_a_lasting_task_lost() -> None:
    with anyio.fail_after(MOST_SECONDS):
        async with async_run_estate_fleet(PLAN, entries=2) as fleet:
            path = await fleet.async_submit(PREFIX, lasting())
            await fleet.async_wait_state(path, "running")
            machines = [i.machine for i in fleet.estate.list_instances()]
            fleet.estate.publish_wave(1, machines, max_count=2)
            await async_until(lambda: len(maintained(fleet)) >= len(machines))
            assert sorted(maintained(fleet)) == machines
            await fleet.async_wait_state(path, "running")


async def test_work_goes_on_beside_records_of_another_writer() -> None:
    """Serve callers beside records that no worker wrote.

    Symptom: the owner ends, or nobody follows the workers any more. Sequence: records
    of another writer stand between the workers' own, and in the place of one of them.
    Cause: one of them ends the reading of all.
    """
    with anyio.fail_after(MOST_SECONDS):
        async with async_run_estate_fleet(PLAN, entries=1) as fleet:
            barred = min(fleet.estate.workers)
            fleet.estate.write_foreign_records(seed=3, worker=barred)
            path = await fleet.async_submit(PREFIX, two_steps())
            await fleet.async_wait_state(path, "done")
            fleet.estate.write_foreign_records(seed=4, worker=barred)
            path = await fleet.async_submit(PREFIX, two_steps())
            await fleet.async_wait_state(path, "done")
            assert set(starts_of(fleet).values()) == {1}


async def test_what_was_told_as_done_never_runs_again() -> None:
    """Keep a caller's word through the loss of all who knew it but the teller.

    Symptom: a job that was shown as done runs once more. Sequence: the store is away, a
    job ends and is told by an entry that does not own the shard; then the worker that
    ran it crashes and the owner loses power, before anything could be stored. Cause:
    the end was known to these two only.
    """
    with anyio.fail_after(MOST_SECONDS):
        async with async_run_estate_fleet(PLAN, entries=3) as fleet:
            path = await fleet.async_submit(PREFIX, two_steps())
            await async_until(lambda: len(starts_of(fleet)) >= 3)
            fleet.estate.store.mode = StoreMode.REFUSING
            owner = fleet.owner()
            assert owner is not None
            teller = next(node for node in fleet.alive() if node is not owner)
            await fleet.async_wait_state_at(teller, path, "done")
            before = starts_of(fleet)
            for worker in [w for w in fleet.estate.workers.values() if w.starts]:
                fleet.estate.crash(worker.id, time.monotonic())
            owner.kill()
            fleet.estate.store.mode = StoreMode.SERVING
            done = await fleet.async_submit(PREFIX, two_steps())
            await fleet.async_wait_state(done, "done")
            assert fleet.owner() is not owner
            assert await fleet.async_state(path) == "done"
            job = path.rpartition("/")[2]
            assert all(name.partition(".")[0] != job for name in starts_of(fleet))
            assert sum(before.values()) == 5


async def test_work_is_done_though_its_workers_start_again_under_their_ids() -> None:
    """Symptom: a job is never done; its worker forgot ends that nobody has read."""
    with anyio.fail_after(MOST_SECONDS):
        async with async_run_estate_fleet(PLAN, entries=2) as fleet:
            lasts = await fleet.async_submit(PREFIX, lasting())
            await fleet.async_wait_state(lasts, "running")
            paths = []
            for _ in range(3):
                paths.append(await fleet.async_submit(PREFIX, two_steps()))
                await anyio.sleep(0.1)
                for name, worker in list(fleet.estate.workers.items()):
                    if worker.pool == "pool-a":
                        fleet.estate.restart(name, time.monotonic())
            for path in paths:
                await fleet.async_wait_state(path, "done")
            workers = fleet.estate.workers
            await async_until(lambda: sum(len(w.runs) for w in workers.values()) == 2)
