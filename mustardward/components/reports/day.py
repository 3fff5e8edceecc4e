"""Read entries' logs of a day, and say why jobs were late; pure.

A line is read from its first ``key=value`` pair on, so that columns before it (a time,
an entry's name) do not matter. Lines that say nothing of these matters are left out.
"""

from __future__ import annotations

import json
import re
from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum
from typing import Final

from .outages import Outages, Span

_PAIR: Final = re.compile(r'([a-z_]+)=("(?:[^"\\]|\\.)*"|\S*)')
_RUN: Final = re.compile(r"(\d+)\.(\d+)\.(\d+):(\d+)@([^+=,\s]+)([+=])([^,\s]*)")
_GLUED: Final = re.compile(r"\S(time=\d+\.?\d* level=)")
"""Where a line goes on as another one, since bytes between them were lost."""

SLOW_FACTOR: Final = 1.5
"""A run that took so many times as long as its owner expected was slow."""

Place = tuple[int, int, int]


class Cause(Enum):
    """Say what took most of a late job's time."""

    NOT_ACCEPTED = "not accepted in time"
    STORE_AWAY = "the store was away, for most entries or for the owner"
    OWNER_CHANGED = "the owner changed"
    WAITED_FOR_ROOM = "waited for room"
    RUN_REPEATED = "a run was lost and repeated"
    SLOW_RUN = "ran on a slow or failing worker"
    OTHER = "none of these"


@dataclass(slots=True)
class RunStory:
    """Hold one run of a task; times in seconds."""

    place: Place
    worker: str
    started_at: float
    waited: float
    expected: float = 0.0
    ended_at: float | None = None
    how: str = ""

    @property
    def seconds(self) -> float:
        """Return how long it ran, or 0 while it runs."""
        return 0.0 if self.ended_at is None else self.ended_at - self.started_at


@dataclass(frozen=True, slots=True)
class Amount:
    """Hold room: cores and MB."""

    cores: float = 0.0
    memory: float = 0.0

    def __add__(self, other: Amount) -> Amount:
        """Return both together."""
        return Amount(self.cores + other.cores, self.memory + other.memory)

    def __sub__(self, other: Amount) -> Amount:
        """Return what is left without the other."""
        return Amount(self.cores - other.cores, self.memory - other.memory)

    def __mul__(self, times: float) -> Amount:
        """Return so many of it."""
        return Amount(self.cores * times, self.memory * times)

    def fits(self, room: Amount) -> bool:
        """Return whether it has its place in a room."""
        return self.cores <= room.cores and self.memory <= room.memory

    def share_of(self, size: Amount) -> float:
        """Return how many of a size it takes, by what is scarcest there."""
        memory = self.memory / size.memory if size.memory else 0.0
        return max(self.cores / max(size.cores, 1e-9), memory)


@dataclass(frozen=True, slots=True)
class PoolLook:
    """Hold what an owner told of a pool; room in cores and MB.

    :param spread: workers that a step needs by its limit of tasks for each.
    """

    at: float
    workers: int
    capacity: Amount
    lasting: Amount
    spread: int = 0


@dataclass(frozen=True, slots=True)
class OwnerLook:
    """Hold what an owner told of itself in one second.

    :param lag: how much too late it came to look at itself, in seconds at most.
    :param under_way: calls to workers under way, at most.
    """

    at: float
    node: str
    lag: float
    under_way: int
    starts: int
    ends: int


@dataclass(slots=True)
class JobStory:
    """Hold what the logs tell of one job; times in seconds."""

    job: str
    queue: str = ""
    service: str = ""
    shape: str = ""
    tasks: int = 0
    submitted_at: float | None = None
    ended_at: float | None = None
    state: str = ""
    seconds: float = 0.0
    objective: float = 0.0
    lasting: bool = False
    refusals: int = 0
    runs: dict[int, RunStory] = field(default_factory=dict)

    @property
    def late(self) -> bool:
        """Return whether it took longer than its objective."""
        return bool(self.state) and self.seconds > self.objective


@dataclass(slots=True)
class Day:
    """Hold the stories of a day, and the spans in which nothing could be decided.

    :param cut_lines: lines that were left out, since they are cut off in the middle.
    """

    jobs: dict[str, JobStory] = field(default_factory=dict)
    cut_lines: int = 0
    outages: list[Span] = field(default_factory=list)
    takeovers: list[Span] = field(default_factory=list)
    pools: dict[str, list[PoolLook]] = field(default_factory=dict)
    owners: list[OwnerLook] = field(default_factory=list)
    moves: int = 0

    def job(self, name: str) -> JobStory:
        """Return a job's story, a new one if nothing was told of it yet."""
        return self.jobs.setdefault(name, JobStory(name))


@dataclass(frozen=True, slots=True)
class CauseRow:
    """Hold how many jobs a cause made late, their tasks, and the seconds beyond."""

    cause: Cause
    jobs: int
    tasks: int
    seconds_late: float


def read_pairs(line: str) -> dict[str, str]:
    """Return a line's pairs, or nothing.

    :raises ValueError: if a quoted value is cut off.
    """
    pairs: dict[str, str] = {}
    for key, value in _PAIR.findall(line):
        pairs[key] = json.loads(value) if value.startswith('"') else value
    return pairs


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


def first_starts(day: Day) -> list[float]:
    """Return, sorted, the seconds from each job's submission to its first start."""
    return sorted(
        min(run.started_at for run in story.runs.values()) - story.submitted_at
        for story in day.jobs.values()
        if story.runs and story.submitted_at is not None and not story.lasting
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
