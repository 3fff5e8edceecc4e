"""Hold the streams of the stand-in log: offsets, retention and the rate limit."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from ..exceptions import OffsetExpiredError
from ..helpers.timer import TimerService
from .protocol.models import LogEntry, LogPage


@dataclass(frozen=True, slots=True)
class Retention:
    """Bound what a stream keeps, by number of entries and by age in seconds."""

    entries: int = 100_000
    seconds: float = 86_400.0


@dataclass(frozen=True, slots=True)
class _Kept:
    """Hold one entry with the time of its append."""

    entry: LogEntry
    appended: float


@dataclass(slots=True, eq=False)
class _Stream:
    """Hold one stream; ``oldest`` is the offset of its first kept entry."""

    kept: deque[_Kept] = field(default_factory=deque)
    tail: int = 0

    @property
    def oldest(self) -> int:
        return self.kept[0].entry.offset if self.kept else self.tail


class LogStore:
    """Keep streams of entries for a limited time.

    :param timers: source of the entries' age.
    """

    def __init__(self, timers: TimerService, retention: Retention) -> None:
        self._timers = timers
        self._retention = retention
        self._streams: dict[str, _Stream] = {}

    def append(self, stream: str, payload: bytes) -> int:
        """Append an entry and return its offset."""
        held = self._stream(stream)
        offset = held.tail
        now = self._timers.monotonic()
        held.kept.append(_Kept(LogEntry(offset, payload), now))
        held.tail = offset + 1
        self._expire(held)
        return offset

    def read(self, stream: str, offset: int, limit: int) -> LogPage:
        """Return up to ``limit`` entries from ``offset`` on.

        :raises OffsetExpiredError: if ``offset`` was dropped.
        """
        held = self._stream(stream)
        self._expire(held)
        if offset < held.oldest:
            raise OffsetExpiredError(held.oldest)
        start = offset - held.oldest
        end = min(len(held.kept), start + limit)
        entries = tuple(held.kept[index].entry for index in range(start, end))
        return LogPage(entries, held.oldest, held.tail)

    def _stream(self, name: str) -> _Stream:
        return self._streams.setdefault(name, _Stream())

    def _expire(self, held: _Stream) -> None:
        earliest = self._timers.monotonic() - self._retention.seconds
        while held.kept and (
            len(held.kept) > self._retention.entries or held.kept[0].appended < earliest
        ):
            held.kept.popleft()
