"""Test that the outcome of an unanswered append is read from the log itself."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio
import anyio.lowlevel
import pytest

from mustardward.components.ledger.append_watcher import (
    LOG_POLL_SECONDS,
    AppendWatcher,
    async_call_or_observe,
)
from mustardward.components.ledger.appender import GroupAppender, Outcome
from mustardward.components.ledger.follower import TopicFollower
from mustardward.helpers.timer import DrivenTimerService, LoopTimerService
from mustardward.platform.exceptions import CallUnknownError, FencedError
from mustardward.platform.store import Producer
from mustardward.standin.estate.store import MemoryStore
from tests.components.ledger.builders import async_appending

pytestmark = pytest.mark.anyio

TOPIC = "keyed.test"
STEP_SECONDS = 0.05


class SilentStoreHarness:
    """An appender on a store that performs appends but does not answer while silent.

    Set ``performs_appends`` to False for a silent store that loses the appends too.
    """

    def __init__(self) -> None:
        self.store = MemoryStore()
        self.timers = DrivenTimerService()
        self.silent = True
        self.performs_appends = True
        self.sequences: list[int] = []
        self.follower = TopicFollower(
            self.store,  # type: ignore[arg-type]
            self.timers,
            TOPIC,
            lambda record: None,
            lambda: (),
            interval_seconds=0.7,
        )
        self.appender = GroupAppender(self._async_call, self.timers, "node/1", epoch=1)
        watcher = AppendWatcher(self.follower.async_catch_up, ("j/",))
        self.appender.sighting = watcher
        self.follower.record_listeners.append(watcher.observe)
        self.outcomes: dict[str, Outcome] = {}

    async def _async_call(
        self, records: list[tuple[str, bytes]], producer: Producer
    ) -> int:
        self.sequences.append(producer.sequence)
        if self.performs_appends or not self.silent:
            await self.store.async_append(TOPIC, records, producer)
        if self.silent:
            await self.timers.async_sleep(0.7)
            raise CallUnknownError("timeout")
        return 0

    async def async_append(self, key: str, value: bytes = b"x") -> None:
        until = self.timers.monotonic() + 3.0
        outcome = await self.appender.async_append([(key, value)], until)
        self.outcomes[key] = outcome

    async def async_advance(self, seconds: float) -> None:
        for _ in range(round(seconds / STEP_SECONDS)):
            await anyio.wait_all_tasks_blocked()
            await self.timers.async_advance(STEP_SECONDS)
        await anyio.wait_all_tasks_blocked()


@asynccontextmanager
async def running_silent_store() -> AsyncIterator[
    tuple[SilentStoreHarness, anyio.abc.TaskGroup]
]:
    harness = SilentStoreHarness()
    await harness.follower.async_catch_up()
    async with async_appending(harness.appender), anyio.create_task_group() as tasks:
        yield harness, tasks
        tasks.cancel_scope.cancel()


async def test_appends_continue_while_their_answers_are_lost() -> None:
    """Guard against five seconds without an accepted job, and sixty claims.

    The store performs appends and loses their answers. If only an answer counts, each
    entry node repeats its first append, 0.7 s per attempt, with all others queued
    behind it, and the owner's renewals stop.
    """
    async with running_silent_store() as (harness, tasks):
        for number in range(3):
            tasks.start_soon(harness.async_append, f"j/{number}")
            await harness.async_advance(2 * LOG_POLL_SECONDS)
            assert harness.outcomes[f"j/{number}"] is Outcome.STORED
        assert harness.sequences == [0, 1, 2]
        assert harness.store.topic_end(TOPIC) == 3


async def test_append_missing_from_the_log_is_repeated_with_its_number() -> None:
    async with running_silent_store() as (harness, tasks):
        harness.performs_appends = False
        tasks.start_soon(harness.async_append, "j/1")
        await harness.async_advance(0.6)
        assert harness.outcomes == {}
        harness.silent = False
        await harness.async_advance(0.4)
        assert harness.outcomes == {"j/1": Outcome.STORED}
        # Attempts that the log does not show end early: two more fit in, four in all,
        # each under the same sequence number.
        assert harness.sequences == [0, 0, 0, 0]
        assert harness.store.topic_end(TOPIC) == 1


class DelayingStoreHarness(SilentStoreHarness):
    """Delay the first attempt of each append for seconds, and perform repeats."""

    async def _async_call(
        self, records: list[tuple[str, bytes]], producer: Producer
    ) -> int:
        self.sequences.append(producer.sequence)
        if self.sequences.count(producer.sequence) < 2:
            await self.timers.async_sleep(0.7)
            raise CallUnknownError("timeout")
        return await self.store.async_append(TOPIC, records, producer)


async def test_delayed_append_is_repeated_early() -> None:
    """Guard against 200 callers that get 504 within five seconds of a slow store.

    The store delays some appends for up to six seconds. The log does not show them, and
    without an early repeat each attempt runs into its timeout while all later appends
    are queued behind it.
    """
    harness = DelayingStoreHarness()
    await harness.follower.async_catch_up()
    async with async_appending(harness.appender), anyio.create_task_group() as tasks:
        tasks.start_soon(harness.async_append, "j/1")
        await harness.async_advance(0.4)
        assert harness.outcomes == {"j/1": Outcome.STORED}
        # The delayed attempt is performed now, and the log drops it.
        record = [("j/1", b"x")]
        await harness.store.async_append(TOPIC, record, Producer("node/1", 1, 0))
        assert harness.store.topic_end(TOPIC) == 1
        tasks.cancel_scope.cancel()


async def test_attempts_are_spaced_while_the_log_is_readable() -> None:
    async with running_silent_store() as (harness, tasks):
        harness.performs_appends = False
        tasks.start_soon(harness.async_append, "j/1")
        await harness.async_advance(3.0)
        assert 7 <= len(harness.sequences) <= 11
        tasks.cancel_scope.cancel()


async def test_another_writers_record_of_the_same_key_proves_nothing() -> None:
    """Two entry nodes may get the same job; their records differ in the timestamp."""
    async with running_silent_store() as (harness, tasks):
        harness.performs_appends = False
        harness.store.append(TOPIC, [("j/1", b"other")])
        tasks.start_soon(harness.async_append, "j/1")
        await harness.async_advance(0.6)
        assert harness.outcomes == {}


async def test_append_without_a_unique_record_needs_an_answer() -> None:
    """A record that is rewritten with the same value may be an old one."""
    async with running_silent_store() as (harness, tasks):
        tasks.start_soon(harness.async_append, "n/1")
        await harness.async_advance(0.6)
        assert harness.outcomes == {}
        harness.silent = False
        await harness.async_advance(0.4)
        assert harness.outcomes == {"n/1": Outcome.STORED}


async def test_error_of_the_call_is_raised_unchanged() -> None:
    async def async_raise_fenced() -> None:
        raise FencedError("newer")

    async def async_read_log() -> None:
        return None

    with pytest.raises(FencedError):
        await async_call_or_observe(
            DrivenTimerService(), async_raise_fenced, async_read_log, lambda: False
        )


async def test_library_cancellation_does_not_end_the_appender() -> None:
    """Guard against an entry node that exits with code 0 and without a log line.

    An append's call ends while the log is read through a peer, and the peer call times
    out at the same moment. Its library cancels the waiting task and turns that into an
    error, but the task then has one cancellation request more than the cancel scope
    around it counts, and the scope lets the cancellation through. The log must
    therefore not be read in the appender's own task.
    """
    readers: list[asyncio.Task[object]] = []

    async def async_call() -> int:
        await anyio.sleep(2 * LOG_POLL_SECONDS)
        for reader in readers:
            reader.cancel()
        return 1

    async def async_read_log() -> None:
        task = asyncio.current_task()
        assert task is not None
        readers.append(task)
        try:
            await anyio.sleep_forever()
        except asyncio.CancelledError:
            await anyio.sleep(0.01)

    for _ in range(3):
        readers.clear()
        async with anyio.create_task_group() as tasks:
            timers = LoopTimerService(tasks)
            answer = await async_call_or_observe(
                timers, async_call, async_read_log, lambda: False
            )
            await anyio.lowlevel.checkpoint()
        assert answer == 1
        assert not tasks.cancel_scope.cancel_called


async def test_call_cancelled_from_outside_is_not_taken_as_observed() -> None:
    async def async_call() -> int:
        raise asyncio.CancelledError

    async def async_read_log() -> None:
        return None

    async with anyio.create_task_group() as tasks:
        with pytest.raises(CallUnknownError):
            await async_call_or_observe(
                LoopTimerService(tasks), async_call, async_read_log, lambda: False
            )
