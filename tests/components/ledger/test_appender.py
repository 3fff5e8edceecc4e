"""Test that what callers are told of an append is true, and appends happen once."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio
import pytest

from mustardward.components.ledger.appender import (
    MAX_APPEND_BYTES,
    GroupAppender,
    Outcome,
    Record,
    encoded_size,
    split_records,
)
from mustardward.helpers.timer import DrivenTimerService
from mustardward.platform.store import Producer
from mustardward.standin.estate.store import MemoryStore, Mood
from tests.components.ledger.builders import async_appending

pytestmark = pytest.mark.anyio

TOPIC = "keyed.test"
SOON = 0.2


class _Bench:
    """Hold an appender on a store that obeys the test."""

    def __init__(self) -> None:
        self.store = MemoryStore()
        self.timers = DrivenTimerService()
        self.appender = GroupAppender(self._async_call, self.timers, "node/1", epoch=1)

    async def _async_call(
        self, records: list[tuple[str, bytes]], producer: Producer
    ) -> int:
        return await self.store.async_append(TOPIC, records, producer)

    async def async_append(self, key: str, seconds: float = SOON) -> Outcome:
        deadline = self.timers.monotonic() + seconds
        return await self.appender.async_append([(key, b"x")], deadline)

    async def async_pass(self, seconds: float) -> None:
        await anyio.wait_all_tasks_blocked()
        await self.timers.async_advance(seconds)
        await anyio.wait_all_tasks_blocked()


@asynccontextmanager
async def _running() -> AsyncIterator[_Bench]:
    bench = _Bench()
    async with async_appending(bench.appender):
        yield bench


async def test_what_is_stored_is_told_as_stored() -> None:
    async with _running() as bench:
        assert await bench.async_append("a") is Outcome.STORED
        assert bench.store.topic_end(TOPIC) == 1


async def test_what_waits_together_is_appended_in_one_call() -> None:
    async with _running() as bench:
        async with anyio.create_task_group() as tasks:
            for key in "abc":
                tasks.start_soon(bench.async_append, key)
        assert bench.store.appends == 1
        assert bench.store.topic_end(TOPIC) == 3


async def test_an_append_whose_answer_is_lost_is_not_done_twice() -> None:
    """A lost answer does not append a second time.

    Symptom: a job's records stood twice in the log.
    Sequence: the store appended and its answer was lost; the append was tried again.
    Cause: the second try had a number of its own.
    """
    async with _running() as bench:
        bench.store.mood = Mood.LOSING_ANSWERS
        outcome = await bench.async_append("a", SOON)
        assert outcome is Outcome.UNKNOWN
        bench.store.mood = Mood.SERVING
        await bench.async_pass(1.0)
        assert bench.store.topic_end(TOPIC) == 1
        assert await bench.async_append("b") is Outcome.STORED
        assert bench.store.topic_end(TOPIC) == 2


async def test_an_append_that_may_be_done_is_never_told_as_refused() -> None:
    """A refusal after a lost answer says nothing of the first try.

    Symptom: a caller was told that its job was not accepted, and the job ran.
    Sequence: the first append was done and its answer lost; the second was refused
    because the store was busy; the caller's deadline came.
    Cause: the newest answer was taken for the answer to both.
    """
    async with _running() as bench:
        bench.store.mood = Mood.LOSING_ANSWERS
        outcomes: list[Outcome] = []

        async def async_append() -> None:
            outcomes.append(await bench.async_append("a"))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(async_append)
            await anyio.wait_all_tasks_blocked()
            bench.store.mood = Mood.REFUSING
            await bench.async_pass(0.05)
        assert outcomes == [Outcome.UNKNOWN]


async def test_a_refused_append_is_told_as_not_stored_and_never_is() -> None:
    async with _running() as bench:
        bench.store.mood = Mood.REFUSING
        outcomes: list[Outcome] = []

        async def async_append() -> None:
            outcomes.append(await bench.async_append("a", 0.01))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(async_append)
            await anyio.sleep(0.02)
            await bench.async_pass(1.0)
        bench.store.mood = Mood.SERVING
        await bench.async_pass(5.0)
        assert outcomes[0] is not Outcome.STORED
        assert await bench.async_append("b") is Outcome.STORED
        assert bench.store.topic_end(TOPIC) == 1


async def test_a_fenced_producer_stops() -> None:
    async with _running() as bench:
        bench.store.append(TOPIC, [("c", b"x")], Producer("node/1", 2, 0))
        assert await bench.async_append("a") is Outcome.FENCED
        assert bench.appender.fenced
        assert bench.store.topic_end(TOPIC) == 1


def test_records_of_one_job_stay_in_one_piece_and_all_keep_their_order() -> None:
    """Guards against a job that is stored as a stub and not as ended."""
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


async def test_records_of_which_some_pieces_are_stored_are_told_as_unknown() -> None:
    """Guards against a caller that is told that nothing of them was stored."""
    async with _running() as bench:
        record = b"x" * (MAX_APPEND_BYTES - 20)
        records = [("p/1", record), ("p/2", record)]
        deadline = bench.timers.monotonic() + SOON
        outcomes: list[Outcome] = []

        async def async_append() -> None:
            outcomes.append(await bench.appender.async_append(records, deadline))

        async def async_refuse_the_second(piece: list[Record], by: Producer) -> int:
            if bench.store.topic_end(TOPIC) == 1:
                bench.store.mood = Mood.REFUSING
            return await bench.store.async_append(TOPIC, piece, by)

        bench.appender.call = async_refuse_the_second
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(async_append)
            for _ in range(20):
                await bench.async_pass(SOON / 4)
        assert outcomes == [Outcome.UNKNOWN]
        assert bench.store.topic_end(TOPIC) == 1
