"""Define the jobs, runs and load samples of a day, as logged by entries."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from .outages import Span

TaskPosition = tuple[int, int, int]


class Cause(Enum):
    """Define the causes that may delay a job."""

    NOT_ACCEPTED = "not accepted in time"
    STORE_UNAVAILABLE = "the store was away, for most entries or for the owner"
    OWNER_CHANGED = "the owner changed"
    WAITED_FOR_ROOM = "waited for room"
    GIVEN_UP = "workers crashed under one of its tasks"
    RUN_REPEATED = "a run was lost and repeated"
    SLOW_RUN = "ran on a slow or failing worker"
    WRONG_DECLARATION = "declared run time was wrong"
    OTHER = "none of these"


@dataclass(slots=True)
class RunRecord:
    """Hold one run of a task; times in seconds."""

    position: TaskPosition
    worker: str
    started_at: float
    wait_seconds: float
    expected_seconds: float = 0.0
    ended_at: float | None = None
    outcome: str = ""

    @property
    def seconds(self) -> float:
        """Return the run time, or 0 while the run is in progress."""
        return 0.0 if self.ended_at is None else self.ended_at - self.started_at


@dataclass(frozen=True, slots=True)
class Resources:
    """Hold an amount of cores and of memory in MB."""

    cores: float = 0.0
    memory: float = 0.0

    def __add__(self, other: Resources) -> Resources:
        """Return the sum."""
        return Resources(self.cores + other.cores, self.memory + other.memory)

    def __sub__(self, other: Resources) -> Resources:
        """Return the difference."""
        return Resources(self.cores - other.cores, self.memory - other.memory)

    def __mul__(self, times: float) -> Resources:
        """Return a multiple."""
        return Resources(self.cores * times, self.memory * times)

    def fits(self, capacity: Resources) -> bool:
        """Return whether it fits into a capacity."""
        return self.cores <= capacity.cores and self.memory <= capacity.memory

    def share_of(self, size: Resources) -> float:
        """Return how many units of a size it needs, by the scarcest resource."""
        memory = self.memory / size.memory if size.memory else 0.0
        return max(self.cores / max(size.cores, 1e-9), memory)


@dataclass(frozen=True, slots=True)
class PoolSample:
    """Hold the load of a pool as logged by the owner; resources in cores and MB.

    :param long_running: resources that long-running tasks use.
    :param min_workers: workers that a step needs because of its limit of tasks per
        worker.
    """

    at: float
    workers: int
    capacity: Resources
    long_running: Resources
    min_workers: int = 0


@dataclass(frozen=True, slots=True)
class OwnerSample:
    """Hold the load of an owner as logged each second.

    :param max_lag_seconds: longest delay of the owner's periodic self-check.
    :param max_calls_in_flight: most concurrent calls to workers.
    """

    at: float
    node: str
    max_lag_seconds: float
    max_calls_in_flight: int
    max_starts_per_second: int
    max_ends_per_second: int


@dataclass(slots=True)
class JobRecord:
    """Hold one job as described by the logs; times in seconds.

    :param expected_seconds: the run time of a step's tasks, by occurrence and step, as
        estimated when the last of its runs ended.
    """

    job: str
    queue: str = ""
    service: str = ""
    shape: str = ""
    tasks: int = 0
    submitted_at: float | None = None
    ended_at: float | None = None
    state: str = ""
    seconds: float = 0.0
    objective_seconds: float = 0.0
    long_running: bool = False
    refusals: int = 0
    given_up: bool = False
    runs: dict[int, RunRecord] = field(default_factory=dict)
    expected_seconds: dict[tuple[int, int], float] = field(default_factory=dict)

    @property
    def late(self) -> bool:
        """Return whether the job took longer than its objective."""
        return bool(self.state) and self.seconds > self.objective_seconds


@dataclass(slots=True)
class Day:
    """Hold the jobs and load of a day, and the spans of outages and takeovers.

    No decision could be made during these spans.

    :param cut_lines: number of truncated lines, which were skipped.
    """

    jobs: dict[str, JobRecord] = field(default_factory=dict)
    cut_lines: int = 0
    outages: list[Span] = field(default_factory=list)
    takeovers: list[Span] = field(default_factory=list)
    pools: dict[str, list[PoolSample]] = field(default_factory=dict)
    owners: list[OwnerSample] = field(default_factory=list)
    moves: int = 0

    def job(self, name: str) -> JobRecord:
        """Return the record of a job, creating it if it is unknown."""
        return self.jobs.setdefault(name, JobRecord(name))


@dataclass(frozen=True, slots=True)
class CauseRow:
    """Hold the number of jobs that a cause made late, their tasks and total delay.

    The delay is the time beyond the objectives, in seconds.
    """

    cause: Cause
    jobs: int
    tasks: int
    seconds_late: float
