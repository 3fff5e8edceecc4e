"""Test the log lines of unreadable records."""

from __future__ import annotations

import msgspec
import pytest

from mustardward.components.ownership.directory import WorkerDirectory
from mustardward.helpers.log_pairs import read_pairs
from mustardward.helpers.unreadable_records import report_unreadable_record
from mustardward.platform.store import KeyedRecord

from ..platform.odd_values import odd_fields
from ..platform.test_entries import GOOD

MAX_LINE_LENGTH = 4096


def test_each_rejected_entry_of_a_worker_is_logged_in_one_short_line(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guard against a log that a single record fills, or that does not name it."""
    directory = WorkerDirectory(
        lambda worker, entry: None, lambda worker: None, lambda worker: None
    )
    valid = {name: msgspec.json.encode(value) for name, value in GOOD.items()}
    for number, value in enumerate(odd_fields(5, valid)):
        directory.apply(KeyedRecord(number, f"line-{number}", value))
        lines = [record.getMessage() for record in caplog.records]
        caplog.clear()
        if f"line-{number}" in directory.entries:
            assert not lines
            continue
        (line,) = lines
        assert len(line.splitlines()) == 1 and len(line) <= MAX_LINE_LENGTH
        assert read_pairs(line)["key"] == f"line-{number}"
        assert read_pairs(line)["detail"]


@pytest.mark.parametrize("text", ["x" * 300_000, "\r\nevent=forged", "\ud800", "\0"])
def test_a_line_is_short_whatever_key_and_detail_hold(
    text: str, caplog: pytest.LogCaptureFixture
) -> None:
    report_unreadable_record("worker", text, text)
    (record,) = caplog.records
    line = record.getMessage()
    assert len(line.splitlines()) == 1 and len(line) <= MAX_LINE_LENGTH
    assert read_pairs(line)["event"] == "record_unreadable"
