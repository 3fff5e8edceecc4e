"""Parse the logs of entries for a day; pure.

A line is parsed from its first ``key=value`` pair, so preceding columns (such as a time
or an entry's name) are ignored. Lines with unrelated events are skipped.
"""

from __future__ import annotations

import re
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from ...helpers.log_pairs import read_pairs
from .day_models import Day, JobRecord, OwnerSample, PoolSample, Resources, RunRecord
from .outages import OutageTracker

_RUN: Final = re.compile(r"(\d+)\.(\d+)\.(\d+):(\d+)@([^+=,\s]+)([+=])([^,\s]*)")
_ESTIMATE: Final = re.compile(r"(\d+)\.(\d+)~(\d+\.\d+)")
_LOST: Final = re.compile(r"([^.,\s]+)\.\d+\.\d+\.\d+:(\d+)=")
_JOINED_LINES: Final = re.compile(r"\S(time=\d+\.?\d* level=)")
"""A line that continues as another one, because bytes in between were lost."""


def read_day(lines: Iterable[str]) -> Day:
    """Return the day that the lines of all entries describe, in any order."""
    day = Day()
    events: list[tuple[float, dict[str, str]]] = []
    for line in lines:
        if _JOINED_LINES.search(line):
            day.cut_lines += 1
            continue
        try:
            pairs = read_pairs(line)
            if "event" in pairs and "time" in pairs:
                events.append((float(pairs["time"]), pairs))
        except ValueError:
            # Usually the last line of an entry that lost power.
            day.cut_lines += 1
    events.sort(key=lambda event: event[0])
    reader = _Reader(day, OutageTracker(day.outages))
    for at, pairs in events:
        reader.read(at, pairs)
    return day


@dataclass(slots=True)
class _Reader:
    """Apply events to a day, in order of time."""

    day: Day
    outages: OutageTracker
    claimed_at: float | None = None

    def read(self, at: float, pairs: dict[str, str]) -> None:
        """Apply one event."""
        event = pairs["event"]
        node = pairs.get("node", "")
        if event == "topic_lost":
            self.outages.record_topic_lost(node, pairs.get("topic", ""), at)
        elif event == "topic_regained":
            self.outages.record_topic_regained(node, pairs.get("topic", ""), at)
        elif event == "node_started":
            self.outages.record_entry_start(node, at)
        elif event == "owner_started":
            self.outages.record_owner_start(node, at)
            self.claimed_at = at
        elif event == "takeover_complete" and self.claimed_at is not None:
            self.day.takeovers.append((self.claimed_at, at))
        else:
            self._read_work(event, pairs, at)

    def _read_work(self, event: str, pairs: dict[str, str], at: float) -> None:
        if event == "pool_load":
            _read_pool(self.day, pairs, at)
        elif event == "owner_load":
            self.day.owners.append(_parse_owner_sample(pairs, at))
        elif event == "move_begun":
            self.day.moves += 1
        else:
            _read_job(self.day, event, pairs, at)


def _read_pool(day: Day, pairs: dict[str, str], at: float) -> None:
    samples = day.pools.setdefault(pairs.get("service", ""), [])
    samples.append(
        PoolSample(
            at,
            int(_value(pairs, "workers")),
            Resources(_value(pairs, "capacity") / 1000, _value(pairs, "memory")),
            Resources(_value(pairs, "lasting") / 1000, _value(pairs, "lasting_mb")),
            int(_value(pairs, "spread")),
        )
    )


def _parse_owner_sample(pairs: dict[str, str], at: float) -> OwnerSample:
    return OwnerSample(
        at,
        pairs.get("node", ""),
        _value(pairs, "lag_seconds"),
        int(_value(pairs, "under_way")),
        int(_value(pairs, "starts_a_second")),
        int(_value(pairs, "ends_a_second")),
    )


def _read_job(day: Day, event: str, pairs: dict[str, str], at: float) -> None:
    if event == "job_submitted":
        record = day.job(pairs.get("job", ""))
        record.queue = pairs.get("queue", "")
        record.service = pairs.get("service", "")
        record.shape = pairs.get("shape", "")
        record.tasks = int(_value(pairs, "tasks"))
        record.long_running = pairs.get("lasting") == "true"
        if pairs.get("outcome") == "stored" and record.submitted_at is None:
            record.submitted_at = at
    elif event == "request_refused":
        name = pairs.get("request", "").rpartition("/")[2]
        day.job(name).refusals += 1
    elif event == "job_ended":
        record = day.job(pairs.get("job", ""))
        record.ended_at = at
        record.state = pairs.get("state", "")
        record.seconds = _value(pairs, "seconds")
        record.objective_seconds = _value(pairs, "objective_seconds")
    elif event in ("runs_started", "runs_ended"):
        record = day.job(pairs.get("job", ""))
        _read_runs(record, pairs.get("runs", ""), at)
        for occurrence, step, seconds in _ESTIMATE.findall(pairs.get("expected", "")):
            record.expected_seconds[(int(occurrence), int(step))] = float(seconds)
    elif event == "worker_lost":
        _read_lost_runs(day, pairs.get("runs", ""), at)
    elif event == "task_suspected" and pairs.get("given_up") == "true":
        day.job(pairs.get("task", "").partition(".")[0]).given_up = True


def _value(pairs: dict[str, str], name: str) -> float:
    """Return a numeric field, or 0 if it is missing or truncated."""
    return _number(pairs.get(name, "0"))


def _number(text: str) -> float:
    try:
        return float(text)
    except ValueError:
        return 0.0


def _read_runs(record: JobRecord, text: str, at: float) -> None:
    for match in _RUN.finditer(text):
        occurrence, step, index, number, worker, sign, rest = match.groups()
        position = (int(occurrence), int(step), int(index))
        if sign == "+":
            wait_seconds, _, expected_seconds = rest.partition("~")
            record.runs[int(number)] = RunRecord(
                position, worker, at, _number(wait_seconds), _number(expected_seconds)
            )
        elif int(number) in record.runs and not rest.endswith("/stray"):
            run = record.runs[int(number)]
            run.ended_at = at
            run.outcome = rest


def _read_lost_runs(day: Day, text: str, at: float) -> None:
    """End the runs that were lost with their worker."""
    for job, number in _LOST.findall(text):
        run = day.job(job).runs.get(int(number))
        if run is not None and not run.outcome:
            run.ended_at = at
            run.outcome = "lost"
