"""Write log lines without blocking, at a bounded rate and buffer size."""

from __future__ import annotations

import logging
import os
from collections import Counter, deque
from collections.abc import Callable
from typing import Final

MAX_PENDING_LINES: Final = 4000
"""Maximum buffered lines; beyond it the oldest are dropped."""

MAX_LINES_PER_SECOND: Final = 400
"""Limit for lines below warning level; a line takes about 30 us of CPU time."""

MAX_EVENT_SHARE: Final = 0.4
"""Maximum share of the rate for one event. Otherwise the lines of an owner that starts
600 tasks a second would displace the rare ones about the fleet and the shard."""

Write = Callable[[bytes], int]


class BoundedOutput(logging.Handler):
    """Log handler that buffers lines until they can be written.

    With blocking writes, a reader that stops reading would block the process at its
    next line, with no trace in the log. The number of dropped lines is logged.

    :param write: writes bytes without blocking and returns how many were written.
    :param clock: returns monotonic seconds.
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
        self._unwritten = b""
        self._second = -1
        self._count_in_second = 0
        self._counts_by_event: Counter[str] = Counter()
        self.dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Buffer a line; warnings and errors are exempt from the rate limit."""
        if record.levelno < logging.WARNING and not self._is_within_rate(record):
            self.dropped += 1
            return
        if len(self._lines) >= MAX_PENDING_LINES:
            self._lines.popleft()
            self.dropped += 1
        self._lines.append(self.format(record).encode() + b"\n")

    def _is_within_rate(self, record: logging.LogRecord) -> bool:
        second = int(self._clock())
        if second != self._second:
            self._second = second
            self._count_in_second = 0
            self._counts_by_event.clear()
        event = record.getMessage().partition(" ")[0]
        if self._count_in_second >= self._lines_a_second:
            return False
        if self._counts_by_event[event] >= self._lines_a_second * MAX_EVENT_SHARE:
            return False
        self._count_in_second += 1
        self._counts_by_event[event] += 1
        return True

    def flush_some(self) -> None:
        """Write as many buffered bytes as the output accepts now."""
        if self.dropped and len(self._lines) < MAX_PENDING_LINES:
            self._lines.append(
                f"event=log_lines_dropped count={self.dropped}\n".encode()
            )
            self.dropped = 0
        self._unwritten += b"".join(self._lines)
        self._lines.clear()
        while self._unwritten:
            try:
                written = self._write(self._unwritten)
            except BlockingIOError:
                return
            if written <= 0:
                return
            self._unwritten = self._unwritten[written:]


def open_output(descriptor: int) -> Write:
    """Make a file descriptor non-blocking and return a function that writes to it."""
    os.set_blocking(descriptor, False)
    return lambda data: os.write(descriptor, data)
