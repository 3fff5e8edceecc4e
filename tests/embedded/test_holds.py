"""Test that entries that start anew hold no worker back for what is over."""

from __future__ import annotations

import anyio
import pytest

from mustardward.embedded.estate import async_run_estate_fleet, async_until
from mustardward.platform.models import SubmittedStep
from mustardward.standin.estate.estate import EstatePlan

pytestmark = pytest.mark.anyio

POOL = "pool-a"
PREFIX = f"/{POOL}/"
MOST_SECONDS = 40.0
PATIENCE_SECONDS = 15.0
PLAN = EstatePlan(pools=(POOL,), instances=2, standby=0)


async def test_a_job_runs_though_one_was_cancelled_while_there_was_no_owner() -> None:
    """A job of a pool with nothing to do waits as long as the pool is left so."""
    with anyio.fail_after(MOST_SECONDS):
        async with async_run_estate_fleet(PLAN, entries=2) as fleet:
            whole = SubmittedStep(
                count=2, cpu=8000, mem_mb=10, estimate_ms=150, long_running=True
            )
            cancelled = await fleet.async_submit(PREFIX, [whole])
            await fleet.async_wait_state(cancelled, "running")
            workers = fleet.estate.workers.values()
            await async_until(lambda: all(len(w.runs) == 1 for w in workers))
            owner = fleet.owner()
            assert owner is not None
            owner.kill()
            await fleet.async_cancel(cancelled)
            await fleet.async_wait_state(cancelled, "cancelled")
            await async_until(lambda: fleet.owner() is not None)
            await async_until(lambda: not any(w.runs for w in workers))
            short = SubmittedStep(count=6, cpu=1000, mem_mb=10, estimate_ms=150)
            waiting = await fleet.async_submit(PREFIX, [short])
            state = ""
            with anyio.move_on_after(PATIENCE_SECONDS):
                await fleet.async_wait_state(waiting, "done")
                state = "done"
        assert state == "done"
