"""Read a job's history, and why it waits, from the log lines of entries; pure."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from ...helpers.log_pairs import read_pairs
from ...helpers.logging import format_value
from .models import HistoryLine, SubjectHistory, SubjectKind

WAITING: Final = "task_waiting"
STARTED: Final = "runs_started"
ENDED: Final = "job_ended"

_CAUSE_FIELDS: Final = ("reason", "code", "state", "outcome")
"""Log fields that may hold the cause; the first one present in a line is used."""

_OMITTED_FIELDS: Final = frozenset(("time", "level", "event", "part", "node"))


@dataclass(frozen=True, slots=True)
class LatestWait:
    """Hold the most recently logged wait of a step.

    :param at: time of the log line, in seconds since 1970.
    :param seconds: how long the step had waited by then.
    :param over: whether a run of the step has started since.
    """

    step: str
    reason: str
    seconds: str
    at: float
    over: bool


def read_history(lines: Iterable[tuple[str, str]], job: str) -> SubjectHistory:
    """Return the log lines that concern a job, in order of time.

    :param lines: pairs of entry name and log line; truncated lines are skipped.
    """
    found = [
        parsed
        for entry, line in lines
        if job in line and (parsed := _parse_line(entry, line, job)) is not None
    ]
    ordered = sorted(found, key=lambda line: line.at)
    return SubjectHistory(SubjectKind.JOB.value, job, tuple(ordered))


def get_latest_waits(history: SubjectHistory) -> list[LatestWait]:
    """Return the latest wait of each step; none if the job has ended."""
    waits: dict[str, LatestWait] = {}
    for line in history.lines:
        pairs = read_pairs(" ".join(line.inputs))
        if "job" in pairs:
            continue
        if line.happening == ENDED:
            return []
        if line.happening == WAITING:
            step = pairs.get("step", "")
            seconds = pairs.get("seconds", "")
            waits[step] = LatestWait(step, line.cause, seconds, line.at, over=False)
        elif line.happening == STARTED:
            for step, wait in waits.items():
                if f",{step}." in f",{pairs.get('runs', '')}":
                    waits[step] = LatestWait(
                        step, wait.reason, wait.seconds, wait.at, over=True
                    )
    return list(waits.values())


def _parse_line(entry: str, line: str, job: str) -> HistoryLine | None:
    try:
        pairs = read_pairs(line)
        at = float(pairs["time"])
        event = pairs["event"]
    except (KeyError, ValueError):
        return None
    if not _concerns_job(pairs, job):
        return None
    cause = next((name for name in _CAUSE_FIELDS if name in pairs), "")
    return HistoryLine(
        at=at,
        entry=pairs.get("node", entry),
        happening=event,
        cause=pairs.get(cause, ""),
        inputs=tuple(
            f"{name}={format_value(value)}"
            for name, value in pairs.items()
            if name not in _OMITTED_FIELDS and name != cause and value != job
        ),
    )


def _concerns_job(pairs: dict[str, str], job: str) -> bool:
    """Return whether any field of a line names a job or one of its tasks."""
    return any(
        value == job
        or value.startswith(f"{job}.")
        or f",{job}." in value
        or value.endswith(f"/{job}")
        or f":{job}" in value
        for value in pairs.values()
    )
