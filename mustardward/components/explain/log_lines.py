"""Tell a job's story from entries' log lines, and why it waits; pure."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from ...helpers.log_pairs import read_pairs
from ...helpers.logging import format_value
from .models import Story, StoryLine, SubjectKind

WAITING: Final = "task_waiting"
STARTED: Final = "runs_started"
ENDED: Final = "job_ended"

_CAUSES: Final = ("reason", "code", "state", "outcome")
"""The pairs that name why, the first one that a line has."""

_LEFT_OUT: Final = frozenset(("time", "level", "event", "part", "node"))


@dataclass(frozen=True, slots=True)
class StepWait:
    """Hold the last line that told of a step's wait.

    :param at: of that line, in seconds since 1970.
    :param seconds: for how long it had waited by then.
    :param over: whether something of the step started since.
    """

    step: str
    reason: str
    seconds: str
    at: float
    over: bool


def read_story(lines: Iterable[tuple[str, str]], job: str) -> Story:
    """Return what lines tell of a job, in the order of their times.

    :param lines: each with the name of the entry that wrote it; cut ones are left out.
    """
    found = [
        told
        for entry, line in lines
        if job in line and (told := _read(entry, line, job)) is not None
    ]
    ordered = sorted(found, key=lambda line: line.at)
    return Story(SubjectKind.JOB.value, job, tuple(ordered))


def waits_of(story: Story) -> list[StepWait]:
    """Return why each step waits, as it was told last; of a job that is over none."""
    waits: dict[str, StepWait] = {}
    for line in story.lines:
        pairs = read_pairs(" ".join(line.inputs))
        if "job" in pairs:
            continue
        if line.happening == ENDED:
            return []
        if line.happening == WAITING:
            step = pairs.get("step", "")
            seconds = pairs.get("seconds", "")
            waits[step] = StepWait(step, line.cause, seconds, line.at, over=False)
        elif line.happening == STARTED:
            for step, wait in waits.items():
                if f",{step}." in f",{pairs.get('runs', '')}":
                    waits[step] = StepWait(
                        step, wait.reason, wait.seconds, wait.at, over=True
                    )
    return list(waits.values())


def _read(entry: str, line: str, job: str) -> StoryLine | None:
    try:
        pairs = read_pairs(line)
        at = float(pairs["time"])
        event = pairs["event"]
    except (KeyError, ValueError):
        return None
    if not _touches(pairs, job):
        return None
    cause = next((name for name in _CAUSES if name in pairs), "")
    return StoryLine(
        at=at,
        entry=pairs.get("node", entry),
        happening=event,
        cause=pairs.get(cause, ""),
        inputs=tuple(
            f"{name}={format_value(value)}"
            for name, value in pairs.items()
            if name not in _LEFT_OUT and name != cause and value != job
        ),
    )


def _touches(pairs: dict[str, str], job: str) -> bool:
    """Return whether a line is of a job, or names it or a task of it in a pair."""
    return any(
        value == job
        or value.startswith(f"{job}.")
        or f",{job}." in value
        or value.endswith(f"/{job}")
        or f":{job}" in value
        for value in pairs.values()
    )
