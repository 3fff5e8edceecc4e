"""Simulate the platform's store: keyed topics, producers and failures."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from ...platform.boot import DEFAULT_RECORD_BYTES, DEFAULT_REQUEST_BYTES
from ...platform.exceptions import (
    CallRefusedError,
    CallRejectedError,
    CallUnknownError,
    FencedError,
    OffsetGoneError,
    SequenceError,
)
from ...platform.store import KeyedRecord, NewestPage, Page, Producer

PAGE_ITEMS = 500
MAX_REMEMBERED_APPENDS = 5


class StoreMode(Enum):
    """How the store responds to calls."""

    SERVING = "serving"
    REFUSING = "refusing"
    UNRESPONSIVE = "silent"
    LOSING_RESPONSES = "losing_answers"


@dataclass(slots=True)
class _ProducerState:
    """Sequence state of a producer."""

    epoch: int
    next_sequence: int | None = None
    ends: dict[int, int] = field(default_factory=dict)


@dataclass(slots=True)
class _Topic:
    """A topic with a single partition."""

    first: int = 0
    records: list[KeyedRecord] = field(default_factory=list)
    newest: dict[str, KeyedRecord] = field(default_factory=dict)
    producers: dict[str, _ProducerState] = field(default_factory=dict)

    @property
    def end(self) -> int:
        return self.first + len(self.records)


@dataclass(slots=True, eq=False)
class MemoryStore:
    """In-memory store with the interface of the product's client.

    :param mode: how the store responds to calls.
    :param topic_modes: how it responds to calls for single topics, instead of ``mode``.
    :param record_bytes: the largest record that it accepts.
    :param request_bytes: the largest total of the records of one call.
    """

    mode: StoreMode = StoreMode.SERVING
    record_bytes: int = DEFAULT_RECORD_BYTES
    request_bytes: int = DEFAULT_REQUEST_BYTES
    topic_modes: dict[str, StoreMode] = field(default_factory=dict)
    appends: int = 0
    reads: int = 0
    _topics: dict[str, _Topic] = field(default_factory=dict)

    def topic_end(self, topic: str) -> int:
        """Return the offset of the next record."""
        return self._topic(topic).end

    def records_from(self, topic: str, offset: int) -> list[KeyedRecord]:
        """Return the retained records from an offset on, in any mode."""
        partition = self._topic(topic)
        return partition.records[max(0, offset - partition.first) :]

    def append(
        self,
        topic: str,
        records: list[tuple[str, bytes]],
        producer: Producer | None = None,
    ) -> int:
        """Append records and return the end offset, in any mode."""
        partition = self._topic(topic)
        if producer is not None:
            first_end = _check_producer(partition, producer)
            if first_end is not None:
                return first_end
        for key, value in records:
            record = KeyedRecord(partition.end, key, value)
            partition.records.append(record)
            if value:
                partition.newest[key] = record
            else:
                partition.newest.pop(key, None)
        if producer is not None:
            _record_append(partition, producer)
        return partition.end

    def drop_before(self, topic: str, before: int) -> None:
        """Drop the records before an offset, but retain the newest of each key."""
        partition = self._topic(topic)
        count = min(max(0, before - partition.first), len(partition.records))
        del partition.records[:count]
        partition.first += count

    async def async_append(
        self,
        topic: str,
        records: list[tuple[str, bytes]],
        producer: Producer | None = None,
        timeout_seconds: float = 1.0,
    ) -> int:
        """Append records according to the mode."""
        self.appends += 1
        mode = self.topic_modes.get(topic, self.mode)
        if mode is StoreMode.REFUSING:
            raise CallRefusedError("busy")
        if mode is StoreMode.UNRESPONSIVE:
            raise CallUnknownError("silent")
        sizes = [1 + len(key.encode()) + len(value) for key, value in records]
        if max(sizes, default=0) > self.record_bytes or (
            sum(4 + size for size in sizes) > self.request_bytes
        ):
            if mode is StoreMode.LOSING_RESPONSES:
                raise CallUnknownError("answer lost")
            raise CallRejectedError("status=413")
        end = self.append(topic, list(records), producer)
        if mode is StoreMode.LOSING_RESPONSES:
            raise CallUnknownError("answer lost")
        return end

    async def async_read(
        self, topic: str, from_offset: int, wait_ms: int, kilobytes: int = 1024
    ) -> Page:
        """Read without waiting."""
        self._check_readable(topic)
        partition = self._topic(topic)
        if from_offset < partition.first:
            raise OffsetGoneError(partition.first)
        records = partition.records[from_offset - partition.first :]
        return Page(list(records), partition.end, partition.end)

    async def async_read_newest(self, topic: str, after: str = "") -> NewestPage:
        """Read a page of the newest record of each key."""
        self._check_readable(topic)
        partition = self._topic(topic)
        keys = sorted(key for key in partition.newest if key > after)
        page = [partition.newest[key] for key in keys[:PAGE_ITEMS]]
        return NewestPage(page, len(keys) > PAGE_ITEMS, partition.end)

    def _check_readable(self, topic: str) -> None:
        self.reads += 1
        mode = self.topic_modes.get(topic, self.mode)
        if mode in (StoreMode.REFUSING, StoreMode.UNRESPONSIVE):
            raise CallRefusedError(mode.value)

    def _topic(self, topic: str) -> _Topic:
        return self._topics.setdefault(topic, _Topic())


def _check_producer(partition: _Topic, producer: Producer) -> int | None:
    """Return the end offset of a repeated append, or None for a new append.

    :raises FencedError: if the producer has a higher epoch.
    :raises SequenceError: if the sequence number is not the next one.
    """
    state = partition.producers.get(producer.name)
    if state is None or producer.epoch > state.epoch:
        return None
    if producer.epoch < state.epoch:
        raise FencedError("append")
    if producer.sequence in state.ends:
        return state.ends[producer.sequence]
    if producer.sequence != state.next_sequence:
        raise SequenceError(state.next_sequence or 0)
    return None


def _record_append(partition: _Topic, producer: Producer) -> None:
    state = partition.producers.get(producer.name)
    if state is None or producer.epoch > state.epoch:
        state = _ProducerState(producer.epoch)
        partition.producers[producer.name] = state
    state.next_sequence = producer.sequence + 1
    state.ends[producer.sequence] = partition.end
    for number in sorted(state.ends)[:-MAX_REMEMBERED_APPENDS]:
        del state.ends[number]
