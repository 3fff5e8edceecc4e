"""Follow a keyed topic: load the newest record of each key, then read the tail."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import anyio

from ...helpers.logging import get_logger
from ...helpers.timer import TimerService
from ...platform.exceptions import CallRefusedError, CallUnknownError, OffsetGoneError
from ...platform.store import KeyedRecord, Page, StoreClient
from .const import (
    BUSY_POLL_MS,
    CATCH_UP_INTERVAL_SECONDS,
    MAX_POLL_MS,
    MAX_READS_PER_SECOND,
    MAX_TIMED_PAGE_BYTES,
    MIN_POLL_MS,
    RETRY_DELAY_SECONDS,
)
from .store_latency import StoreLatency

_LOGGER = get_logger(__name__)

_READ_FAILURES = (CallRefusedError, CallUnknownError)


def idle_poll_interval(min_seconds: float, entries: int) -> float:
    """Return the interval between two background reads, in seconds.

    A topic that changes constantly answers each long poll at once: 97 entry nodes made
    35 reads per job. Callers gain nothing from these, since a query for an unfinished
    job reads up to the end of the log anyway.
    """
    return max(min_seconds, entries / MAX_READS_PER_SECOND)


def poll_timeout_ms(entries: int) -> int:
    """Return how long a read waits for the next record, in milliseconds.

    A shorter timeout detects a partition sooner, but all entry nodes poll and share the
    store's read capacity.
    """
    share_ms = int(1000 * entries / MAX_READS_PER_SECOND)
    return min(MAX_POLL_MS, max(MIN_POLL_MS, share_ms))


@dataclass(slots=True)
class _PartialLoad:
    """Hold the pages read so far of the newest records of all keys.

    :param first_end: end offset of the log when the first page was read, or -1.
    :param after: last key of the pages read; the next page begins after it.
    """

    first_end: int = -1
    records: list[KeyedRecord] = field(default_factory=list)
    after: str = ""
    complete: bool = False


@dataclass(slots=True, eq=False)
class TopicFollower:
    """Keep a state that is derived from a keyed topic up to date.

    :param apply: applies one record; an empty value deletes the key.
    :param keys: returns the keys in the state, to find those that were deleted while
        the records were not available.
    :param interval_seconds: minimum interval between two reads of the tail.
    :param entries: returns how many entry nodes follow the topic.
    :param node: name of this entry node, for the log lines about an outage: it tells an
        outage of one node from an outage of all.
    :param scale_interval: whether the interval grows with the number of entry nodes
        unless it is overridden; for a topic that changes constantly.
    :param up_to_date_at: steady clock as of which the state is up to date, in seconds,
        or negative before the first load.
    :param failing_since: steady clock since which calls fail, in seconds, or None.
    :param record_listeners: called with each record of the tail, once it is applied.
    :param latency: is told how long the reads take.
    """

    store: StoreClient
    timers: TimerService
    topic: str
    apply: Callable[[KeyedRecord], None]
    keys: Callable[[], Iterable[str]]
    interval_seconds: float
    entries: Callable[[], int] = lambda: 1
    node: str = ""
    scale_interval: bool = False
    offset: int = -1
    up_to_date_at: float = -1.0
    failing_since: float | None = None
    on_change: Callable[[], None] | None = None
    record_listeners: list[Callable[[KeyedRecord], None]] = field(default_factory=list)
    latency: StoreLatency = field(default_factory=StoreLatency)
    _interval_override: float | None = None
    _has_news: bool = False
    _loaded: anyio.Event = field(default_factory=anyio.Event)
    _catch_up_lock: anyio.Lock = field(default_factory=anyio.Lock)
    _load_lock: anyio.Lock = field(default_factory=anyio.Lock)
    _load: _PartialLoad = field(default_factory=_PartialLoad)

    @property
    def loaded(self) -> bool:
        """Return whether the state was loaded completely at least once."""
        return self.up_to_date_at >= 0

    def override_interval(self, interval_seconds: float | None) -> None:
        """Use a fixed interval between reads; None restores the default one."""
        self._interval_override = interval_seconds

    async def async_wait_loaded(self) -> None:
        """Wait until the state was loaded completely at least once."""
        await self._loaded.wait()

    async def async_run(self) -> None:
        """Follow the topic until cancelled."""
        while True:
            sent_at = self.timers.monotonic()
            is_behind = False
            try:
                if self.offset < 0:
                    await self.async_load()
                else:
                    is_behind = not await self._async_read(self._wait_ms())
            except OffsetGoneError as error:
                _LOGGER.warning(
                    "topic_history_expired", topic=self.topic, first=error.first
                )
                self.offset = -1
                continue
            except _READ_FAILURES as error:
                self._mark_failed(error.detail, sent_at)
                await self.timers.async_sleep(RETRY_DELAY_SECONDS)
                continue
            interval = self._interval()
            if is_behind:
                interval = min(interval, CATCH_UP_INTERVAL_SECONDS)
            await self.timers.async_sleep(interval)

    def _wait_ms(self) -> int:
        """Return how long the next read waits for a record, in milliseconds.

        A long poll sent during an outage would still hang after its end. While the
        store is slow, one without a wait shows sooner that it has recovered.
        """
        if self.failing_since is not None or self._is_store_slow():
            return 0
        if self._has_news:
            # Most likely there is more soon. A read that is late then shows after a
            # short time that the store is slow.
            return BUSY_POLL_MS
        return poll_timeout_ms(self.entries())

    def _is_store_slow(self) -> bool:
        return self.latency.is_slow(self.timers.monotonic())

    def _interval(self) -> float:
        if self._interval_override is not None:
            return self._interval_override
        # Without a wait, only the interval limits the reads.
        scaled = self.scale_interval or self._is_store_slow()
        return idle_poll_interval(
            self.interval_seconds, self.entries() if scaled else 0
        )

    async def async_catch_up(self) -> bool:
        """Read up to the current end of the log; return whether that succeeded.

        A load is followed by a read of the tail: its pages are of different times, so
        that one may show an owner's claim and another lack a record from before it.

        Calls made while a read is in progress share the next one.
        """
        requested_at = self.timers.monotonic()
        async with self._catch_up_lock:
            if self.up_to_date_at > requested_at:
                return True
            sent_at = self.timers.monotonic()
            try:
                if self.offset < 0:
                    await self.async_load()
                while not await self._async_read(0):
                    pass
            except OffsetGoneError:
                self.offset = -1
                return False
            except _READ_FAILURES as error:
                self._mark_failed(error.detail, sent_at)
                return False
        return True

    async def async_load(self) -> None:
        """Apply the newest record of each key, and delete the keys that are gone.

        After a failure the load resumes at the page that failed: entry nodes that
        restart together over slow links would otherwise never get all pages at once.
        """
        async with self._load_lock:
            if self.offset >= 0:
                return
            sent_at = self.timers.monotonic()
            load = self._load
            while not load.complete:
                page = await self.store.async_read_newest(self.topic, load.after)
                if load.first_end < 0:
                    load.first_end = page.end
                load.records.extend(page.records)
                load.complete = not page.more or page.after in ("", load.after)
                load.after = page.after
            self._load = _PartialLoad()
            self._apply_load(load)
            self._mark_succeeded(sent_at)

    def _apply_load(self, load: _PartialLoad) -> None:
        # The pages are not a consistent snapshot. Records that changed meanwhile are
        # after the end offset of the first page, and are read again from there.
        for key in set(self.keys()) - {record.key for record in load.records}:
            self.apply(KeyedRecord(load.first_end, key, b""))
        for record in sorted(load.records, key=lambda record: record.offset):
            self.apply(record)
        self.offset = load.first_end

    async def _async_read(self, wait_ms: int) -> bool:
        sent_at = self.timers.monotonic()
        page = await self._async_read_timed(sent_at, wait_ms)
        self._has_news = bool(page.records)
        self._apply_page(page)
        if page.next_offset < page.end:
            return False
        self._mark_succeeded(sent_at)
        return True

    async def _async_read_timed(self, sent_at: float, wait_ms: int) -> Page:
        """Read a page, and record how long the store took."""
        wait_seconds = wait_ms / 1000
        token = self.latency.begin_call(sent_at, wait_seconds)
        try:
            page = await self.store.async_read(self.topic, self.offset, wait_ms)
        except _READ_FAILURES:
            self.latency.record_failed_read(sent_at, self.timers.monotonic())
            raise
        finally:
            self.latency.end_call(token)
        if sum(len(record.value) for record in page.records) <= MAX_TIMED_PAGE_BYTES:
            now = self.timers.monotonic()
            has_records = bool(page.records)
            self.latency.record_read(sent_at, now, wait_seconds, has_records)
        return page

    def _apply_page(self, page: Page) -> None:
        fresh = [record for record in page.records if record.offset >= self.offset]
        for record in fresh:
            self.apply(record)
            for listener in self.record_listeners:
                listener(record)
        self.offset = max(self.offset, page.next_offset)
        if fresh and self.on_change is not None:
            self.on_change()

    def _mark_succeeded(self, sent_at: float) -> None:
        if self.failing_since is not None:
            outage_seconds = self.timers.monotonic() - self.failing_since
            _LOGGER.info(
                "topic_regained",
                node=self.node,
                topic=self.topic,
                lost_seconds=outage_seconds,
            )
            self.failing_since = None
        self.up_to_date_at = max(self.up_to_date_at, sent_at)
        self._loaded.set()

    def _mark_failed(self, detail: str, sent_at: float) -> None:
        if self.failing_since is None:
            # The outage counts from when the failed call was sent. Counted from its
            # timeout, a partitioned entry node would stay ready for callers longer.
            self.failing_since = sent_at
            _LOGGER.warning(
                "topic_lost",
                node=self.node,
                topic=self.topic,
                detail=detail,
                paused_seconds=self.timers.paused_seconds_since(sent_at),
            )
