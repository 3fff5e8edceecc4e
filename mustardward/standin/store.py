"""Store the streams of the simulated log with offsets and retention."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from ..exceptions import OffsetExpiredError
from ..helpers.timer import TimerService
from .protocol.models import LogEntry, LogPage


@dataclass(frozen=True, slots=True)
class Retention:
    """Retention limits of a stream: number of entries and age in seconds."""

    entries: int = 100_000
    seconds: float = 86_400.0


@dataclass(frozen=True, slots=True)
class _StoredEntry:
    """An entry and the time of its append."""

    entry: LogEntry
    appended: float


@dataclass(slots=True, eq=False)
class _Stream:
    """A stream; ``oldest`` is the offset of its first retained entry."""

    entries: deque[_StoredEntry] = field(default_factory=deque)
    tail: int = 0

    @property
    def oldest(self) -> int:
        return self.entries[0].entry.offset if self.entries else self.tail


class LogStore:
    """Store streams of entries with limited retention.

    :param timers: clock for the age of entries.
    """

    def __init__(self, timers: TimerService, retention: Retention) -> None:
        self._timers = timers
        self._retention = retention
        self._streams: dict[str, _Stream] = {}

    def append(self, stream: str, payload: bytes) -> int:
        """Append an entry and return its offset."""
        state = self._stream(stream)
        offset = state.tail
        now = self._timers.monotonic()
        state.entries.append(_StoredEntry(LogEntry(offset, payload), now))
        state.tail = offset + 1
        self._expire(state)
        return offset

    def read(self, stream: str, offset: int, limit: int) -> LogPage:
        """Return up to ``limit`` entries from ``offset`` on.

        :raises OffsetExpiredError: if the entry at ``offset`` has expired.
        """
        state = self._stream(stream)
        self._expire(state)
        if offset < state.oldest:
            raise OffsetExpiredError(state.oldest)
        start = offset - state.oldest
        end = min(len(state.entries), start + limit)
        entries = tuple(state.entries[index].entry for index in range(start, end))
        return LogPage(entries, state.oldest, state.tail)

    def _stream(self, name: str) -> _Stream:
        return self._streams.setdefault(name, _Stream())

    def _expire(self, state: _Stream) -> None:
        earliest = self._timers.monotonic() - self._retention.seconds
        while state.entries and (
            len(state.entries) > self._retention.entries
            or state.entries[0].appended < earliest
        ):
            state.entries.popleft()
