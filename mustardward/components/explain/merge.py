"""Merge the parts of one subject's history that entries keep."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

from .models import HistoryLine


def merge_lines(parts: Iterable[Iterable[HistoryLine]]) -> tuple[HistoryLine, ...]:
    """Return all lines in order, without duplicates.

    Every entry applies the same records, so each record is returned once, at the
    earliest time that any entry recorded. Lines of one stream keep the order of the
    log even if the clocks of the entries differ.
    """
    records: dict[tuple[str, str], HistoryLine] = {}
    decisions: list[HistoryLine] = []
    for line in (line for part in parts for line in part):
        if not line.record_id:
            decisions.append(line)
            continue
        key = (line.stream, line.record_id)
        earliest = records.get(key)
        if earliest is None or line.at < earliest.at:
            records[key] = line
    ordered = _in_log_order(records.values())
    return tuple(sorted([*ordered, *decisions], key=lambda line: line.at))


def _in_log_order(lines: Iterable[HistoryLine]) -> list[HistoryLine]:
    # An entry whose clock is behind records an earlier time for a later record; sorted
    # by time alone, a response would precede its request.
    latest: dict[str, float] = {}
    ordered: list[HistoryLine] = []
    for line in sorted(lines, key=lambda item: (item.stream, item.offset)):
        at = max(line.at, latest.get(line.stream, line.at))
        latest[line.stream] = at
        ordered.append(replace(line, at=at))
    return ordered
