"""Test that a large append does not block the appends queued after it."""

from __future__ import annotations

import anyio
import pytest

from mustardward.components.ledger.appender import GroupAppender, Outcome, Record
from mustardward.helpers.timer import DrivenTimerService
from mustardward.platform.boot import BootStore
from mustardward.platform.exceptions import CallRejectedError
from mustardward.platform.store import Producer

from .builders import async_appending

pytestmark = pytest.mark.anyio

RECORD_BYTES = 1000
RECORDS = 3 * BootStore("").request_bytes // RECORD_BYTES


class _LimitedStore:
    """Refuse calls that exceed the platform's request size."""

    def __init__(self) -> None:
        self.stored: list[str] = []

    async def async_append(self, records: list[Record], producer: Producer) -> int:
        if sum(len(value) for _, value in records) > BootStore("").request_bytes:
            raise CallRejectedError("status=413")
        self.stored.extend(key for key, _ in records)
        return len(self.stored)


async def test_records_beyond_the_request_size_are_split_over_several_calls() -> None:
    """Guard against an owner that can't store anything and loses its authority."""
    store = _LimitedStore()
    timers = DrivenTimerService()
    appender = GroupAppender(store.async_append, timers, "owner/s", epoch=1)
    records = [(f"p/{number}", b"x" * RECORD_BYTES) for number in range(RECORDS)]
    outcomes: list[Outcome] = []

    async def async_append() -> None:
        outcome = await appender.async_append(records, timers.monotonic() + 1e6)
        outcomes.append(outcome)

    async with async_appending(appender), anyio.create_task_group() as tasks:
        tasks.start_soon(async_append)
        for _ in range(20):
            await anyio.wait_all_tasks_blocked()
            await timers.async_advance(0.5)
        tasks.cancel_scope.cancel()
    assert outcomes == [Outcome.STORED]
    assert store.stored == [key for key, _ in records]
