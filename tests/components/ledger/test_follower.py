"""Test that a follower keeps up with its topic through expired history and outages."""

from __future__ import annotations

from dataclasses import replace

import anyio
import pytest

from mustardward.components.ledger.const import BUSY_POLL_MS
from mustardward.components.ledger.follower import TopicFollower, poll_timeout_ms
from mustardward.components.ledger.store_latency import StoreLatency
from mustardward.helpers.log_pairs import read_pairs
from mustardward.helpers.timer import DrivenTimerService
from mustardward.platform.exceptions import CallRefusedError
from mustardward.platform.store import KeyedRecord, NewestPage, Page
from mustardward.standin.estate.store import MemoryStore, StoreMode

pytestmark = pytest.mark.anyio

TOPIC = "keyed.test"


class _State:
    """Hold the newest value of each key."""

    def __init__(self) -> None:
        self.values: dict[str, bytes] = {}

    def apply(self, record: KeyedRecord) -> None:
        if record.value:
            self.values[record.key] = record.value
        else:
            self.values.pop(record.key, None)


class _RecordingStore(MemoryStore):
    """Record the poll timeout of each read, in milliseconds."""

    def __init__(self) -> None:
        super().__init__()
        self.waits: list[int] = []

    async def async_read(
        self, topic: str, from_offset: int, wait_ms: int, kilobytes: int = 1024
    ) -> Page:
        self.waits.append(wait_ms)
        return await super().async_read(topic, from_offset, wait_ms, kilobytes)


def build_follower(
    store: MemoryStore, timers: DrivenTimerService | None = None
) -> tuple[TopicFollower, _State]:
    state = _State()
    follower = TopicFollower(
        store,  # type: ignore[arg-type]
        timers or DrivenTimerService(),
        TOPIC,
        state.apply,
        lambda: state.values,
        interval_seconds=0.1,
    )
    return follower, state


async def test_newest_records_and_tail_are_applied() -> None:
    store = MemoryStore()
    store.append(TOPIC, [("a", b"1"), ("b", b"1"), ("a", b"2")])
    follower, state = build_follower(store)
    assert await follower.async_catch_up()
    assert state.values == {"a": b"2", "b": b"1"}
    store.append(TOPIC, [("b", b""), ("c", b"3")])
    assert await follower.async_catch_up()
    assert state.values == {"a": b"2", "c": b"3"}


async def test_keys_deleted_in_expired_history_are_removed() -> None:
    """Guard against tasks assigned to a worker that has left.

    The store drops history that contained the deletion of the worker's key, so that a
    reload sees no record of that key.
    """
    store = MemoryStore()
    store.append(TOPIC, [("a", b"1"), ("b", b"1")])
    follower, state = build_follower(store)
    await follower.async_catch_up()
    store.append(TOPIC, [("a", b""), ("c", b"1")])
    store.drop_before(TOPIC, store.topic_end(TOPIC))
    assert not await follower.async_catch_up()
    assert await follower.async_catch_up()
    assert state.values == {"b": b"1", "c": b"1"}


async def test_load_reads_all_pages() -> None:
    store = MemoryStore()
    store.append(TOPIC, [(f"{number:05d}", b"1") for number in range(1203)])
    follower, state = build_follower(store)
    assert await follower.async_catch_up()
    assert len(state.values) == 1203


async def test_refused_read_does_not_count_as_up_to_date() -> None:
    store = MemoryStore()
    follower, _ = build_follower(store)
    assert await follower.async_catch_up()
    up_to_date_at = follower.up_to_date_at
    store.mode = StoreMode.REFUSING
    assert not await follower.async_catch_up()
    assert follower.up_to_date_at == up_to_date_at
    assert follower.failing_since is not None
    store.mode = StoreMode.SERVING
    assert await follower.async_catch_up()
    assert follower.failing_since is None


