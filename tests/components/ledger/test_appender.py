"""Test that appends report their true outcome and take effect once."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio
import pytest

from mustardward.components.ledger.appender import (
    MAX_APPEND_BYTES,
    AppendLimits,
    GroupAppender,
    Outcome,
    Record,
    encoded_size,
    split_records,
)
from mustardward.helpers.timer import DrivenTimerService
from mustardward.platform.store import Producer
from mustardward.standin.estate.store import MemoryStore, StoreMode
from tests.components.ledger.builders import async_appending

pytestmark = pytest.mark.anyio

TOPIC = "keyed.test"
TIMEOUT_SECONDS = 0.2


class _AppenderHarness:
    """An appender on a store that the test controls."""

    def __init__(self) -> None:
        self.store = MemoryStore()
        self.timers = DrivenTimerService()
        self.appender = GroupAppender(self._async_call, self.timers, "node/1", epoch=1)

    async def _async_call(
        self, records: list[tuple[str, bytes]], producer: Producer
    ) -> int:
        return await self.store.async_append(TOPIC, records, producer)

    async def async_append(self, key: str, seconds: float = TIMEOUT_SECONDS) -> Outcome:
        deadline = self.timers.monotonic() + seconds
        return await self.appender.async_append([(key, b"x")], deadline)

    async def async_advance(self, seconds: float) -> None:
        await anyio.wait_all_tasks_blocked()
        await self.timers.async_advance(seconds)
        await anyio.wait_all_tasks_blocked()


@asynccontextmanager
async def _running_harness() -> AsyncIterator[_AppenderHarness]:
    harness = _AppenderHarness()
    async with async_appending(harness.appender):
        yield harness


async def test_stored_append_is_reported_as_stored() -> None:
    async with _running_harness() as harness:
        assert await harness.async_append("a") is Outcome.STORED
        assert harness.store.topic_end(TOPIC) == 1


async def test_queued_records_are_appended_in_one_call() -> None:
    async with _running_harness() as harness:
        async with anyio.create_task_group() as tasks:
            for key in "abc":
                tasks.start_soon(harness.async_append, key)
        assert harness.store.appends == 1
        assert harness.store.topic_end(TOPIC) == 3


async def test_append_with_lost_answer_is_stored_once() -> None:
    """Guard against a job whose records are in the log twice.

    The store performs an append and its answer is lost; the retry must use the same
    sequence number.
    """
    async with _running_harness() as harness:
        harness.store.mode = StoreMode.LOSING_RESPONSES
        outcome = await harness.async_append("a", TIMEOUT_SECONDS)
        assert outcome is Outcome.UNKNOWN
        harness.store.mode = StoreMode.SERVING
        await harness.async_advance(1.0)
        assert harness.store.topic_end(TOPIC) == 1
        assert await harness.async_append("b") is Outcome.STORED
        assert harness.store.topic_end(TOPIC) == 2


async def test_append_that_may_be_stored_is_never_reported_as_not_stored() -> None:
    """Guard against a job that runs although its caller was refused.

    The first attempt is stored and its answer lost; the second one is refused because
    the store is busy, and the caller's deadline passes. The refusal says nothing about
    the first attempt.
    """
    async with _running_harness() as harness:
        harness.store.mode = StoreMode.LOSING_RESPONSES
        outcomes: list[Outcome] = []

        async def async_append() -> None:
            outcomes.append(await harness.async_append("a"))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(async_append)
            await anyio.wait_all_tasks_blocked()
            harness.store.mode = StoreMode.REFUSING
            await harness.async_advance(0.05)
        assert outcomes == [Outcome.UNKNOWN]


async def test_refused_append_is_never_stored() -> None:
    async with _running_harness() as harness:
        harness.store.mode = StoreMode.REFUSING
        outcomes: list[Outcome] = []

        async def async_append() -> None:
            outcomes.append(await harness.async_append("a", 0.01))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(async_append)
            await anyio.sleep(0.02)
            await harness.async_advance(1.0)
        harness.store.mode = StoreMode.SERVING
        await harness.async_advance(5.0)
        assert outcomes[0] is not Outcome.STORED
        assert await harness.async_append("b") is Outcome.STORED
        assert harness.store.topic_end(TOPIC) == 1


async def test_fenced_producer_stops() -> None:
    async with _running_harness() as harness:
        harness.store.append(TOPIC, [("c", b"x")], Producer("node/1", 2, 0))
        assert await harness.async_append("a") is Outcome.FENCED
        assert harness.appender.fenced
        assert harness.store.topic_end(TOPIC) == 1


def test_split_keeps_order_and_the_records_of_a_job_together() -> None:
    """Guard against a job that is stored as a stub without its final progress."""
    half = b"x" * (MAX_APPEND_BYTES // 2 - 20)
    records = [
        ("owner", b"renewal"),
        ("p/1", half),
        ("p/2", half),
        ("j/2", b"stub"),
        ("p/3", half),
        ("p/4", half),
    ]
    assert encoded_size(records[:3]) <= MAX_APPEND_BYTES < encoded_size(records[:4])
    pieces = split_records(records)
    assert pieces == [records[:2], records[2:5], records[5:]]
    assert max(map(encoded_size, pieces)) <= MAX_APPEND_BYTES


async def test_partly_stored_append_is_reported_as_unknown() -> None:
    """Guard against a caller that is told that none of its records were stored."""
    async with _running_harness() as harness:
        # One record fills a call, in a store that accepts such records.
        harness.appender.limits = AppendLimits(record_bytes=MAX_APPEND_BYTES)
        harness.store.record_bytes = MAX_APPEND_BYTES
        record = b"x" * (MAX_APPEND_BYTES - 20)
        records = [("p/1", record), ("p/2", record)]
        deadline = harness.timers.monotonic() + TIMEOUT_SECONDS
        outcomes: list[Outcome] = []

        async def async_append() -> None:
            outcomes.append(await harness.appender.async_append(records, deadline))

        async def async_refuse_the_second(piece: list[Record], by: Producer) -> int:
            if harness.store.topic_end(TOPIC) == 1:
                harness.store.mode = StoreMode.REFUSING
            return await harness.store.async_append(TOPIC, piece, by)

        harness.appender.call = async_refuse_the_second
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(async_append)
            for _ in range(20):
                await harness.async_advance(TIMEOUT_SECONDS / 4)
        assert outcomes == [Outcome.UNKNOWN]
        assert harness.store.topic_end(TOPIC) == 1
