"""Test the limit on concurrent polls of unconfirmed workers."""

from __future__ import annotations

import anyio
import anyio.lowlevel
import pytest

from mustardward.components.dispatch.contact_limiter import ContactLimiter

pytestmark = pytest.mark.anyio

WORKERS = 3000
LIMIT = 64


async def test_new_owner_polls_all_workers_with_limited_concurrency() -> None:
    """Guard against an owner of 3,000 workers that starts no task.

    It polls all of them at once. Opening the connections takes longer than the timeout
    of a poll, so that each worker counts as unresponsive and is polled again together
    with all others.
    """
    limiter = ContactLimiter(LIMIT)
    in_progress = 0
    peak = 0
    polled = 0

    async def async_poll() -> None:
        nonlocal in_progress, peak, polled
        async with limiter.async_slot(needed=True):
            in_progress += 1
            peak = max(peak, in_progress)
            await anyio.lowlevel.checkpoint()
            in_progress -= 1
            polled += 1

    async with anyio.create_task_group() as tasks:
        for _ in range(WORKERS):
            tasks.start_soon(async_poll)
    assert (polled, peak) == (WORKERS, LIMIT)


async def test_confirmed_worker_needs_no_slot() -> None:
    limiter = ContactLimiter(1)
    async with limiter.async_slot(needed=True):
        with anyio.fail_after(1.0):
            async with limiter.async_slot(needed=False):
                pass


async def test_cancelled_session_frees_its_slot() -> None:
    limiter = ContactLimiter(1)
    async with anyio.create_task_group() as tasks:

        async def async_hang() -> None:
            async with limiter.async_slot(needed=True):
                await anyio.sleep_forever()

        tasks.start_soon(async_hang)
        await anyio.wait_all_tasks_blocked()
        tasks.cancel_scope.cancel()
    with anyio.fail_after(1.0):
        async with limiter.async_slot(needed=True):
            pass