async def test_no_long_poll_is_sent_during_an_outage() -> None:
    """Guard against entry nodes that refuse callers for up to 1.8 s after an outage.

    A long poll sent while the store is silent still hangs when the store is back.
    """
    store = _RecordingStore()
    follower, _ = build_follower(store)
    await follower.async_catch_up()
    store.mode = StoreMode.REFUSING
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


class _SlowLatency(StoreLatency):
    """Report a slow store, whatever the reads show."""

    def is_slow(self, now: float) -> bool:
        return True


async def test_reads_do_not_wait_while_the_store_is_slow() -> None:
    """Guard against entry nodes that notice late that the store has recovered.

    Without a wait, only the interval limits the reads of an idle topic.
    """
    store = _RecordingStore()
    timers = DrivenTimerService()
    follower, _ = build_follower(store, timers)
    follower.entries = lambda: 42
    await follower.async_catch_up()
    follower.latency = _SlowLatency()
    store.waits.clear()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(follower.async_run)
        for _ in range(200):
            await anyio.wait_all_tasks_blocked()
            await timers.async_advance(0.01)
        tasks.cancel_scope.cancel()
    assert set(store.waits) == {0}
    assert len(store.waits) in range(6, 9)


async def test_read_that_follows_records_waits_briefly() -> None:
    """Guard against a slow store that a busy topic's long polls show late."""
    store = _RecordingStore()
    follower, _ = build_follower(store)
    await follower.async_catch_up()
    store.append(TOPIC, [("a", b"1")])
    store.waits.clear()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(follower.async_run)
        for _ in range(30):
            await anyio.wait_all_tasks_blocked()
            await follower.timers.async_advance(0.01)  # type: ignore[attr-defined]
        tasks.cancel_scope.cancel()
    assert store.waits[:3] == [poll_timeout_ms(1), BUSY_POLL_MS, poll_timeout_ms(1)]


class _SilentStore(MemoryStore):
    """Let each read fail after one second."""

    def __init__(self, timers: DrivenTimerService) -> None:
        super().__init__()
        self._timers = timers

    async def async_read(
        self, topic: str, from_offset: int, wait_ms: int, kilobytes: int = 1024
    ) -> Page:
        self._timers.pause(1.0)
        raise CallRefusedError("SocketTimeoutError")


async def test_outage_counts_from_when_the_failed_call_was_sent() -> None:
    """Guard against callers that stay with a partitioned data centre for 4 s.

    The partition silences a long poll. If the outage counted from the poll's timeout,
    the entry node would stay ready for callers meanwhile.
    """
    timers = DrivenTimerService()
    follower, _ = build_follower(_SilentStore(timers), timers)
    await follower.async_load()
    sent_at = timers.monotonic()
    assert not await follower.async_catch_up()
    assert (follower.failing_since, timers.monotonic()) == (sent_at, sent_at + 1.0)


@pytest.mark.parametrize(
    ("entries", "expected"), [(0, 300), (9, 300), (41, 300), (100, 714), (170, 1000)]
)
def test_poll_timeout_grows_with_the_number_of_entry_nodes(
    entries: int, expected: int
) -> None:
    """All entry nodes share the store's read capacity."""
    assert poll_timeout_ms(entries) == expected


class _FlakyPageStore(MemoryStore):
    """Fail every second page, like a link that many entry nodes share."""

    def __init__(self) -> None:
        super().__init__()
        self.requested_after: list[str] = []

    async def async_read_newest(self, topic: str, after: str = "") -> NewestPage:
        self.requested_after.append(after)
        if len(self.requested_after) % 2 == 0:
            raise CallRefusedError("TimeoutError")
        return await super().async_read_newest(topic, after)


async def test_load_resumes_at_the_page_that_failed() -> None:
    """Guard against entry nodes that refuse callers 45 s after a restart of all.

    They load several pages at the same time over slow links, and one page of each
    attempt times out. An attempt must not start from the first page again.
    """
    store = _FlakyPageStore()
    store.append(TOPIC, [(f"{number:05d}", b"1") for number in range(1800)])
    follower, state = build_follower(store)
    attempts = 0
    while not await follower.async_catch_up():
        attempts += 1
        assert attempts < 10
    assert len(state.values) == 1800
    assert len(store.requested_after) - len(set(store.requested_after)) == attempts


