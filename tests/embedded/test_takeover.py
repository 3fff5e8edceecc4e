"""Test that a new owner reserves no worker for jobs that have ended."""

from __future__ import annotations

import anyio
import pytest

from mustardward.embedded.estate import async_run_estate_fleet, async_until
from mustardward.platform.models import SubmittedStep
from mustardward.standin.estate.estate import EstatePlan

pytestmark = pytest.mark.anyio

POOL = "pool-a"
PREFIX = f"/{POOL}/"
TEST_TIMEOUT_SECONDS = 40.0
JOB_TIMEOUT_SECONDS = 15.0
PLAN = EstatePlan(pools=(POOL,), instances=2, standby=0)


async def test_a_job_runs_after_another_was_cancelled_without_an_owner() -> None:
    """Guard against workers that stay reserved for a cancelled job.

    The job is cancelled after its owner was killed. If the new owner reserved the
    workers for its runs, a later job in the otherwise idle pool would wait forever.
    """
    with anyio.fail_after(TEST_TIMEOUT_SECONDS):
        async with async_run_estate_fleet(PLAN, entries=2) as fleet:
            full_worker_step = SubmittedStep(
                count=2, cpu=8000, mem_mb=10, estimate_ms=150, long_running=True
            )
            cancelled_path = await fleet.async_submit(PREFIX, [full_worker_step])
            await fleet.async_wait_state(cancelled_path, "running")
            workers = fleet.estate.workers.values()
            await async_until(lambda: all(len(w.runs) == 1 for w in workers))
            owner = fleet.owner()
            assert owner is not None
            owner.kill()
            await fleet.async_cancel(cancelled_path)
            await fleet.async_wait_state(cancelled_path, "cancelled")
            await async_until(lambda: fleet.owner() is not None)
            await async_until(lambda: not any(w.runs for w in workers))
            short_step = SubmittedStep(count=6, cpu=1000, mem_mb=10, estimate_ms=150)
            waiting_path = await fleet.async_submit(PREFIX, [short_step])
            state = ""
            with anyio.move_on_after(JOB_TIMEOUT_SECONDS):
                await fleet.async_wait_state(waiting_path, "done")
                state = "done"
        assert state == "done"
