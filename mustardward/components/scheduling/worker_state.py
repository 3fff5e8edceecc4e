"""Define the state of a worker's incarnation."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import Final

from ...helpers.logging import get_logger
from ...platform.models import Room, WorkerEntry
from ...platform.workers import TaskName
from .lost_starts import UnansweredStart
from .models import StepRun, Task

_LOGGER = get_logger(__name__)

MAX_UNANSWERED_STARTS: Final = 64
"""Most starts without a response that are remembered per worker. A delayed start is
carried out within seconds, in which a worker is sent no more than this many."""


@dataclass(slots=True, eq=False)
class WorkerState:
    """Hold the state of one incarnation of a worker.

    :param confirmed: whether its runs, also those that ended, have been read completely
        under this owner's fencing token.
    :param listing_ends: whether it answered and is not confirmed, since it has more
        ended runs than it lists in one report.
    :param missing_since: when its entry in the store was first missing, or None.
    :param absent: whether its entry is invalid or has been missing for too long, so
        that it gets no tasks until a valid entry appears.
    :param cordoned: whether the fleet has cordoned it.
    :param maintenance_due: whether its instance has yet to be maintained.
    :param speed: its learned speed relative to the expected run times, at most 1.
    :param stale: whether it is unresponsive, so that its last report may be outdated.
    :param clock_ms: its own clock in its last report, in milliseconds.
    :param started_at_ms: when it started, in milliseconds since 1970, or 0 if unknown;
        a worker that restarts under the same id is another incarnation.
    :param described: whether an entry of this incarnation has been read. Otherwise its
        pool, labels and capacity are those of the previous incarnation.
    :param orphan_steps: the steps of its orphan runs, which no task owns.
    :param unknown_runs: whether it lists a run of an unknown job.
    :param unstored_ends: number of its listed ends that the log does not have yet.
    :param unanswered_starts: the last starts without a response, by task and run.
    """

    id: str
    service: str
    zone: str
    labels: tuple[str, ...]
    capacity: Room
    free_cpu: int = 0
    free_mem: int = 0
    free_gpu: int = 0
    tasks: dict[TaskName, Task] = field(default_factory=dict)
    confirmed: bool = False
    listing_ends: bool = False
    draining: bool = False
    drains_at: float = 0.0
    missing_since: float | None = None
    absent: bool = False
    cordoned: bool = False
    maintenance_due: bool = False
    cordoned_since: float = 0.0
    refusing_until: float = 0.0
    quarantined_until: float = 0.0
    failed_jobs: set[str] = field(default_factory=set)
    speed: float = 1.0
    stale: bool = False
    reported_at: float = 0.0
    clock_ms: float = 0.0
    started_at_ms: int = 0
    described: bool = True
    orphan_steps: list[StepRun] = field(default_factory=list)
    unknown_runs: bool = False
    unstored_ends: int = 0
    unanswered_starts: deque[UnansweredStart] = field(
        default_factory=lambda: deque(maxlen=MAX_UNANSWERED_STARTS)
    )

    def describe(self, entry: WorkerEntry) -> None:
        """Apply an entry's description, keeping the room that tasks use."""
        self.described = True
        self.service = entry.service
        self.zone = entry.zone
        self.labels = tuple(entry.labels)
        self.resize(entry.capacity)

    def reserve(self, room: Room) -> None:
        """Reserve room for a run."""
        self.free_cpu -= room.cpu
        self.free_mem -= room.mem_mb
        self.free_gpu -= room.gpu

    def release(self, room: Room) -> None:
        """Release the room of a run."""
        self.free_cpu += room.cpu
        self.free_mem += room.mem_mb
        self.free_gpu += room.gpu

    def resize(self, room: Room) -> None:
        """Set the capacity, which may be smaller than the room that runs use."""
        old = self.capacity
        self.reserve(old)
        self.release(room)
        self.capacity = room
        if room != old:
            _LOGGER.info(
                "worker_resized",
                worker=self.id,
                cpu=f"{old.cpu}>{room.cpu}",
                mem_mb=f"{old.mem_mb}>{room.mem_mb}",
                gpu=f"{old.gpu}>{room.gpu}",
                free_cpu=self.free_cpu,
                free_mem=self.free_mem,
            )

    @property
    def has_runs(self) -> bool:
        """Return whether anything may run there, whether its task is known or not."""
        return bool(self.tasks or self.orphan_steps or self.unknown_runs)

    @property
    def incarnation(self) -> str:
        """Return a name that is unique to the incarnation, if its start is known."""
        return f"{self.id}/{self.started_at_ms}" if self.started_at_ms else self.id

    @property
    def rack(self) -> str:
        """Return the label of the rack, the last one; a worker names its kind first."""
        return self.labels[-1] if self.labels else ""
