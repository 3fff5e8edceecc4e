"""Merge the parts that entries keep of one subject's story."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

from .models import StoryLine


def merge_lines(parts: Iterable[Iterable[StoryLine]]) -> tuple[StoryLine, ...]:
    """Return all lines once, in order.

    Every entry folds the same records, so a record is told once, at the earliest time
    that an entry noted. Lines of one stream keep the log's order whatever the clocks
    of the entries say.
    """
    records: dict[tuple[str, str], StoryLine] = {}
    decisions: list[StoryLine] = []
    for line in (line for part in parts for line in part):
        if not line.record_id:
            decisions.append(line)
            continue
        key = (line.stream, line.record_id)
        known = records.get(key)
        if known is None or line.at < known.at:
            records[key] = line
    ordered = _in_log_order(records.values())
    return tuple(sorted([*ordered, *decisions], key=lambda line: line.at))


def _in_log_order(lines: Iterable[StoryLine]) -> list[StoryLine]:
    # An entry whose clock is ahead notes a later record at an earlier time; sorted by
    # time alone the answer would come before its question.
    latest: dict[str, float] = {}
    ordered: list[StoryLine] = []
    for line in sorted(lines, key=lambda item: (item.stream, item.offset)):
        at = max(line.at, latest.get(line.stream, line.at))
        latest[line.stream] = at
        ordered.append(replace(line, at=at))
    return ordered
