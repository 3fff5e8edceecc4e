"""Hold what entries' log lines tell of a day."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from .outages import Span

Place = tuple[int, int, int]


class Cause(Enum):
    """Say what took most of a late job's time."""

    NOT_ACCEPTED = "not accepted in time"
    STORE_AWAY = "the store was away, for most entries or for the owner"
    OWNER_CHANGED = "the owner changed"
    WAITED_FOR_ROOM = "waited for room"
    GIVEN_UP = "workers crashed under one of its tasks"
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
    given_up: bool = False
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
