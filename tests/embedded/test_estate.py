"""Test entries against the simulated platform over real connections."""

from __future__ import annotations

import time
from collections import Counter

import anyio
import msgspec
import pytest

from mustardward.components.ledger.const import PREFIX_NODE, TOPIC
from mustardward.components.ledger.models import NodeRecord
from mustardward.embedded.estate import EstateFleet, async_run_estate_fleet, async_until
from mustardward.platform.models import SubmittedStep
from mustardward.platform.store import TOPIC_WORKERS
from mustardward.standin.estate.estate import EstatePlan
from mustardward.standin.estate.store import StoreMode

from .odd_records import odd_records, odd_workers

pytestmark = pytest.mark.anyio

PREFIX = "/pool-a/"
PLAN = EstatePlan()
TEST_TIMEOUT_SECONDS = 40.0
OUTAGE_SECONDS = 1.0
STATE_QUERY_SECONDS = 0.05
ENTRY_READ_SECONDS = 0.5
"""Time within which the owner reads a changed worker entry."""


def two_steps() -> list[SubmittedStep]:
    """Return three short tasks and, after them, two more."""
    first = SubmittedStep(count=3, cpu=1000, mem_mb=10, estimate_ms=150)
    second = SubmittedStep(count=2, cpu=1000, mem_mb=10, estimate_ms=150, after=[0])
    return [first, second]


def long_running_steps() -> list[SubmittedStep]:
    """Return a step of two long-running tasks, one of which may be missing."""
    step = SubmittedStep(
        count=2, cpu=1000, mem_mb=10, estimate_ms=150, long_running=True, may_miss=1
    )
    return [step]


def count_starts(fleet: EstateFleet) -> Counter[str]:
    """Return the number of starts of each task on the running workers."""
    return Counter(
        task for worker in fleet.estate.workers.values() for task, _ in worker.starts
    )


def maintained_instances(fleet: EstateFleet) -> list[str]:
    """Return the instances whose maintenance was ordered."""
    return [machine for kind, machine, _ in fleet.estate.orders if kind == "maintain"]


async def test_a_job_runs_each_task_once_and_is_reported_as_done() -> None:
    with anyio.fail_after(TEST_TIMEOUT_SECONDS):
        async with async_run_estate_fleet(PLAN, entries=2) as fleet:
            path = await fleet.async_submit(PREFIX, two_steps())
            await fleet.async_wait_state(path, "done")
            starts = count_starts(fleet)
            assert len(starts) == 5
            assert set(starts.values()) == {1}


async def test_a_job_that_always_fails_is_reported_as_failed() -> None:
    with anyio.fail_after(TEST_TIMEOUT_SECONDS):
        async with async_run_estate_fleet(PLAN, entries=1) as fleet:
            step = SubmittedStep(count=1, cpu=1000, mem_mb=10, estimate_ms=50)
            path = await fleet.async_submit(PREFIX, [step], spec="fails")
            await fleet.async_wait_state(path, "failed")
            assert set(count_starts(fleet).values()) == {3}


async def test_a_job_that_crashes_its_workers_is_reported_as_failed() -> None:
    """Guard against unlimited restarts of a task that crashes its workers."""
    with anyio.fail_after(TEST_TIMEOUT_SECONDS):
        async with async_run_estate_fleet(PLAN, entries=1) as fleet:
            step = SubmittedStep(count=2, cpu=1000, mem_mb=10, estimate_ms=50)
            path = await fleet.async_submit(PREFIX, [step], spec="crashes")
            await fleet.async_wait_state(path, "failed")
            assert len(fleet.estate.crashed) <= 3
            other_path = await fleet.async_submit(PREFIX, two_steps())
            await fleet.async_wait_state(other_path, "done")


async def test_resized_workers_are_not_filled_beyond_their_capacity() -> None:
    """Guard against starts beyond the capacity of a worker that does not check it."""
    with anyio.fail_after(TEST_TIMEOUT_SECONDS):
        async with async_run_estate_fleet(
            EstatePlan(enforce_capacity=False), 1
        ) as fleet:
            workers = fleet.estate.workers
            for name in [name for name, w in workers.items() if w.pool == "pool-a"]:
                fleet.estate.resize(name, cores=2)
            await anyio.sleep(ENTRY_READ_SECONDS)
            step = SubmittedStep(count=6, cpu=1000, mem_mb=10, estimate_ms=300)
            paths = [await fleet.async_submit(PREFIX, [step]) for _ in range(3)]
            for path in paths:
                await fleet.async_wait_state(path, "done")
            assert [worker.overcommitted_starts for worker in workers.values()] == [
                0
            ] * len(workers)


