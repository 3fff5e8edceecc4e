"""Follow a keyed topic: its newest records first, then its tail."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import anyio

from ...helpers.logging import get_logger
from ...helpers.timer import TimerService
from ...platform.exceptions import CallRefusedError, CallUnknownError, OffsetGoneError
from ...platform.store import KeyedRecord, Page, StoreClient
from .const import (
    MAX_POLL_MS,
    MAX_READS_PER_SECOND,
    MIN_POLL_MS,
    RETRY_DELAY_SECONDS,
)

_LOGGER = get_logger(__name__)

_READ_FAILURES = (CallRefusedError, CallUnknownError)


def idle_poll_interval(least: float, entries: int) -> float:
    """Return the time between two reads of an entry that only has to keep up.

    Load pattern: a topic that changes all the time answers each read at once, and 97
    entries made 35 reads for each job, of which callers saw nothing: who asks for a
    job that is not over has the log's end read for it.
    """
    return max(least, entries / MAX_READS_PER_SECOND)


def poll_timeout_ms(entries: int) -> int:
    """Return how long a read waits for the next record.

    The shorter, the sooner a cut is noticed; but all entries poll, and share what the
    store answers.
    """
    shared = int(1000 * entries / MAX_READS_PER_SECOND)
    return min(MAX_POLL_MS, max(MIN_POLL_MS, shared))


@dataclass(slots=True)
class _Load:
    """Hold how far the newest records of all keys were read.

    :param first_end: the log's end when the first page was read, or -1.
    :param after: the key that the next page begins behind.
    """

    first_end: int = -1
    found: list[KeyedRecord] = field(default_factory=list)
    after: str = ""
    complete: bool = False


@dataclass(slots=True, eq=False)
class TopicFollower:
    """Keep a fold of a keyed topic up to date.

    :param apply: folds one record; an empty value means that the key is gone.
    :param keys: returns the keys that the fold holds, to find those that went while
        their records were not to be had.
    :param gap_seconds: shortest time between two reads of the tail.
    :param entries: returns how many entries follow the topic.
    :param paced: whether the gap grows with their number, unless one is in a hurry: for
        a topic that changes all the time.
    :param watchers: called with each record of the tail, once it is folded.
    :param node: names this entry in the lines that tell of an outage: what one entry
        lost and what all lost are told apart by it.
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
    _hurry_gap: float | None = None
    _loaded: anyio.Event = field(default_factory=anyio.Event)
    _confirming: anyio.Lock = field(default_factory=anyio.Lock)
    _loading: anyio.Lock = field(default_factory=anyio.Lock)
    _load: _Load = field(default_factory=_Load)

    @property
    def loaded(self) -> bool:
        """Return whether the fold was complete once."""
        return self.up_to_date_at >= 0

    def override_interval(self, interval_seconds: float | None) -> None:
        """Read with this gap, however many entries do; None ends the hurry."""
        self._hurry_gap = interval_seconds

    async def async_wait_loaded(self) -> None:
        """Wait until the fold was complete once."""
        await self._loaded.wait()

    async def async_run(self) -> None:
        """Follow the topic for ever."""
        while True:
            sent_at = self.timers.monotonic()
            try:
                if self.offset < 0:
                    await self.async_load()
                else:
                    # A long poll that is sent into an outage hangs on when it is over.
                    failing = self.failing_since is not None
                    wait_ms = 0 if failing else poll_timeout_ms(self.entries())
                    await self._async_read(wait_ms)
            except OffsetGoneError as error:
                _LOGGER.warning("history_gone", topic=self.topic, first=error.first)
                self.offset = -1
                continue
            except _READ_FAILURES as error:
                self._failed(error.detail, sent_at)
                await self.timers.async_sleep(RETRY_DELAY_SECONDS)
                continue
            await self.timers.async_sleep(self._gap())

    def _gap(self) -> float:
        if self._hurry_gap is not None:
            return self._hurry_gap
        return idle_poll_interval(
            self.interval_seconds, self.entries() if self.scale_interval else 0
        )

    async def async_catch_up(self) -> bool:
        """Read up to the present end; return whether that was possible.

        Calls that come while one is under way share the next one.
        """
        asked_at = self.timers.monotonic()
        async with self._confirming:
            if self.up_to_date_at > asked_at:
                return True
            sent_at = self.timers.monotonic()
            try:
                if self.offset < 0:
                    await self.async_load()
                else:
                    while not await self._async_read(0):
                        pass
            except OffsetGoneError:
                self.offset = -1
                return False
            except _READ_FAILURES as error:
                self._failed(error.detail, sent_at)
                return False
        return True

    async def async_load(self) -> None:
        """Fold the newest record of each key, and forget the keys that are gone.

        A page that fails is asked for again, not all before it: entries that come back
        together over narrow links would else never have all pages in one go.
        """
        async with self._loading:
            if self.offset >= 0:
                return
            sent_at = self.timers.monotonic()
            load = self._load
            while not load.complete:
                page = await self.store.async_newest(self.topic, load.after)
                if load.first_end < 0:
                    load.first_end = page.end
                load.found.extend(page.records)
                load.complete = not page.more or page.after in ("", load.after)
                load.after = page.after
            self._load = _Load()
            self._fold_load(load)
            self._succeeded(sent_at)

    def _fold_load(self, load: _Load) -> None:
        # The pages are no snapshot: what changed meanwhile lies behind the end that
        # the first one named, and is read again from there.
        for key in set(self.keys()) - {record.key for record in load.found}:
            self.apply(KeyedRecord(load.first_end, key, b""))
        for record in sorted(load.found, key=lambda record: record.offset):
            self.apply(record)
        self.offset = load.first_end

    async def _async_read(self, wait_ms: int) -> bool:
        sent_at = self.timers.monotonic()
        page = await self.store.async_read(self.topic, self.offset, wait_ms)
        self._fold(page)
        if page.next_offset < page.end:
            return False
        self._succeeded(sent_at)
        return True

    def _fold(self, page: Page) -> None:
        fresh = [record for record in page.records if record.offset >= self.offset]
        for record in fresh:
            self.apply(record)
            for watch in self.record_listeners:
                watch(record)
        self.offset = max(self.offset, page.next_offset)
        if fresh and self.on_change is not None:
            self.on_change()

    def _succeeded(self, sent_at: float) -> None:
        if self.failing_since is not None:
            lost = self.timers.monotonic() - self.failing_since
            _LOGGER.info(
                "topic_regained", node=self.node, topic=self.topic, lost_seconds=lost
            )
            self.failing_since = None
        self.up_to_date_at = max(self.up_to_date_at, sent_at)
        self._loaded.set()

    def _failed(self, detail: str, sent_at: float) -> None:
        if self.failing_since is None:
            # Nothing was heard since the call was sent: counted from its timeout on, an
            # entry that is cut off asked for callers for that much longer.
            self.failing_since = sent_at
            _LOGGER.warning(
                "topic_lost", node=self.node, topic=self.topic, detail=detail
            )
