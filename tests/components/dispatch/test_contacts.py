"""Test that workers that are not heard of are asked a few at a time."""

from __future__ import annotations

import anyio
import anyio.lowlevel
import pytest

from mustardward.components.dispatch.contacts import ContactLimiter

pytestmark = pytest.mark.anyio

WORKERS = 3000
MOST = 64


async def test_a_new_owner_asks_some_workers_at_once_and_all_in_the_end() -> None:
    """Symptom: an owner of 3,000 workers starts nothing, on none of them.

    Sequence: it asks all of them at once what they run; opening the connections takes
    it longer than a worker has for its answer, so that each counts as silent and is
    asked again with all others. Cause: nothing bounded the calls that waited for each
    other.
    """
    contacts = ContactLimiter(MOST)
    under_way = 0
    peak = 0
    asked = 0

    async def async_ask() -> None:
        nonlocal under_way, peak, asked
        async with contacts.async_slot(needed=True):
            under_way += 1
            peak = max(peak, under_way)
            await anyio.lowlevel.checkpoint()
            under_way -= 1
            asked += 1

    async with anyio.create_task_group() as tasks:
        for _ in range(WORKERS):
            tasks.start_soon(async_ask)
    assert (asked, peak) == (WORKERS, MOST)


async def test_workers_that_answer_wait_for_none_that_does_not() -> None:
    contacts = ContactLimiter(1)
    async with contacts.async_slot(needed=True):
        with anyio.fail_after(1.0):
            async with contacts.async_slot(needed=False):
                pass


async def test_a_session_that_ends_leaves_its_place() -> None:
    contacts = ContactLimiter(1)
    async with anyio.create_task_group() as tasks:

        async def async_hang() -> None:
            async with contacts.async_slot(needed=True):
                await anyio.sleep_forever()

        tasks.start_soon(async_hang)
        await anyio.wait_all_tasks_blocked()
        tasks.cancel_scope.cancel()
    with anyio.fail_after(1.0):
        async with contacts.async_slot(needed=True):
            pass
