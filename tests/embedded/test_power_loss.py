"""Test losses of power against the simulated platform over real connections."""

from __future__ import annotations

import time

import anyio
import pytest

from mustardward.components.ledger.const import PREFIX_NODE, TOPIC
from mustardward.embedded.estate import async_run_estate_fleet, async_until
from mustardward.platform.models import SubmittedStep
from mustardward.standin.estate.estate import EstatePlan
from mustardward.standin.estate.store import MemoryStore, StoreMode

pytestmark = pytest.mark.anyio

PREFIX = "/pool-a/"
TEST_TIMEOUT_SECONDS = 40.0
APPEND_OUTAGE_SECONDS = 1.5
"""Longer than records are usually repeated that nobody waits for."""


async def test_a_job_ends_when_all_entries_lost_power_in_an_outage() -> None:
    """Guard against a job that no owner resumes after a common loss of power.

    One of its workers crashes for good while the store is away.
    """
    step = SubmittedStep(count=4, cpu=4000, mem_mb=10, estimate_ms=300)
    with anyio.fail_after(TEST_TIMEOUT_SECONDS):
        async with async_run_estate_fleet(EstatePlan(), entries=3) as fleet:
            path = await fleet.async_submit(PREFIX, [step])
            await fleet.async_wait_state(path, "running")
            fleet.estate.store.mode = StoreMode.REFUSING
            worker = next(w for w in fleet.estate.workers.values() if w.starts)
            fleet.estate.crash(worker.id, time.monotonic(), for_good=True)
            fleet.power_off()
            assert not fleet.alive_nodes()
            fleet.estate.store.mode = StoreMode.SERVING
            await fleet.async_power_on()
            await fleet.async_wait_ready()
            await fleet.async_wait_state(path, "done")
            assert worker.id not in fleet.estate.workers


async def test_jobs_are_accepted_after_one_topic_of_the_store_was_away() -> None:
    """Guard against entries that accept nothing once the log alone was away."""
    step = SubmittedStep(count=1, cpu=1000, mem_mb=10, estimate_ms=50)
    with anyio.fail_after(TEST_TIMEOUT_SECONDS):
        async with async_run_estate_fleet(EstatePlan(), entries=2) as fleet:
            modes = fleet.estate.store.topic_modes
            modes[TOPIC] = StoreMode.REFUSING
            await anyio.sleep(1.0)
            modes.clear()
            path = await fleet.async_submit(PREFIX, [step])
            await fleet.async_wait_state(path, "done")


async def test_address_of_an_entry_is_stored_after_an_outage() -> None:
    """Guard against an entry that no peer reaches until it restarts.

    The store refuses appends when the entry registers.
    """
    with anyio.fail_after(TEST_TIMEOUT_SECONDS):
        async with async_run_estate_fleet(EstatePlan(), entries=1) as fleet:
            store = fleet.estate.store
            (running,) = fleet.nodes
            key = PREFIX_NODE + running.name
            await async_until(lambda: key in stored_keys(store))
            end = store.append(TOPIC, [(key, b"")])
            store.topic_modes[TOPIC] = StoreMode.REFUSING
            running.node._ledger.nodes.clear()
            await running.node._async_register("127.0.0.1:1")
            await anyio.sleep(APPEND_OUTAGE_SECONDS)
            store.topic_modes.clear()
            await async_until(lambda: key in stored_keys(store, end))


def stored_keys(store: MemoryStore, offset: int = 0) -> list[str]:
    """Return the keys of the records of the log from an offset on."""
    return [record.key for record in store.records_from(TOPIC, offset)]
