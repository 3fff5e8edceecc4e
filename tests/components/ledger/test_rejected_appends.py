"""Test appends that the store rejects for good because of their size."""

from __future__ import annotations

import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio
import pytest

from mustardward.components.ledger.appender import (
    AppendLimits,
    GroupAppender,
    Outcome,
    Record,
    encoded_size,
)
from mustardward.helpers.timer import DrivenTimerService
from mustardward.platform.store import Producer
from mustardward.standin.estate.store import MemoryStore, StoreMode

from .builders import async_appending

pytestmark = pytest.mark.anyio

TOPIC = "keyed.test"
RECORD_BYTES = 100
LARGE = b"x" * (RECORD_BYTES + 1)


class _Harness:
    """An appender on a store with small limits, which the appender may not know."""

    def __init__(self, limits: AppendLimits) -> None:
        self.store = MemoryStore(record_bytes=RECORD_BYTES, request_bytes=1000)
        self.timers = DrivenTimerService()
        self.rejected: list[str] = []
        self.outcomes: dict[str, Outcome] = {}
        self.appender = GroupAppender(
            self._async_call,
            self.timers,
            "node/1",
            epoch=1,
            limits=limits,
            on_rejected=lambda records: self.rejected.extend(k for k, _ in records),
        )

    async def _async_call(self, records: list[Record], producer: Producer) -> int:
        return await self.store.async_append(TOPIC, records, producer)

    async def async_append(self, *records: Record, seconds: float = 1.0) -> None:
        """Append records, and keep the outcome by the key of the first one."""
        until = self.timers.monotonic() + seconds
        outcome = await self.appender.async_append(list(records), until)
        self.outcomes[records[0][0]] = outcome

    async def async_advance(self, seconds: float) -> None:
        """Advance the time in steps."""
        for _ in range(round(seconds / 0.05)):
            await anyio.wait_all_tasks_blocked()
            await self.timers.async_advance(0.05)
        await anyio.wait_all_tasks_blocked()

    def stored(self) -> list[str]:
        """Return the keys in the store."""
        return [record.key for record in self.store.records_from(TOPIC, 0)]


@asynccontextmanager
async def _running_harness(
    limits: AppendLimits | None = None,
) -> AsyncIterator[tuple[_Harness, anyio.abc.TaskGroup]]:
    harness = _Harness(limits or AppendLimits())
    async with async_appending(harness.appender), anyio.create_task_group() as tasks:
        yield harness, tasks
        tasks.cancel_scope.cancel()


async def test_an_append_that_is_rejected_after_no_answer_is_dropped() -> None:
    """Guards against an entry that stores nothing any more after an outage."""
    async with _running_harness() as (harness, tasks):
        harness.store.mode = StoreMode.UNRESPONSIVE
        tasks.start_soon(harness.async_append, ("j/1", LARGE))
        await harness.async_advance(2.0)
        assert harness.appender.failing_since is not None
        harness.store.mode = StoreMode.SERVING
        await harness.async_advance(1.0)
        assert harness.appender.failing_since is None
        tasks.start_soon(harness.async_append, ("j/2", b"x"))
        await harness.async_advance(0.5)
        assert harness.outcomes["j/2"] is Outcome.STORED
        assert harness.stored() == ["j/2"]
        assert harness.rejected == ["j/1"]


async def test_a_rejected_record_leaves_the_others_of_its_call() -> None:
    """Guards against the refusal of a sound job that is appended beside a large one."""
    async with _running_harness() as (harness, tasks):
        for key, value in (("j/1", b"x"), ("j/2", LARGE), ("j/3", b"x")):
            tasks.start_soon(harness.async_append, (key, value))
        await harness.async_advance(0.5)
        assert harness.outcomes == {
            "j/1": Outcome.STORED,
            "j/2": Outcome.REJECTED,
            "j/3": Outcome.STORED,
        }
        assert harness.stored() == ["j/1", "j/3"]


async def test_a_rejected_job_leaves_the_renewal_of_its_append() -> None:
    """Guards against an owner that loses the shard by one job's progress."""
    async with _running_harness() as (harness, tasks):
        records = [("owner", b"x"), ("p/1", LARGE), ("j/1", b"stub"), ("p/2", b"x")]
        tasks.start_soon(harness.async_append, *records)
        await harness.async_advance(0.5)
        assert harness.outcomes == {"owner": Outcome.STORED}
        assert harness.stored() == ["owner", "p/2"]
        assert harness.rejected == ["p/1", "j/1"]


async def test_a_record_that_exceeds_the_known_limit_is_not_sent() -> None:
    """Guards against calls whose rejection is known beforehand."""
    limits = AppendLimits(RECORD_BYTES)
    async with _running_harness(limits) as (harness, tasks):
        harness.store.mode = StoreMode.UNRESPONSIVE
        tasks.start_soon(harness.async_append, ("j/1", LARGE))
        harness.appender.post([("p/1", LARGE)])
        await harness.async_advance(0.1)
        assert harness.outcomes == {"j/1": Outcome.REJECTED}
        assert harness.store.appends == 0


async def test_calls_keep_to_the_limits_of_the_settings() -> None:
    """Guards against calls that are larger than a deployment's store accepts."""
    limits = AppendLimits(RECORD_BYTES, call_bytes=1000)
    async with _running_harness(limits) as (harness, tasks):
        largest = b"x" * (RECORD_BYTES - 5)
        records = [(f"p/{number}", largest) for number in range(10, 40)]
        assert limits.accept(records)
        assert not limits.accept([("p/10", largest + b"x")])
        tasks.start_soon(harness.async_append, *records)
        await harness.async_advance(0.5)
        assert harness.outcomes == {"p/10": Outcome.STORED}
        assert len(harness.stored()) == 30
        assert harness.rejected == []
        assert encoded_size(records) // 1000 < harness.store.appends <= 4


@pytest.mark.parametrize("seed", range(8))
async def test_outcomes_are_true_in_any_order_of_failures(seed: int) -> None:
    """Guards against a rejected append that is stored, or a stored one that is not."""
    rng = random.Random(seed)
    async with _running_harness() as (harness, tasks):
        for number in range(30):
            harness.store.mode = rng.choice(list(StoreMode))
            size = rng.choice((1, 1, 50, RECORD_BYTES + 1))
            append = harness.async_append
            tasks.start_soon(append, (f"j/{number}", b"x" * size))
            await harness.async_advance(rng.choice((0.05, 0.3, 1.2)))
        harness.store.mode = StoreMode.SERVING
        await harness.async_advance(2.0)
        stored = harness.stored()
        assert len(set(stored)) == len(stored)
        assert len(harness.outcomes) == 30
        for key, outcome in harness.outcomes.items():
            if outcome is Outcome.STORED:
                assert key in stored
            if outcome in (Outcome.NOT_STORED, Outcome.REJECTED):
                assert key not in stored
        tasks.start_soon(harness.async_append, ("j/last", b"x"))
        await harness.async_advance(0.5)
        assert harness.outcomes["j/last"] is Outcome.STORED
