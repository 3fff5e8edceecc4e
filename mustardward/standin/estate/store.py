"""Play the platform's store in memory: keyed topics, producers, and its failures."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from ...platform.exceptions import (
    CallRefusedError,
    CallUnknownError,
    FencedError,
    OffsetGoneError,
    SequenceError,
)
from ...platform.store import KeyedRecord, NewestPage, Page, Producer

PAGE_ITEMS = 500
KEPT_APPENDS = 5


class Mood(Enum):
    """Say how the store treats calls."""

    SERVING = "serving"
    REFUSING = "refusing"
    SILENT = "silent"
    LOSING_ANSWERS = "losing_answers"


@dataclass(slots=True)
class _ProducerState:
    """Hold what the log knows of a producer."""

    epoch: int
    next_sequence: int | None = None
    ends: dict[int, int] = field(default_factory=dict)


@dataclass(slots=True)
class _Topic:
    """Hold one topic with a single partition."""

    first: int = 0
    records: list[KeyedRecord] = field(default_factory=list)
    newest: dict[str, KeyedRecord] = field(default_factory=dict)
    producers: dict[str, _ProducerState] = field(default_factory=dict)

    @property
    def end(self) -> int:
        return self.first + len(self.records)


@dataclass(slots=True, eq=False)
class MemoryStore:
    """Play the store's calls as the product's client offers them.

    :param mood: how calls are treated from now on.
    """

    mood: Mood = Mood.SERVING
    appends: int = 0
    reads: int = 0
    _topics: dict[str, _Topic] = field(default_factory=dict)

    def topic_end(self, topic: str) -> int:
        """Return the offset that the next record gets."""
        return self._topic(topic).end

    def records_from(self, topic: str, offset: int) -> list[KeyedRecord]:
        """Return the records that are kept from an offset on, whatever the mood."""
        held = self._topic(topic)
        return held.records[max(0, offset - held.first) :]

    def append(
        self,
        topic: str,
        records: list[tuple[str, bytes]],
        producer: Producer | None = None,
    ) -> int:
        """Append records and return the end, whatever the mood."""
        held = self._topic(topic)
        if producer is not None:
            repeat = _check(held, producer)
            if repeat is not None:
                return repeat
        for key, value in records:
            record = KeyedRecord(held.end, key, value)
            held.records.append(record)
            if value:
                held.newest[key] = record
            else:
                held.newest.pop(key, None)
        if producer is not None:
            _note(held, producer)
        return held.end

    def forget(self, topic: str, before: int) -> None:
        """Drop the records before an offset; the newest of each key stays."""
        held = self._topic(topic)
        count = min(max(0, before - held.first), len(held.records))
        del held.records[:count]
        held.first += count

    async def async_append(
        self,
        topic: str,
        records: list[tuple[str, bytes]],
        producer: Producer | None = None,
        timeout_seconds: float = 1.0,
    ) -> int:
        """Append as a caller sees it."""
        self.appends += 1
        if self.mood is Mood.REFUSING:
            raise CallRefusedError("busy")
        if self.mood is Mood.SILENT:
            raise CallUnknownError("silent")
        end = self.append(topic, list(records), producer)
        if self.mood is Mood.LOSING_ANSWERS:
            raise CallUnknownError("answer lost")
        return end

    async def async_read(
        self, topic: str, from_offset: int, wait_ms: int, kilobytes: int = 1024
    ) -> Page:
        """Read without waiting."""
        self._read()
        held = self._topic(topic)
        if from_offset < held.first:
            raise OffsetGoneError(held.first)
        records = held.records[from_offset - held.first :]
        return Page(list(records), held.end, held.end)

    async def async_read_newest(self, topic: str, after: str = "") -> NewestPage:
        """Read a page of the newest record of each key."""
        self._read()
        held = self._topic(topic)
        keys = sorted(key for key in held.newest if key > after)
        page = [held.newest[key] for key in keys[:PAGE_ITEMS]]
        return NewestPage(page, len(keys) > PAGE_ITEMS, held.end)

    def _read(self) -> None:
        self.reads += 1
        if self.mood in (Mood.REFUSING, Mood.SILENT):
            raise CallRefusedError(self.mood.value)

    def _topic(self, topic: str) -> _Topic:
        return self._topics.setdefault(topic, _Topic())


def _check(held: _Topic, producer: Producer) -> int | None:
    """Return the first answer of a repeated append, or None if this one is new.

    :raises FencedError: if a higher epoch was seen.
    :raises SequenceError: if the number does not follow.
    """
    state = held.producers.get(producer.name)
    if state is None or producer.epoch > state.epoch:
        return None
    if producer.epoch < state.epoch:
        raise FencedError("append")
    if producer.sequence in state.ends:
        return state.ends[producer.sequence]
    if producer.sequence != state.next_sequence:
        raise SequenceError(state.next_sequence or 0)
    return None


def _note(held: _Topic, producer: Producer) -> None:
    state = held.producers.get(producer.name)
    if state is None or producer.epoch > state.epoch:
        state = _ProducerState(producer.epoch)
        held.producers[producer.name] = state
    state.next_sequence = producer.sequence + 1
    state.ends[producer.sequence] = held.end
    for number in sorted(state.ends)[:-KEPT_APPENDS]:
        del state.ends[number]
