"""Test that a fold follows its topic through lost history and refusals."""

from __future__ import annotations

import anyio
import pytest

from mustardward.components.ledger.follower import TopicFollower, poll_timeout_ms
from mustardward.helpers.timer import DrivenTimerService
from mustardward.platform.exceptions import CallRefusedError
from mustardward.platform.store import KeyedRecord, NewestPage, Page
from mustardward.standin.estate.store import MemoryStore, Mood

pytestmark = pytest.mark.anyio

TOPIC = "keyed.test"


class _Fold:
    """Hold the newest value of each key."""

    def __init__(self) -> None:
        self.values: dict[str, bytes] = {}

    def apply(self, record: KeyedRecord) -> None:
        if record.value:
            self.values[record.key] = record.value
        else:
            self.values.pop(record.key, None)


class _WaitingStore(MemoryStore):
    """Note how long each read was ready to wait, in milliseconds."""

    def __init__(self) -> None:
        super().__init__()
        self.waits: list[int] = []

    async def async_read(
        self, topic: str, from_offset: int, wait_ms: int, kilobytes: int = 1024
    ) -> Page:
        self.waits.append(wait_ms)
        return await super().async_read(topic, from_offset, wait_ms, kilobytes)


def a_follower(
    store: MemoryStore, timers: DrivenTimerService | None = None
) -> tuple[TopicFollower, _Fold]:
    fold = _Fold()
    follower = TopicFollower(
        store,  # type: ignore[arg-type]
        timers or DrivenTimerService(),
        TOPIC,
        fold.apply,
        lambda: fold.values,
        interval_seconds=0.1,
    )
    return follower, fold


async def test_the_newest_records_and_the_tail_are_folded() -> None:
    store = MemoryStore()
    store.append(TOPIC, [("a", b"1"), ("b", b"1"), ("a", b"2")])
    follower, fold = a_follower(store)
    assert await follower.async_catch_up()
    assert fold.values == {"a": b"2", "b": b"1"}
    store.append(TOPIC, [("b", b""), ("c", b"3")])
    assert await follower.async_catch_up()
    assert fold.values == {"a": b"2", "c": b"3"}


async def test_keys_that_went_with_dropped_history_are_forgotten() -> None:
    """A key that was removed in a gap of the history does not stay.

    Symptom: a worker that had left went on being given tasks.
    Sequence: the store dropped its history; in the gap the worker's entry went.
    Cause: only records that are still there were folded.
    """
    store = MemoryStore()
    store.append(TOPIC, [("a", b"1"), ("b", b"1")])
    follower, fold = a_follower(store)
    await follower.async_catch_up()
    store.append(TOPIC, [("a", b""), ("c", b"1")])
    store.forget(TOPIC, store.topic_end(TOPIC))
    assert not await follower.async_catch_up()
    assert await follower.async_catch_up()
    assert fold.values == {"b": b"1", "c": b"1"}


async def test_more_keys_than_a_page_holds_are_all_folded() -> None:
    store = MemoryStore()
    store.append(TOPIC, [(f"{number:05d}", b"1") for number in range(1203)])
    follower, fold = a_follower(store)
    assert await follower.async_catch_up()
    assert len(fold.values) == 1203


async def test_a_refused_read_confirms_nothing() -> None:
    store = MemoryStore()
    follower, _ = a_follower(store)
    assert await follower.async_catch_up()
    up_to_date_at = follower.up_to_date_at
    store.mood = Mood.REFUSING
    assert not await follower.async_catch_up()
    assert follower.up_to_date_at == up_to_date_at
    assert follower.failing_since is not None
    store.mood = Mood.SERVING
    assert await follower.async_catch_up()
    assert follower.failing_since is None


async def test_after_a_failure_short_reads_look_for_the_stores_return() -> None:
    """No long poll is sent into an outage.

    Symptom: entries went on refusing for up to 1.8 s after the store was back.
    Sequence: the store fell silent; each entry sent it a long poll; it came back while
    those hung.
    Cause: the read that looks for its return waited as long as any other.
    """
    store = _WaitingStore()
    follower, _ = a_follower(store)
    await follower.async_catch_up()
    store.mood = Mood.REFUSING
    waits = store.waits
    waits.clear()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(follower.async_run)
        for _ in range(3):
            await anyio.wait_all_tasks_blocked()
            await follower.timers.async_advance(1.0)  # type: ignore[attr-defined]
        tasks.cancel_scope.cancel()
    assert waits[0] > 0
    assert set(waits[1:]) == {0}


