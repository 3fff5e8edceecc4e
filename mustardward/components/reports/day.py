"""Determine from a day's log lines why jobs were late; pure."""

from __future__ import annotations

from collections import Counter, defaultdict
from typing import Final

from .day_models import Cause, CauseRow, Day, JobRecord, RunRecord
from .outages import Span

SLOW_FACTOR: Final = 1.5
"""A run is slow if it took more than this multiple of the expected time."""


def compute_start_delays(day: Day) -> list[float]:
    """Return the sorted seconds from each job's submission to its first start."""
    return sorted(
        min(run.started_at for run in record.runs.values()) - record.submitted_at
        for record in day.jobs.values()
        if record.runs and record.submitted_at is not None and not record.long_running
    )


def count_delay_causes(day: Day) -> list[CauseRow]:
    """Return the number of late jobs by cause, most frequent first."""
    jobs: Counter[Cause] = Counter()
    tasks: Counter[Cause] = Counter()
    seconds: dict[Cause, float] = defaultdict(float)
    for record in day.jobs.values():
        if record.long_running or record.state == "cancelled":
            continue
        not_accepted = (
            not record.state and record.refusals and record.submitted_at is None
        )
        if not record.late and not not_accepted:
            continue
        cause = Cause.NOT_ACCEPTED if not_accepted else find_delay_cause(record, day)
        jobs[cause] += 1
        tasks[cause] += record.tasks
        seconds[cause] += max(0.0, record.seconds - record.objective_seconds)
    return [
        CauseRow(cause, count, tasks[cause], seconds[cause])
        for cause, count in jobs.most_common()
    ]


def find_delay_cause(record: JobRecord, day: Day) -> Cause:
    """Return the cause of most of a late job's time beyond its work."""
    if record.given_up:
        return Cause.GIVEN_UP
    end = record.ended_at or 0.0
    start = end - record.seconds
    accepted_at = record.submitted_at if record.submitted_at is not None else start
    done = [run for run in record.runs.values() if run.outcome == "done"]
    repeated = [run for run in record.runs.values() if run.outcome not in ("done", "")]
    long = [
        run
        for run in done
        if run.expected_seconds and run.seconds > SLOW_FACTOR * run.expected_seconds
    ]
    # Siblings show whether a run was longer than others or all were underestimated.
    slow = [run.seconds - run.expected_seconds for run in long if _is_slow(run, record)]
    underestimated = [
        run.seconds - run.expected_seconds for run in long if not _is_slow(run, record)
    ]
    delays = {
        Cause.STORE_UNAVAILABLE: _overlap_seconds(day.outages, start, end),
        Cause.OWNER_CHANGED: _overlap_seconds(day.takeovers, start, end),
        Cause.WAITED_FOR_ROOM: _wait_seconds(record),
        Cause.RUN_REPEATED: max((run.seconds for run in repeated), default=0.0),
        Cause.SLOW_RUN: max(slow, default=0.0),
        Cause.WRONG_DECLARATION: max(underestimated, default=0.0),
        Cause.NOT_ACCEPTED: max(0.0, accepted_at - start),
    }
    cause = max(delays, key=lambda name: delays[name])
    return cause if delays[cause] > 0 else Cause.OTHER


def _is_slow(run: RunRecord, record: JobRecord) -> bool:
    """Return whether a run was slow by what became known of its step."""
    expected = record.expected_seconds.get(run.position[:2], 0.0)
    return run.seconds > SLOW_FACTOR * expected


def _wait_seconds(record: JobRecord) -> float:
    """Return the sum of the longest waits of the steps."""
    waits: dict[tuple[int, int], float] = defaultdict(float)
    for run in record.runs.values():
        step = run.position[:2]
        waits[step] = max(waits[step], run.wait_seconds)
    return sum(waits.values())


def _overlap_seconds(spans: list[Span], start: float, end: float) -> float:
    return sum(max(0.0, min(end, last) - max(start, first)) for first, last in spans)
