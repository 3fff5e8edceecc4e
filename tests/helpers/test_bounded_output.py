"""Test that logging never waits, and says what it left out."""

from __future__ import annotations

import logging

from mustardward.helpers.bounded_output import MAX_PENDING_LINES, BoundedOutput


class _Reader:
    """Take some bytes at a time, or none."""

    def __init__(self) -> None:
        self.taken = b""
        self.blocked = False

    def write(self, data: bytes) -> int:
        if self.blocked:
            raise BlockingIOError
        self.taken += data[:10]
        return len(data[:10])


def a_line(text: str, level: int = logging.INFO) -> logging.LogRecord:
    return logging.LogRecord("x", level, "x.py", 1, text, None, None)


def test_lines_are_written_whole_and_in_order() -> None:
    reader = _Reader()
    output = BoundedOutput(reader.write, lambda: 0.0)
    output.emit(a_line("event=first a=1"))
    output.emit(a_line("event=second b=2"))
    output.flush_some()
    assert reader.taken == b"event=first a=1\nevent=second b=2\n"


def test_a_reader_that_stops_does_not_stop_the_process() -> None:
    reader = _Reader()
    reader.blocked = True
    output = BoundedOutput(reader.write, lambda: 0.0, max_lines_per_second=10**6)
    for number in range(MAX_PENDING_LINES + 5):
        output.emit(a_line(f"event=line number={number}"))
    output.flush_some()
    reader.blocked = False
    output.flush_some()
    lines = reader.taken.decode().splitlines()
    assert lines[0] == "event=line number=5"
    assert "event=log_lines_dropped count=5" in lines


def test_lines_beyond_the_rate_are_counted_and_warnings_stay() -> None:
    reader = _Reader()
    output = BoundedOutput(reader.write, lambda: 0.0, max_lines_per_second=2)
    for number in range(5):
        output.emit(a_line(f"event=line-{number} number={number}"))
    output.emit(a_line("event=bad", logging.WARNING))
    output.flush_some()
    assert reader.taken.decode().splitlines() == [
        "event=line-0 number=0",
        "event=line-1 number=1",
        "event=bad",
        "event=log_lines_dropped count=3",
    ]


def test_a_frequent_event_leaves_room_for_rare_ones() -> None:
    """What the fleet does can be read at the worst second of load, too.

    Symptom: the log of an owner showed 34 of 100 instances' maintenance. Sequence: its
    workers began and ended 600 tasks a second, a line for each; the second's lines were
    used up. Cause: the first lines of a second were kept, of whatever kind.
    """
    reader = _Reader()
    output = BoundedOutput(reader.write, lambda: 0.0, max_lines_per_second=10)
    for number in range(50):
        output.emit(a_line(f"event=frequent number={number}"))
    output.emit(a_line("event=rare"))
    output.flush_some()
    lines = reader.taken.decode().splitlines()
    assert "event=rare" in lines
    assert sum(line.startswith("event=frequent") for line in lines) == 4
