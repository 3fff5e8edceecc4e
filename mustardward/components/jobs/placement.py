"""Choose the next job and its worker: pure but for the dice."""

from __future__ import annotations

import heapq
from collections.abc import Sequence
from dataclasses import dataclass, field
from random import Random

from .const import AGING_SECONDS, CANDIDATES, RESERVE_AFTER_SECONDS
from .models import Need, WorkerRoom


@dataclass(frozen=True, slots=True)
class Candidate:
    """Hold a waiting job that may be placed now; ``excluded`` are workers."""

    job_id: str
    organisation: str
    need: Need
    waited_seconds: float
    excluded: frozenset[str] = frozenset()


@dataclass(slots=True)
class PoolView:
    """Hold what one pool has to offer to long work at this moment.

    ``slots_left`` is what long work may still take under the urgent headroom;
    ``running`` and ``weights`` are by organisation.
    """

    rooms: list[WorkerRoom]
    slots_left: int
    running: dict[str, int] = field(default_factory=dict)
    weights: dict[str, float] = field(default_factory=dict)
    reserved: str = ""

    def place(self, candidate: Candidate, room: WorkerRoom) -> None:
        """Count a placement in."""
        room.take(candidate.need)
        self.slots_left -= 1
        count = self.running.get(candidate.organisation, 0)
        self.running[candidate.organisation] = count + 1


def claim(view: PoolView, candidate: Candidate) -> float:
    """Return a candidate's claim to the next slot; the lowest goes first.

    An organisation with few running jobs for its weight goes first, and waiting makes
    up for that, so that neither a large organisation's flood nor a steady stream of
    small ones starves anybody.
    """
    weight = max(0.01, view.weights.get(candidate.organisation, 1.0))
    share = view.running.get(candidate.organisation, 0) / weight
    return share - candidate.waited_seconds / AGING_SECONDS


def choose_room(
    view: PoolView, candidate: Candidate, random: Random
) -> WorkerRoom | None:
    """Return the tightest of a few random workers with room, else any with room.

    The tightest keeps whole workers free for jobs that need one. A worker that a wave
    will take soon comes last: what starts there would have to move again.
    """
    usable = view.rooms
    sample = random.sample(usable, min(CANDIDATES, len(usable)))
    fitting = [room for room in sample if _may_use(view, candidate, room)]
    if all(room.due for room in fitting):
        fitting = [room for room in usable if _may_use(view, candidate, room)]
    return min(
        fitting,
        key=lambda room: (room.due, room.cores, room.slots, room.instance.instance_id),
        default=None,
    )


def reserve_for(view: PoolView, candidate: Candidate) -> None:
    """Keep the emptiest worker that could ever take a long-waiting job free for it.

    Without that, small jobs take each slot as it falls free, and a job that needs most
    of a worker waits for ever while the pool is never idle.
    """
    if view.reserved or candidate.waited_seconds < RESERVE_AFTER_SECONDS:
        return
    able = [
        room
        for room in view.rooms
        if room.instance.cores >= candidate.need.cores
        and room.instance.memory_gigabytes >= candidate.need.memory_gigabytes
        and room.instance.accelerators >= candidate.need.accelerators
        and room.instance.instance_id not in candidate.excluded
    ]
    best = max(
        able,
        key=lambda room: (room.cores, room.slots, room.instance.instance_id),
        default=None,
    )
    if best is not None:
        view.reserved = best.instance.instance_id


def _may_use(view: PoolView, candidate: Candidate, room: WorkerRoom) -> bool:
    instance_id = room.instance.instance_id
    if instance_id == view.reserved or instance_id in candidate.excluded:
        return False
    return room.fits(candidate.need)


def plan_placements(
    view: PoolView, candidates: Sequence[Candidate], limit: int, random: Random
) -> list[tuple[Candidate, WorkerRoom]]:
    """Return which jobs to start where, the strongest claim first."""
    placed: list[tuple[Candidate, WorkerRoom]] = []
    hopeless: set[Need] = set()
    waiting = [(claim(view, item), item.job_id, item) for item in candidates]
    heapq.heapify(waiting)
    while waiting and view.slots_left > 0 and len(placed) < limit:
        filed, job_id, candidate = heapq.heappop(waiting)
        present = claim(view, candidate)
        # A claim only weakens while its organisation is given slots, so filing it
        # again keeps the order without sorting everything anew for each slot.
        if present > filed:
            heapq.heappush(waiting, (present, job_id, candidate))
            continue
        if candidate.need in hopeless:
            continue
        room = choose_room(view, candidate, random)
        if room is not None:
            view.place(candidate, room)
            placed.append((candidate, room))
            continue
        if not candidate.excluded:
            hopeless.add(candidate.need)
        reserve_for(view, candidate)
    return placed
