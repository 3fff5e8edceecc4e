"""Say why a day's jobs were late, by what its log lines tell; pure."""

from __future__ import annotations

from collections import Counter, defaultdict
from typing import Final

from .outages import Span
from .stories import Cause, CauseRow, Day, JobStory

SLOW_FACTOR: Final = 1.5
"""A run that took so many times as long as its owner expected was slow."""


def first_starts(day: Day) -> list[float]:
    """Return, sorted, the seconds from each job's submission to its first start."""
    return sorted(
        min(run.started_at for run in story.runs.values()) - story.submitted_at
        for story in day.jobs.values()
        if story.runs and story.submitted_at is not None and not story.lasting
    )


def explain(day: Day) -> list[CauseRow]:
    """Return how many jobs each cause made late, the most frequent first."""
    jobs: Counter[Cause] = Counter()
    tasks: Counter[Cause] = Counter()
    seconds: dict[Cause, float] = defaultdict(float)
    for story in day.jobs.values():
        if story.lasting or story.state == "cancelled":
            continue
        never = not story.state and story.refusals and story.submitted_at is None
        if not story.late and not never:
            continue
        cause = Cause.NOT_ACCEPTED if never else cause_of(story, day)
        jobs[cause] += 1
        tasks[cause] += story.tasks
        seconds[cause] += max(0.0, story.seconds - story.objective)
    return [
        CauseRow(cause, count, tasks[cause], seconds[cause])
        for cause, count in jobs.most_common()
    ]


def cause_of(story: JobStory, day: Day) -> Cause:
    """Return what took most of a late job's time beyond its work."""
    if story.given_up:
        return Cause.GIVEN_UP
    end = story.ended_at or 0.0
    begin = end - story.seconds
    first_seen = story.submitted_at if story.submitted_at is not None else begin
    done = [run for run in story.runs.values() if run.how == "done"]
    again = [run for run in story.runs.values() if run.how not in ("done", "")]
    slow = [
        run.seconds - run.expected
        for run in done
        if run.expected and run.seconds > SLOW_FACTOR * run.expected
    ]
    spent = {
        Cause.STORE_AWAY: _overlap(day.outages, begin, end),
        Cause.OWNER_CHANGED: _overlap(day.takeovers, begin, end),
        Cause.WAITED_FOR_ROOM: _waited(story),
        Cause.RUN_REPEATED: max((run.seconds for run in again), default=0.0),
        Cause.SLOW_RUN: max(slow, default=0.0),
        Cause.NOT_ACCEPTED: max(0.0, first_seen - begin),
    }
    cause = max(spent, key=lambda name: spent[name])
    return cause if spent[cause] > 0 else Cause.OTHER


def _waited(story: JobStory) -> float:
    """Return the longest wait of each step, added up."""
    waits: dict[tuple[int, int], float] = defaultdict(float)
    for run in story.runs.values():
        step = run.place[:2]
        waits[step] = max(waits[step], run.waited)
    return sum(waits.values())


def _overlap(spans: list[Span], begin: float, end: float) -> float:
    return sum(max(0.0, min(end, last) - max(begin, first)) for first, last in spans)
