"""Read entries' logs of a day; pure.

A line is read from its first ``key=value`` pair on, so that columns before it (a time,
an entry's name) do not matter. Lines that say nothing of these matters are left out.
"""

from __future__ import annotations

import re
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from ...helpers.log_pairs import read_pairs
from .outages import Outages
from .stories import Amount, Day, JobStory, OwnerLook, PoolLook, RunStory

_RUN: Final = re.compile(r"(\d+)\.(\d+)\.(\d+):(\d+)@([^+=,\s]+)([+=])([^,\s]*)")
_LOST: Final = re.compile(r"([^.,\s]+)\.\d+\.\d+\.\d+:(\d+)=")
_GLUED: Final = re.compile(r"\S(time=\d+\.?\d* level=)")
"""Where a line goes on as another one, since bytes between them were lost."""


def read_day(lines: Iterable[str]) -> Day:
    """Return what the lines of all entries tell, in whichever order they stand."""
    day = Day()
    events: list[tuple[float, dict[str, str]]] = []
    for line in lines:
        if _GLUED.search(line):
            day.cut_lines += 1
            continue
        try:
            pairs = read_pairs(line)
            if "event" in pairs and "time" in pairs:
                events.append((float(pairs["time"]), pairs))
        except ValueError:
            # The last line of an entry that lost power, mostly.
            day.cut_lines += 1
    events.sort(key=lambda event: event[0])
    reader = _Reader(day, Outages(day.outages))
    for at, pairs in events:
        reader.read(at, pairs)
    return day


@dataclass(slots=True)
class _Reader:
    """Fold events into a day, in the order of their times."""

    day: Day
    outages: Outages
    claimed_at: float | None = None

    def read(self, at: float, pairs: dict[str, str]) -> None:
        """Take in one event."""
        event = pairs["event"]
        node = pairs.get("node", "")
        if event == "topic_lost":
            self.outages.lost(node, pairs.get("topic", ""), at)
        elif event == "topic_regained":
            self.outages.regained(node, pairs.get("topic", ""), at)
        elif event == "node_started":
            self.outages.entry_started(node, at)
        elif event == "owner_started":
            self.outages.owner_started(node, at)
            self.claimed_at = at
        elif event == "takeover_complete" and self.claimed_at is not None:
            self.day.takeovers.append((self.claimed_at, at))
        else:
            self._read_work(event, pairs, at)

    def _read_work(self, event: str, pairs: dict[str, str], at: float) -> None:
        if event == "pool_load":
            _read_pool(self.day, pairs, at)
        elif event == "owner_load":
            self.day.owners.append(_owner_look(pairs, at))
        elif event == "move_begun":
            self.day.moves += 1
        else:
            _read_job(self.day, event, pairs, at)


def _read_pool(day: Day, pairs: dict[str, str], at: float) -> None:
    looks = day.pools.setdefault(pairs.get("service", ""), [])
    looks.append(
        PoolLook(
            at,
            int(_value(pairs, "workers")),
            Amount(_value(pairs, "capacity") / 1000, _value(pairs, "memory")),
            Amount(_value(pairs, "lasting") / 1000, _value(pairs, "lasting_mb")),
            int(_value(pairs, "spread")),
        )
    )


def _owner_look(pairs: dict[str, str], at: float) -> OwnerLook:
    return OwnerLook(
        at,
        pairs.get("node", ""),
        _value(pairs, "lag_seconds"),
        int(_value(pairs, "under_way")),
        int(_value(pairs, "starts_a_second")),
        int(_value(pairs, "ends_a_second")),
    )


def _read_job(day: Day, event: str, pairs: dict[str, str], at: float) -> None:
    if event == "job_submitted":
        story = day.job(pairs.get("job", ""))
        story.queue = pairs.get("queue", "")
        story.service = pairs.get("service", "")
        story.shape = pairs.get("shape", "")
        story.tasks = int(_value(pairs, "tasks"))
        story.lasting = pairs.get("lasting") == "true"
        if pairs.get("outcome") == "stored" and story.submitted_at is None:
            story.submitted_at = at
    elif event == "request_refused":
        name = pairs.get("request", "").rpartition("/")[2]
        day.job(name).refusals += 1
    elif event == "job_ended":
        story = day.job(pairs.get("job", ""))
        story.ended_at = at
        story.state = pairs.get("state", "")
        story.seconds = _value(pairs, "seconds")
        story.objective = _value(pairs, "objective_seconds")
    elif event in ("runs_started", "runs_ended"):
        _read_runs(day.job(pairs.get("job", "")), pairs.get("runs", ""), at)
    elif event == "worker_lost":
        _read_lost(day, pairs.get("runs", ""), at)
    elif event == "task_suspected" and pairs.get("given_up") == "true":
        day.job(pairs.get("task", "").partition(".")[0]).given_up = True


def _value(pairs: dict[str, str], name: str) -> float:
    """Return a number of a line, or 0 where the line is cut off before its end."""
    return _number(pairs.get(name, "0"))


def _number(text: str) -> float:
    try:
        return float(text)
    except ValueError:
        return 0.0


def _read_runs(story: JobStory, text: str, at: float) -> None:
    for match in _RUN.finditer(text):
        occurrence, step, index, number, worker, sign, rest = match.groups()
        place = (int(occurrence), int(step), int(index))
        if sign == "+":
            waited, _, expected = rest.partition("~")
            story.runs[int(number)] = RunStory(
                place, worker, at, _number(waited), _number(expected)
            )
        elif int(number) in story.runs and not rest.endswith("/stray"):
            run = story.runs[int(number)]
            run.ended_at = at
            run.how = rest


def _read_lost(day: Day, text: str, at: float) -> None:
    """End the runs that were lost with their worker."""
    for job, number in _LOST.findall(text):
        run = day.job(job).runs.get(int(number))
        if run is not None and not run.how:
            run.ended_at = at
            run.how = "lost"
