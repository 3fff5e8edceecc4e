"""Hold the workers that one plan may still give tasks to."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Set
from dataclasses import dataclass, field
from typing import NamedTuple

from ...platform.models import Room
from .models import StepRun, Task
from .placement import (
    SecondsLeft,
    lasting_tasks_to_fit,
    room_beside_lasting,
    seconds_to_room,
    tasks_in,
)
from .trials import SecondsToEmpty, choose_to_empty
from .worker_state import WorkerState

Where = frozenset[str] | None


class Kept(NamedTuple):
    """Hold a worker that a plan gives to nobody else, and the step it is kept for."""

    worker: WorkerState
    step: StepRun


@dataclass(slots=True, eq=False)
class Offers:
    """Hold a pool's workers in one plan, and the rooms that were found too large.

    :param apart: the workers where suspected tasks run.
    :param by_zone: the workers of each data centre.
    :param kept: the workers that were taken out, and for whom.
    """

    workers: list[WorkerState]
    apart: Set[str] = frozenset()
    by_zone: dict[str, list[WorkerState]] = field(default_factory=dict)
    kept: list[Kept] = field(default_factory=list)
    _lists: dict[Where, list[WorkerState]] = field(default_factory=dict)
    _full: dict[Where, list[Room]] = field(default_factory=lambda: defaultdict(list))
    _nowhere: list[Room] = field(default_factory=list)
    _nowhere_of: list[StepRun] = field(default_factory=list)
    _one_is_kept: bool = False
    _by_size: dict[Room, list[WorkerState]] = field(default_factory=dict)
    _room_kept: list[tuple[WorkerState, Room]] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Part the workers by data centre."""
        self._part()

    def _part(self) -> None:
        by_zone: dict[str, list[WorkerState]] = defaultdict(list)
        for worker in self.workers:
            by_zone[worker.zone].append(worker)
        self.by_zone = dict(by_zone)
        self._lists = {None: self.workers}

    def of(self, where: Where) -> list[WorkerState]:
        """Return the workers of some data centres, or of all."""
        found = self._lists.get(where)
        if found is None:
            zones = sorted(where or ())
            found = [w for zone in zones for w in self.by_zone.get(zone, ())]
            self._lists[where] = found
        return found

    def fits_nowhere(self, step: StepRun) -> bool:
        """Return whether a step needs as much as what no worker of the pool has."""
        return _covers(self._nowhere, step.room)

    def found_by(self, step: StepRun) -> StepRun | None:
        """Return the step whose tasks showed that a step fits nowhere, if any."""
        for other in self._nowhere_of:
            if _covers([other.room], step.room):
                return other
        return None

    def may_fit(self, step: StepRun) -> bool:
        """Return whether its own data centres may have room for a step."""
        return not _covers(self._full[step.job.stored_zones], step.room)

    def note_full(self, step: StepRun, everywhere: bool) -> None:
        """Take in that a step's tasks have no room where they may start."""
        self._full[step.job.stored_zones].append(step.room)
        if everywhere:
            self._nowhere.append(step.room)
            self._nowhere_of.append(step)

    def keep_for_lasting(self, step: StepRun, left: SecondsLeft) -> None:
        """Keep a worker for a lasting step that waits, if it can run there in time.

        Steps share a worker as long as all that they need has room there.

        :param left: how long a task is expected to run on.
        """
        for number, (worker, room) in enumerate(self._room_kept):
            count = lasting_tasks_to_fit(worker, step)
            if 0 < count <= tasks_in(room, step.room):
                self._room_kept[number] = (worker, _less(room, step.room, count))
                return
        taken = {item.worker.id for item in self.kept}
        for worker in self._soonest(step.room, left):
            count = lasting_tasks_to_fit(worker, step)
            if worker.id not in taken and count:
                room = _less(room_beside_lasting(worker), step.room, count)
                self._room_kept.append((worker, room))
                self.leave_out([worker], step)
                return

    def _soonest(self, size: Room, left: SecondsLeft) -> list[WorkerState]:
        """Return who will have room for a task, the soonest and emptiest first.

        Ranked once a plan for each size, since many steps may wait.
        """
        found = self._by_size.get(size)
        if found is None:
            able = [w for w in self.workers if tasks_in(room_beside_lasting(w), size)]
            seconds = {w.id: seconds_to_room(w, size, left) for w in able}
            found = sorted(able, key=lambda w: (seconds[w.id], -w.free_cpu))
            self._by_size[size] = found
        return found

    def keep_to_empty(
        self,
        step: StepRun,
        suspects: list[Task],
        free: list[WorkerState],
        seconds: SecondsToEmpty,
    ) -> None:
        """Keep one worker that becomes empty by itself, whoever waits for it."""
        if self._one_is_kept:
            return
        kept = choose_to_empty(self.workers, free, step, suspects, seconds)
        self._one_is_kept = bool(kept)
        self.leave_out(kept, step)

    def leave_out(self, taken: list[WorkerState], step: StepRun) -> None:
        """Give workers to no other step in this plan."""
        left = [worker for worker in self.workers if worker not in taken]
        if len(left) < len(self.workers):
            self.kept.extend(Kept(w, step) for w in taken if w in self.workers)
            self.workers = left
            self._part()


def _less(room: Room, size: Room, count: int) -> Room:
    """Return what some tasks of a size leave of a room."""
    return Room(
        room.cpu - count * size.cpu,
        room.mem_mb - count * size.mem_mb,
        room.gpu - count * size.gpu,
    )


def _covers(too_large: list[Room], room: Room) -> bool:
    return any(
        seen.cpu <= room.cpu and seen.mem_mb <= room.mem_mb and seen.gpu <= room.gpu
        for seen in too_large
    )