class _SilentStore(MemoryStore):
    """Let each read hang for a second, and fail."""

    def __init__(self, timers: DrivenTimerService) -> None:
        super().__init__()
        self._timers = timers

    async def async_read(
        self, topic: str, from_offset: int, wait_ms: int, kilobytes: int = 1024
    ) -> Page:
        self._timers.pause(1.0)
        raise CallRefusedError("SocketTimeoutError")


async def test_a_failure_counts_from_when_its_call_was_sent() -> None:
    """Nothing was heard of the log since then.

    Symptom: callers of a data centre that is cut off are kept there for 4 s. Sequence:
    the cut silences a long poll; its timeout passes; only from then on the entry
    counted how long it is cut off, and asked for callers meanwhile. Cause: a failure
    was dated by its timeout.
    """
    timers = DrivenTimerService()
    follower, _ = a_follower(_SilentStore(timers), timers)
    await follower.async_load()
    sent_at = timers.monotonic()
    assert not await follower.async_catch_up()
    assert (follower.failing_since, timers.monotonic()) == (sent_at, sent_at + 1.0)


@pytest.mark.parametrize(
    ("entries", "expected"), [(0, 300), (9, 300), (41, 300), (100, 714), (170, 1000)]
)
def test_the_more_entries_follow_the_longer_each_poll_waits(
    entries: int, expected: int
) -> None:
    """All of them share the reads that the store answers."""
    assert poll_timeout_ms(entries) == expected


class _NarrowStore(MemoryStore):
    """Fail every second page, as a link does that many entries share."""

    def __init__(self) -> None:
        super().__init__()
        self.asked: list[str] = []

    async def async_newest(self, topic: str, after: str = "") -> NewestPage:
        self.asked.append(after)
        if len(self.asked) % 2 == 0:
            raise CallRefusedError("TimeoutError")
        return await super().async_newest(topic, after)


async def test_a_load_over_a_poor_link_goes_on_where_it_was() -> None:
    """What was read of a large state is not asked for again.

    Symptom: after all entries were killed, those of one data centre did not know their
    jobs 45 s later, and refused who asked. Sequence: they read a state of several pages
    at once over narrow links; one page of each try came too late. Cause: each try began
    with the first page again.
    """
    store = _NarrowStore()
    store.append(TOPIC, [(f"{number:05d}", b"1") for number in range(1800)])
    follower, fold = a_follower(store)
    tries = 0
    while not await follower.async_catch_up():
        tries += 1
        assert tries < 10
    assert len(fold.values) == 1800
    assert len(store.asked) - len(set(store.asked)) == tries


async def test_a_record_that_changed_between_two_pages_is_folded_at_last() -> None:
    """The tail is read from where the first page was read, however late the last is."""
    store = _NarrowStore()
    store.append(TOPIC, [(f"{number:05d}", b"1") for number in range(800)])
    follower, fold = a_follower(store)
    assert not await follower.async_catch_up()
    store.append(TOPIC, [("00000", b"2"), ("00001", b"")])
    while not await follower.async_catch_up():
        pass
    assert await follower.async_catch_up()
    assert fold.values["00000"] == b"2"
    assert "00001" not in fold.values


class _BusyStore(_WaitingStore):
    """Have a new record for each read."""

    async def async_read(
        self, topic: str, from_offset: int, wait_ms: int, kilobytes: int = 1024
    ) -> Page:
        self.append(topic, [("a", b"x")])
        return await super().async_read(topic, from_offset, wait_ms, kilobytes)


async def async_count_reads(entries: int, override_interval: float | None) -> int:
    """Return how often one of so many entries reads a busy topic in 7 s."""
    timers = DrivenTimerService()
    store = _BusyStore()
    follower, _ = a_follower(store, timers)
    follower.entries = lambda: entries
    follower.scale_interval = True
    follower.override_interval(override_interval)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(follower.async_run)
        for _ in range(700):
            await anyio.wait_all_tasks_blocked()
            await timers.async_advance(0.01)
        tasks.cancel_scope.cancel()
    return len(store.waits)


async def test_many_entries_read_a_busy_topic_no_more_often_than_few() -> None:
    """Symptom: 54,913 calls to the store for 1,553 jobs.

    Sequence: each append of the owner ended the long polls of 97 entries, and each of
    them read again 0.15 s later. Cause: the gap did not know how many entries read.
    """
    assert await async_count_reads(9, None) in range(60, 72)
    assert await async_count_reads(97, None) in range(9, 12)
    assert await async_count_reads(97, 0.02) > 200