async def test_a_cancelled_job_ends_on_its_workers() -> None:
    with anyio.fail_after(TEST_TIMEOUT_SECONDS):
        async with async_run_estate_fleet(PLAN, entries=2) as fleet:
            path = await fleet.async_submit(PREFIX, long_running_steps())
            await fleet.async_wait_state(path, "running")
            await fleet.async_cancel(path)
            await fleet.async_wait_state(path, "cancelled")
            workers = fleet.estate.workers
            await async_until(lambda: not any(w.runs for w in workers.values()))


async def test_another_entry_takes_over_when_the_owner_loses_power() -> None:
    """Guard against a second start of tasks that the previous owner had started."""
    with anyio.fail_after(TEST_TIMEOUT_SECONDS):
        async with async_run_estate_fleet(PLAN, entries=3) as fleet:
            path = await fleet.async_submit(PREFIX, long_running_steps())
            await fleet.async_wait_state(path, "running")
            before = count_starts(fleet)
            owner = fleet.owner()
            assert owner is not None
            owner.kill()
            done = await fleet.async_submit(PREFIX, two_steps())
            await fleet.async_wait_state(done, "done")
            after = count_starts(fleet)
            assert all(after[task] == count for task, count in before.items())
            assert fleet.owner() is not owner


async def test_jobs_are_accepted_after_a_temporary_store_outage() -> None:
    with anyio.fail_after(TEST_TIMEOUT_SECONDS):
        async with async_run_estate_fleet(PLAN, entries=2) as fleet:
            fleet.estate.store.mode = StoreMode.REFUSING
            async with anyio.create_task_group() as tasks:

                async def async_return() -> None:
                    await anyio.sleep(1.0)
                    fleet.estate.store.mode = StoreMode.SERVING

                tasks.start_soon(async_return)
                path = await fleet.async_submit(PREFIX, two_steps())
            await fleet.async_wait_state(path, "done")
            assert set(count_starts(fleet).values()) == {1}


async def test_a_wave_maintains_each_instance_without_losing_long_running_tasks() -> (
    None
):
    with anyio.fail_after(TEST_TIMEOUT_SECONDS):
        async with async_run_estate_fleet(PLAN, entries=2) as fleet:
            path = await fleet.async_submit(PREFIX, long_running_steps())
            await fleet.async_wait_state(path, "running")
            machines = [i.machine for i in fleet.estate.list_instances()]
            fleet.estate.publish_wave(1, machines, max_count=2)
            await async_until(lambda: len(maintained_instances(fleet)) >= len(machines))
            assert sorted(maintained_instances(fleet)) == machines
            await fleet.async_wait_state(path, "running")


async def test_jobs_complete_despite_records_of_another_writer() -> None:
    """Guard against invalid records that stop the owner or its log follower.

    Another writer appends invalid records among those of the workers, one of them
    under the key of a worker. The remaining records must still be read.
    """
    with anyio.fail_after(TEST_TIMEOUT_SECONDS):
        async with async_run_estate_fleet(PLAN, entries=1) as fleet:
            worker_id = min(fleet.estate.workers)
            fleet.estate.write_foreign_records(seed=3, worker=worker_id)
            path = await fleet.async_submit(PREFIX, two_steps())
            await fleet.async_wait_state(path, "done")
            fleet.estate.write_foreign_records(seed=4, worker=worker_id)
            path = await fleet.async_submit(PREFIX, two_steps())
            await fleet.async_wait_state(path, "done")
            assert set(count_starts(fleet).values()) == {1}


async def async_is_reported(fleet: EstateFleet, path: str, state: str) -> bool:
    """Return whether any entry reports a state of a job during a store outage."""
    until = time.monotonic() + OUTAGE_SECONDS
    while time.monotonic() < until:
        if await fleet.async_get_state(path) == state:
            return True
        await anyio.sleep(STATE_QUERY_SECONDS)
    return False


