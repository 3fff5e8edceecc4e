"""Test that logging never blocks and reports dropped lines."""

from __future__ import annotations

import logging

from mustardward.helpers.bounded_output import MAX_PENDING_LINES, BoundedOutput


class _Pipe:
    """Accept up to ten bytes at a time, or none."""

    def __init__(self) -> None:
        self.written = b""
        self.blocked = False

    def write(self, data: bytes) -> int:
        if self.blocked:
            raise BlockingIOError
        self.written += data[:10]
        return len(data[:10])


def build_record(text: str, level: int = logging.INFO) -> logging.LogRecord:
    return logging.LogRecord("x", level, "x.py", 1, text, None, None)


def test_lines_are_written_completely_and_in_order() -> None:
    pipe = _Pipe()
    output = BoundedOutput(pipe.write, lambda: 0.0)
    output.emit(build_record("event=first a=1"))
    output.emit(build_record("event=second b=2"))
    output.flush_some()
    assert pipe.written == b"event=first a=1\nevent=second b=2\n"


def test_blocked_reader_does_not_block_the_process() -> None:
    pipe = _Pipe()
    pipe.blocked = True
    output = BoundedOutput(pipe.write, lambda: 0.0, max_lines_per_second=10**6)
    for number in range(MAX_PENDING_LINES + 5):
        output.emit(build_record(f"event=line number={number}"))
    output.flush_some()
    pipe.blocked = False
    output.flush_some()
    lines = pipe.written.decode().splitlines()
    assert lines[0] == "event=line number=5"
    assert "event=log_lines_dropped count=5" in lines


def test_lines_beyond_the_rate_are_counted_and_warnings_are_written() -> None:
    pipe = _Pipe()
    output = BoundedOutput(pipe.write, lambda: 0.0, max_lines_per_second=2)
    for number in range(5):
        output.emit(build_record(f"event=line-{number} number={number}"))
    output.emit(build_record("event=bad", logging.WARNING))
    output.flush_some()
    assert pipe.written.decode().splitlines() == [
        "event=line-0 number=0",
        "event=line-1 number=1",
        "event=bad",
        "event=log_lines_dropped count=3",
    ]


def test_frequent_event_does_not_displace_rare_ones() -> None:
    """Guard against missing lines about the fleet under peak load.

    With 600 tasks started and ended per second, a line for each, the rate limit is
    used up by these lines if it keeps the first ones of any event: an owner's log
    shows only 34 of 100 instances' maintenance.
    """
    pipe = _Pipe()
    output = BoundedOutput(pipe.write, lambda: 0.0, max_lines_per_second=10)
    for number in range(50):
        output.emit(build_record(f"event=frequent number={number}"))
    output.emit(build_record("event=rare"))
    output.flush_some()
    lines = pipe.written.decode().splitlines()
    assert "event=rare" in lines
    assert sum(line.startswith("event=frequent") for line in lines) == 4
