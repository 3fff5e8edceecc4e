"""Write log lines without ever waiting, and not more than a bound."""

from __future__ import annotations

import logging
import os
from collections import Counter, deque
from collections.abc import Callable
from typing import Final

MAX_PENDING_LINES: Final = 4000
"""Lines that wait for the reader; beyond it the oldest go."""

MAX_LINES_PER_SECOND: Final = 400
"""Ordinary lines a second; one takes some 30 microseconds of the processor."""

EVENT_SHARE: Final = 0.4
"""Most of them that one event may take: an owner that starts 600 tasks a second would
else leave out the rare lines that tell what the fleet and the shard do."""

Write = Callable[[bytes], int]


class BoundedOutput(logging.Handler):
    """Keep lines until they can be written; say how many were left out.

    A reader that stops reading would else stop the process with its next line, which
    shows as a process that hangs for no cause that its log could tell.

    :param write: writes bytes without waiting, and returns how many it took.
    :param clock: returns steady seconds.
    """

    def __init__(
        self,
        write: Write,
        clock: Callable[[], float],
        max_lines_per_second: int = MAX_LINES_PER_SECOND,
    ) -> None:
        super().__init__()
        self._write = write
        self._clock = clock
        self._lines_a_second = max_lines_per_second
        self._lines: deque[bytes] = deque()
        self._rest = b""
        self._second = -1
        self._in_second = 0
        self._by_event: Counter[str] = Counter()
        self.dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Take a line; warnings are taken beyond the rate."""
        if record.levelno < logging.WARNING and not self._has_room(record):
            self.dropped += 1
            return
        if len(self._lines) >= MAX_PENDING_LINES:
            self._lines.popleft()
            self.dropped += 1
        self._lines.append(self.format(record).encode() + b"\n")

    def _has_room(self, record: logging.LogRecord) -> bool:
        second = int(self._clock())
        if second != self._second:
            self._second = second
            self._in_second = 0
            self._by_event.clear()
        event = record.getMessage().partition(" ")[0]
        if self._in_second >= self._lines_a_second:
            return False
        if self._by_event[event] >= self._lines_a_second * EVENT_SHARE:
            return False
        self._in_second += 1
        self._by_event[event] += 1
        return True

    def flush_some(self) -> None:
        """Write what the reader takes now."""
        if self.dropped and len(self._lines) < MAX_PENDING_LINES:
            self._lines.append(
                f"event=log_lines_dropped count={self.dropped}\n".encode()
            )
            self.dropped = 0
        self._rest += b"".join(self._lines)
        self._lines.clear()
        while self._rest:
            try:
                taken = self._write(self._rest)
            except BlockingIOError:
                return
            if taken <= 0:
                return
            self._rest = self._rest[taken:]


def open_output(descriptor: int) -> Write:
    """Return how to write to a descriptor without waiting."""
    os.set_blocking(descriptor, False)
    return lambda data: os.write(descriptor, data)
