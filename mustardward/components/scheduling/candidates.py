"""Track the workers to which one plan may still assign tasks."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Set
from dataclasses import dataclass, field
from typing import NamedTuple

from ...platform.models import Room
from .isolation import SecondsToEmpty, choose_workers_to_empty
from .models import StepRun, Task
from .placement import (
    RemainingSeconds,
    count_fitting,
    long_running_tasks_to_fit,
    room_after_short_tasks,
    seconds_to_room,
    tasks_that_fit,
)
from .worker_state import WorkerState

ZoneSet = frozenset[str] | None


class Reservation(NamedTuple):
    """Represent a worker that a plan reserves for one step."""

    worker: WorkerState
    step: StepRun


@dataclass(slots=True, eq=False)
class Candidates:
    """Hold a pool's available workers in one plan, and the task sizes that did not fit.

    :param isolation_workers: the workers on which suspected tasks run in isolation.
    :param isolating: those of them that may get tasks.
    :param by_zone: the workers of each data centre.
    :param reservations: the workers that are reserved, and for which step.
    """

    workers: list[WorkerState]
    isolation_workers: Set[str] = frozenset()
    isolating: list[WorkerState] = field(default_factory=list)
    by_zone: dict[str, list[WorkerState]] = field(default_factory=dict)
    reservations: list[Reservation] = field(default_factory=list)
    _workers_in: dict[ZoneSet, list[WorkerState]] = field(default_factory=dict)
    _full_rooms: dict[ZoneSet, list[Room]] = field(
        default_factory=lambda: defaultdict(list)
    )
    _oversized_rooms: list[Room] = field(default_factory=list)
    _oversized_steps: list[StepRun] = field(default_factory=list)
    _has_emptying_worker: bool = False
    _by_size: dict[Room, list[WorkerState]] = field(default_factory=dict)
    _reserved_rooms: list[tuple[WorkerState, Room]] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Group the workers by data centre."""
        self._group_by_zone()

    def _group_by_zone(self) -> None:
        by_zone: dict[str, list[WorkerState]] = defaultdict(list)
        for worker in self.workers:
            by_zone[worker.zone].append(worker)
        self.by_zone = dict(by_zone)
        self._workers_in = {None: self.workers}

    def in_zones(self, where: ZoneSet) -> list[WorkerState]:
        """Return the workers of the given data centres, or of all for None."""
        found = self._workers_in.get(where)
        if found is None:
            zones = sorted(where or ())
            found = [w for zone in zones for w in self.by_zone.get(zone, ())]
            self._workers_in[where] = found
        return found

    def is_oversized(self, step: StepRun) -> bool:
        """Return whether a step's tasks are as large as some that fit nowhere."""
        return _covers(self._oversized_rooms, step.room)

    def find_oversized_step(self, step: StepRun) -> StepRun | None:
        """Return the step whose placement showed that this one fits nowhere, if any."""
        for other in self._oversized_steps:
            if _covers([other.room], step.room):
                return other
        return None

    def may_fit(self, step: StepRun) -> bool:
        """Return whether the data centres of a step's job may have room for a task."""
        return not _covers(self._full_rooms[step.job.stored_zones], step.room)

    def record_full(self, step: StepRun, everywhere: bool) -> None:
        """Record that a step's tasks have no room in the data centres of its job.

        :param everywhere: whether they have no room in any other data centre either.
        """
        self._full_rooms[step.job.stored_zones].append(step.room)
        if everywhere:
            self._oversized_rooms.append(step.room)
            self._oversized_steps.append(step)

    def reserve_for_long_running(
        self, step: StepRun, remaining: RemainingSeconds
    ) -> None:
        """Reserve a worker for a waiting long-running step.

        Steps share a reserved worker as long as it has room for all their tasks.

        :param remaining: returns the expected remaining run time of a task.
        """
        for number, (worker, room) in enumerate(self._reserved_rooms):
            count = long_running_tasks_to_fit(worker, step)
            if 0 < count <= count_fitting(room, step.room):
                self._reserved_rooms[number] = (
                    worker,
                    _subtract(room, step.room, count),
                )
                return
        taken = {item.worker.id for item in self.reservations}
        for worker in self._rank_by_free_time(step.room, remaining):
            count = long_running_tasks_to_fit(worker, step)
            if worker.id not in taken and count:
                room = _subtract(room_after_short_tasks(worker), step.room, count)
                self._reserved_rooms.append((worker, room))
                self.exclude([worker], step)
                return

    def reserved_with_room(self, step: StepRun) -> list[WorkerState]:
        """Return the workers that are reserved and may run a step's tasks now as well.

        What the reservations need stays free for them.
        """
        zones = step.job.stored_zones
        return [
            worker
            for worker, room in self._reserved_rooms
            if count_fitting(room, step.room)
            and tasks_that_fit(worker, step)
            and (zones is None or worker.zone in zones)
        ]

    def isolating_with_room(self, step: StepRun) -> list[WorkerState]:
        """Return the workers with isolated tasks that have room for a step's tasks."""
        zones = step.job.stored_zones
        return [
            worker
            for worker in self.isolating
            if tasks_that_fit(worker, step) and (zones is None or worker.zone in zones)
        ]

    def share_reserved(self, worker: WorkerState, step: StepRun) -> bool:
        """Take the room of a task from a reserved worker, if it has that much left."""
        for number, (reserved, room) in enumerate(self._reserved_rooms):
            if reserved is worker and count_fitting(room, step.room):
                self._reserved_rooms[number] = (worker, _subtract(room, step.room, 1))
                return True
        return False

    def _rank_by_free_time(
        self, size: Room, remaining: RemainingSeconds
    ) -> list[WorkerState]:
        """Return the workers that will have room for a task, the soonest first.

        The ranking is cached per size, since many steps of one size may wait.
        """
        found = self._by_size.get(size)
        if found is None:
            able = [
                w
                for w in self.workers
                if count_fitting(room_after_short_tasks(w), size)
            ]
            seconds = {w.id: seconds_to_room(w, size, remaining) for w in able}
            found = sorted(able, key=lambda w: (seconds[w.id], -w.free_cpu))
            self._by_size[size] = found
        return found

    def reserve_emptying_worker(
        self,
        step: StepRun,
        suspects: list[Task],
        free: list[WorkerState],
        seconds: SecondsToEmpty,
    ) -> None:
        """Reserve a worker that will become empty; one for all suspects of a plan."""
        if self._has_emptying_worker:
            return
        emptying = choose_workers_to_empty(self.workers, free, step, suspects, seconds)
        self._has_emptying_worker = bool(emptying)
        self.exclude(emptying, step)

    def exclude(self, taken: list[WorkerState], step: StepRun) -> None:
        """Reserve workers for a step, so that this plan gives them to no other."""
        remaining = [worker for worker in self.workers if worker not in taken]
        if len(remaining) < len(self.workers):
            self.reservations.extend(
                Reservation(w, step) for w in taken if w in self.workers
            )
            self.workers = remaining
            self._group_by_zone()


def _subtract(room: Room, size: Room, count: int) -> Room:
    """Return what is left of a room after placing a number of tasks of a size."""
    return Room(
        room.cpu - count * size.cpu,
        room.mem_mb - count * size.mem_mb,
        room.gpu - count * size.gpu,
    )


def _covers(too_large: list[Room], room: Room) -> bool:
    return any(
        rejected.cpu <= room.cpu
        and rejected.mem_mb <= room.mem_mb
        and rejected.gpu <= room.gpu
        for rejected in too_large
    )