async def test_jobs_complete_when_all_entries_restart_among_odd_records() -> None:
    """Guard against entries that end on a record again and again, or lag behind it.

    Records of another writer stand in all topics: workers at addresses that can't be
    called, or where something else listens, and values that are out of range.
    """
    with anyio.fail_after(TEST_TIMEOUT_SECONDS):
        async with async_run_estate_fleet(PLAN, entries=2) as fleet:
            store = fleet.estate.store
            listeners = [node.url.removeprefix("http://") for node in fleet.nodes]
            peers = store.records_from(TOPIC, 0)
            listeners += [
                msgspec.msgpack.decode(record.value, type=NodeRecord).address
                for record in peers
                if record.key.startswith(PREFIX_NODE)
            ]
            store.append(TOPIC_WORKERS, odd_workers([fleet.estate.address, *listeners]))
            for topic, records in odd_records().items():
                store.append(topic, records)
            path = await fleet.async_submit(PREFIX, two_steps())
            await fleet.async_wait_state(path, "done")
            for node in fleet.alive_nodes():
                node.kill()
            for _ in range(2):
                await fleet.async_add_node()
            await fleet.async_wait_ready()
            path = await fleet.async_submit(PREFIX, two_steps())
            await fleet.async_wait_state(path, "done")
            assert set(count_starts(fleet).values()) == {1}
            await async_until(lambda: all(n.node.ready for n in fleet.alive_nodes()))


async def test_a_job_reported_as_done_never_runs_again() -> None:
    """Guard against a job that runs again after it was reported as done.

    While the store is unavailable, a job completes. Then the worker crashes and the
    owner is lost before the completion is stored, so that the log never gets it.
    """
    with anyio.fail_after(TEST_TIMEOUT_SECONDS):
        async with async_run_estate_fleet(PLAN, entries=3) as fleet:
            path = await fleet.async_submit(PREFIX, two_steps())
            await async_until(lambda: len(count_starts(fleet)) >= 3)
            fleet.estate.store.mode = StoreMode.REFUSING
            owner = fleet.owner()
            assert owner is not None
            await async_until(lambda: len(count_starts(fleet)) == 5)
            assert not await async_is_reported(fleet, path, "done")
            for worker in [w for w in fleet.estate.workers.values() if w.starts]:
                fleet.estate.crash(worker.id, time.monotonic())
            owner.kill()
            fleet.estate.store.mode = StoreMode.SERVING
            await fleet.async_wait_state(path, "done")
            assert fleet.owner() is not owner
            # From here on it was reported, whoever is lost.
            for worker in [w for w in fleet.estate.workers.values() if w.starts]:
                fleet.estate.crash(worker.id, time.monotonic())
            owner = fleet.owner()
            assert owner is not None
            owner.kill()
            done = await fleet.async_submit(PREFIX, two_steps())
            await fleet.async_wait_state(done, "done")
            assert fleet.owner() is not owner
            assert await fleet.async_get_state(path) == "done"
            job = path.rpartition("/")[2]
            assert all(name.partition(".")[0] != job for name in count_starts(fleet))


async def test_a_job_reported_as_done_survives_a_power_loss_of_all_entries() -> None:
    """Guard against a job that runs again after it was reported as done.

    A job completes while the store is unavailable. Then its workers crash, and all
    entries lose power at once and return together with the store.
    """
    with anyio.fail_after(TEST_TIMEOUT_SECONDS):
        async with async_run_estate_fleet(PLAN, entries=3) as fleet:
            path = await fleet.async_submit(PREFIX, two_steps())
            await async_until(lambda: len(count_starts(fleet)) >= 3)
            fleet.estate.store.mode = StoreMode.REFUSING
            await async_until(lambda: len(count_starts(fleet)) == 5)
            reported = await async_is_reported(fleet, path, "done")
            for worker in [w for w in fleet.estate.workers.values() if w.starts]:
                fleet.estate.crash(worker.id, time.monotonic())
            for node in fleet.alive_nodes():
                node.kill()
            fleet.estate.store.mode = StoreMode.SERVING
            for _ in range(3):
                await fleet.async_add_node()
            await fleet.async_wait_state(path, "done")
            starts = count_starts(fleet)
            assert not (reported and starts)
            await anyio.sleep(OUTAGE_SECONDS)
            assert await fleet.async_get_state(path) == "done"
            assert count_starts(fleet) == starts


async def test_jobs_complete_when_workers_restart_under_their_ids() -> None:
    """Guard against a job that never completes.

    A worker restarts under its id and loses ended runs that no owner has read.
    """
    with anyio.fail_after(TEST_TIMEOUT_SECONDS):
        async with async_run_estate_fleet(PLAN, entries=2) as fleet:
            long_running_path = await fleet.async_submit(PREFIX, long_running_steps())
            await fleet.async_wait_state(long_running_path, "running")
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
