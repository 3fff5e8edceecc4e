"""Test that the log itself tells what became of an append without an answer."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio
import anyio.lowlevel
import pytest

from mustardward.components.ledger.appender import GroupAppender, Outcome
from mustardward.components.ledger.follower import TopicFollower
from mustardward.components.ledger.sighting import (
    LOG_POLL_SECONDS,
    AppendWatcher,
    async_call_or_observe,
)
from mustardward.helpers.timer import DrivenTimerService, LoopTimerService
from mustardward.platform.exceptions import CallUnknownError, FencedError
from mustardward.platform.store import Producer
from mustardward.standin.estate.store import MemoryStore
from tests.components.ledger.builders import async_appending

pytestmark = pytest.mark.anyio

TOPIC = "keyed.test"
STEP_SECONDS = 0.05


class SilentStore:
    """Carry appends out, and answer none of them for as long as it is silent.

    :param carries_out: whether appends are done while it is silent.
    """

    def __init__(self) -> None:
        self.store = MemoryStore()
        self.timers = DrivenTimerService()
        self.silent = True
        self.carries_out = True
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
        sighting = AppendWatcher(self.follower.async_catch_up, ("j/",))
        self.appender.sighting = sighting
        self.follower.record_listeners.append(sighting.observe)
        self.outcomes: dict[str, Outcome] = {}

    async def _async_call(
        self, records: list[tuple[str, bytes]], producer: Producer
    ) -> int:
        self.sequences.append(producer.sequence)
        if self.carries_out or not self.silent:
            await self.store.async_append(TOPIC, records, producer)
        if self.silent:
            await self.timers.async_sleep(0.7)
            raise CallUnknownError("timeout")
        return 0

    async def async_append(self, key: str, value: bytes = b"x") -> None:
        until = self.timers.monotonic() + 3.0
        outcome = await self.appender.async_append([(key, value)], until)
        self.outcomes[key] = outcome

    async def async_pass(self, seconds: float) -> None:
        for _ in range(round(seconds / STEP_SECONDS)):
            await anyio.wait_all_tasks_blocked()
            await self.timers.async_advance(STEP_SECONDS)
        await anyio.wait_all_tasks_blocked()


@asynccontextmanager
async def a_silent_store() -> AsyncIterator[tuple[SilentStore, anyio.abc.TaskGroup]]:
    bench = SilentStore()
    await bench.follower.async_catch_up()
    async with async_appending(bench.appender), anyio.create_task_group() as tasks:
        yield bench, tasks
        tasks.cancel_scope.cancel()


async def test_appends_go_on_while_their_answers_are_lost() -> None:
    """Symptom: for five seconds no job was accepted, and sixty entries claimed.

    Sequence: the store carried appends out and lost their answers; each entry repeated
    its first append, 0.7 s a try, with all others behind it; the owner's renewals
    stopped. Cause: only an answer told that an append was stored.
    """
    async with a_silent_store() as (bench, tasks):
        for number in range(3):
            tasks.start_soon(bench.async_append, f"j/{number}")
            await bench.async_pass(2 * LOG_POLL_SECONDS)
            assert bench.outcomes[f"j/{number}"] is Outcome.STORED
        assert bench.sequences == [0, 1, 2]
        assert bench.store.topic_end(TOPIC) == 3


async def test_an_append_that_the_log_does_not_show_is_repeated_under_its_number() -> (
    None
):
    async with a_silent_store() as (bench, tasks):
        bench.carries_out = False
        tasks.start_soon(bench.async_append, "j/1")
        await bench.async_pass(0.6)
        assert bench.outcomes == {}
        bench.silent = False
        await bench.async_pass(0.4)
        assert bench.outcomes == {"j/1": Outcome.STORED}
        # Tries that are not shown end early: two more fit in, each under its number.
        assert bench.sequences == [0, 0, 0, 0]
        assert bench.store.topic_end(TOPIC) == 1


class LateStore(SilentStore):
    """Leave the first try of each append for seconds, and carry repeats out."""

    async def _async_call(
        self, records: list[tuple[str, bytes]], producer: Producer
    ) -> int:
        self.sequences.append(producer.sequence)
        if self.sequences.count(producer.sequence) < 2:
            await self.timers.async_sleep(0.7)
            raise CallUnknownError("timeout")
        return await self.store.async_append(TOPIC, records, producer)


async def test_an_append_that_is_left_for_seconds_is_repeated_at_once() -> None:
    """Symptom: 200 callers were told 504 in five seconds of a store that works late.

    Sequence: the store leaves some appends for up to six seconds; the log does not show
    them, and each try is waited for to its end, with all that come after it behind it.
    Cause: that the log does not show an append was not taken as a reason to repeat it.
    """
    bench = LateStore()
    await bench.follower.async_catch_up()
    async with async_appending(bench.appender), anyio.create_task_group() as tasks:
        tasks.start_soon(bench.async_append, "j/1")
        await bench.async_pass(0.4)
        assert bench.outcomes == {"j/1": Outcome.STORED}
        # The try that was left is carried out now: the log drops it.
        record = [("j/1", b"x")]
        await bench.store.async_append(TOPIC, record, Producer("node/1", 1, 0))
        assert bench.store.topic_end(TOPIC) == 1
        tasks.cancel_scope.cancel()


async def test_tries_are_spaced_while_the_log_can_be_read() -> None:
    async with a_silent_store() as (bench, tasks):
        bench.carries_out = False
        tasks.start_soon(bench.async_append, "j/1")
        await bench.async_pass(3.0)
        assert 7 <= len(bench.sequences) <= 11
        tasks.cancel_scope.cancel()


async def test_another_writers_record_of_the_key_shows_nothing() -> None:
    """Two entries may be handed the same job; each record has its own moment."""
    async with a_silent_store() as (bench, tasks):
        bench.carries_out = False
        bench.store.append(TOPIC, [("j/1", b"other")])
        tasks.start_soon(bench.async_append, "j/1")
        await bench.async_pass(0.6)
        assert bench.outcomes == {}


async def test_a_record_that_names_no_one_append_is_waited_for() -> None:
    """What is written again with the same value may be the record of long ago."""
    async with a_silent_store() as (bench, tasks):
        tasks.start_soon(bench.async_append, "n/1")
        await bench.async_pass(0.6)
        assert bench.outcomes == {}
        bench.silent = False
        await bench.async_pass(0.4)
        assert bench.outcomes == {"n/1": Outcome.STORED}


async def test_what_a_call_raises_is_raised_as_it_is() -> None:
    async def async_refuse() -> None:
        raise FencedError("newer")

    async def async_look() -> None:
        return None

    with pytest.raises(FencedError):
        await async_call_or_observe(
            DrivenTimerService(), async_refuse, async_look, lambda: False
        )


async def test_a_cancellation_that_a_library_leaves_behind_ends_no_appender() -> None:
    """Symptom: an entry ends by itself, with code 0 and without a word.

    Sequence: an append's call ended while the log was read for it through a peer; the
    peer call's own time ran out in the same moment. Its library cancels the task that
    waits and turns that into an error, but the task has then been asked to end once
    more than the scope around it knows, and the scope lets the cancellation through.
    Cause: the log was read in the appender's own task.
    """
    readers: list[asyncio.Task[object]] = []

    async def async_call() -> int:
        await anyio.sleep(2 * LOG_POLL_SECONDS)
        for reader in readers:
            reader.cancel()
        return 1

    async def async_look() -> None:
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
                timers, async_call, async_look, lambda: False
            )
            await anyio.lowlevel.checkpoint()
        assert answer == 1
        assert not tasks.cancel_scope.cancel_called


async def test_a_call_that_is_cancelled_from_elsewhere_is_not_taken_for_seen() -> None:
    async def async_call() -> int:
        raise asyncio.CancelledError

    async def async_look() -> None:
        return None

    async with anyio.create_task_group() as tasks:
        with pytest.raises(CallUnknownError):
            await async_call_or_observe(
                LoopTimerService(tasks), async_call, async_look, lambda: False
            )
