"""Hold what is known of one incarnation of a worker."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import Final

from ...helpers.logging import get_logger
from ...platform.models import Room, WorkerEntry
from ...platform.workers import TaskName
from .models import StepRun, Task

_LOGGER = get_logger(__name__)

MAX_UNANSWERED_STARTS: Final = 64
"""Starts without an answer that are remembered of a worker: an order that is carried
out late is so within seconds, in which a worker is given no more than so many."""


@dataclass(slots=True, eq=False)
class WorkerState:
    """Hold one incarnation of a worker.

    :param born: when it started, in milliseconds since 1970, or 0 if that is not known;
        a worker that starts again under its id is another incarnation.
    :param described: whether an entry of this very incarnation was read. Its pool, its
        labels and its room are else those of the one before.
    :param confirmed: whether what runs there was read under this owner's token.
    :param missing_since: when its entry went, or None.
    :param absent: whether its entry stayed away, so that it counts as gone unless it
        comes back.
    :param leaving: whether the fleet is about to take it.
    :param maintenance_due: whether its instance is still to be maintained.
    :param unanswered: the last starts that got no answer, by task and run.
    :param orphan_steps: the steps of runs there that are no task's any more.
    :param unknown_runs: whether it lists a run of a job that is not known here.
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
    draining: bool = False
    drains_at: float = 0.0
    missing_since: float | None = None
    absent: bool = False
    leaving: bool = False
    maintenance_due: bool = False
    leaving_since: float = 0.0
    refusing_until: float = 0.0
    quarantined_until: float = 0.0
    failed_jobs: set[str] = field(default_factory=set)
    speed: float = 1.0
    stale: bool = False
    reported_at: float = 0.0
    clock_ms: float = 0.0
    born: int = 0
    described: bool = True
    orphan_steps: list[StepRun] = field(default_factory=list)
    unknown_runs: bool = False
    unanswered: deque[tuple[TaskName, int]] = field(
        default_factory=lambda: deque(maxlen=MAX_UNANSWERED_STARTS)
    )

    def describe(self, entry: WorkerEntry) -> None:
        """Take over what an entry says, keeping the room that tasks take."""
        self.described = True
        self.service = entry.service
        self.zone = entry.zone
        self.labels = tuple(entry.labels)
        self.resize(entry.capacity)

    def reserve(self, room: Room) -> None:
        """Count a run's room as taken."""
        self.free_cpu -= room.cpu
        self.free_mem -= room.mem_mb
        self.free_gpu -= room.gpu

    def release(self, room: Room) -> None:
        """Count a run's room as free again."""
        self.free_cpu += room.cpu
        self.free_mem += room.mem_mb
        self.free_gpu += room.gpu

    def resize(self, room: Room) -> None:
        """Take over a room; what runs may take more of it than there is."""
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
        """Return whether something may run there, of a known task or not."""
        return bool(self.tasks or self.orphan_steps or self.unknown_runs)

    @property
    def incarnation(self) -> str:
        """Return a name that no other incarnation has, if its birth is known."""
        return f"{self.id}/{self.born}" if self.born else self.id

    @property
    def rack(self) -> str:
        """Return the label of the rack; a worker names its kind first."""
        return self.labels[-1] if self.labels else ""