async def test_record_changed_between_two_pages_is_applied() -> None:
    """The tail is read from the end offset of the first page, however late the last."""
    store = _FlakyPageStore()
    store.append(TOPIC, [(f"{number:05d}", b"1") for number in range(800)])
    follower, state = build_follower(store)
    assert not await follower.async_catch_up()
    store.append(TOPIC, [("00000", b"2"), ("00001", b"")])
    while not await follower.async_catch_up():
        pass
    assert await follower.async_catch_up()
    assert state.values["00000"] == b"2"
    assert "00001" not in state.values


class _BusyStore(_RecordingStore):
    """Append a new record before each read."""

    async def async_read(
        self, topic: str, from_offset: int, wait_ms: int, kilobytes: int = 1024
    ) -> Page:
        self.append(topic, [("a", b"x")])
        return await super().async_read(topic, from_offset, wait_ms, kilobytes)


async def async_count_reads(entries: int, override_interval: float | None) -> int:
    """Return how often one of ``entries`` nodes reads a busy topic in 7 s."""
    timers = DrivenTimerService()
    store = _BusyStore()
    follower, _ = build_follower(store, timers)
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


async def test_total_reads_of_a_busy_topic_do_not_grow_with_entry_nodes() -> None:
    """Guard against 54,913 calls to the store for 1,553 jobs.

    Each append of the owner ends the long polls of 97 entry nodes, each of which reads
    again 0.15 s later if the interval ignores their number.
    """
    assert await async_count_reads(9, None) in range(60, 72)
    assert await async_count_reads(97, None) in range(9, 12)
    assert await async_count_reads(97, 0.02) > 200


class _PagedStore(MemoryStore):
    """Return one record per read."""

    async def async_read(
        self, topic: str, from_offset: int, wait_ms: int, kilobytes: int = 1024
    ) -> Page:
        page = await super().async_read(topic, from_offset, wait_ms, kilobytes)
        records = page.records[:1]
        next_offset = records[-1].offset + 1 if records else page.next_offset
        return replace(page, records=records, next_offset=next_offset)


async def test_follower_keeps_up_with_an_owner_that_fills_each_page() -> None:
    """Guard against entries that fall behind and do not notice a lost owner."""
    store = _PagedStore()
    timers = DrivenTimerService()
    follower, state = build_follower(store, timers)
    written = 0
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(follower.async_run)
        for _ in range(100):
            await anyio.wait_all_tasks_blocked()
            store.append(TOPIC, [("a", str(written).encode())])
            written += 1
            await timers.async_advance(0.06)
        await anyio.wait_all_tasks_blocked()
        behind = written - 1 - int(state.values["a"])
        tasks.cancel_scope.cancel()
    assert behind <= 2


class _PausingStore(MemoryStore):
    """Refuse reads, during which the process is paused."""

    def __init__(self, timers: DrivenTimerService, pause_seconds: float) -> None:
        super().__init__()
        self._timers = timers
        self._pause_seconds = pause_seconds

    async def async_read_newest(self, topic: str, after: str = "") -> NewestPage:
        if self._pause_seconds:
            self._timers.pause(self._pause_seconds)
        raise CallRefusedError("timeout")


@pytest.mark.parametrize("pause_seconds", [0.0, 16.0])
async def test_lost_topic_is_logged_with_the_pause_of_the_process(
    caplog: pytest.LogCaptureFixture, pause_seconds: float
) -> None:
    """Guards against a paused entry whose log reads like a partition."""
    timers = DrivenTimerService()
    timers.pause(5.0)
    follower, _ = build_follower(_PausingStore(timers, pause_seconds), timers)
    assert not await follower.async_catch_up()
    (line,) = [r.getMessage() for r in caplog.records if "topic_lost" in r.message]
    assert float(read_pairs(line)["paused_seconds"]) == pause_seconds
