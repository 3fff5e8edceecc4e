"""Choose the next job and its worker: pure but for the dice."""

from __future__ import annotations

import heapq
from collections.abc import Sequence
from dataclasses import dataclass, field
from random import Random

from .const import AGING_SECONDS, RESERVE_AFTER_SECONDS, WORKER_SAMPLE_SIZE
from .models import Need, WorkerCapacity


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

    capacities: list[WorkerCapacity]
    slots_left: int
    running: dict[str, int] = field(default_factory=dict)
    weights: dict[str, float] = field(default_factory=dict)
    reserved_worker: str = ""

    def place(self, candidate: Candidate, capacity: WorkerCapacity) -> None:
        """Count a placement in."""
        capacity.reserve(candidate.need)
        self.slots_left -= 1
        count = self.running.get(candidate.organisation, 0)
        self.running[candidate.organisation] = count + 1


def fair_share_rank(view: PoolView, candidate: Candidate) -> float:
    """Return a candidate's claim to the next slot; the lowest goes first.

    An organisation with few running jobs for its weight goes first, and waiting makes
    up for that, so that neither a large organisation's flood nor a steady stream of
    small ones starves anybody.
    """
    weight = max(0.01, view.weights.get(candidate.organisation, 1.0))
    share = view.running.get(candidate.organisation, 0) / weight
    return share - candidate.waited_seconds / AGING_SECONDS


def choose_worker(
    view: PoolView, candidate: Candidate, random: Random
) -> WorkerCapacity | None:
    """Return the tightest of a few random workers with room, else any with room.

    The tightest keeps whole workers free for jobs that need one. A worker that a wave
    will take soon comes last: what starts there would have to move again.
    """
    capacities = view.capacities
    sample = random.sample(capacities, min(WORKER_SAMPLE_SIZE, len(capacities)))
    fitting = [capacity for capacity in sample if _can_place(view, candidate, capacity)]
    if all(capacity.due for capacity in fitting):
        fitting = [
            capacity for capacity in capacities if _can_place(view, candidate, capacity)
        ]
    return min(
        fitting,
        key=lambda capacity: (
            capacity.due,
            capacity.cores,
            capacity.slots,
            capacity.instance.instance_id,
        ),
        default=None,
    )


def reserve_worker(view: PoolView, candidate: Candidate) -> None:
    """Keep the emptiest worker that could ever take a long-waiting job free for it.

    Without that, small jobs take each slot as it falls free, and a job that needs most
    of a worker waits for ever while the pool is never idle.
    """
    if view.reserved_worker or candidate.waited_seconds < RESERVE_AFTER_SECONDS:
        return
    large_enough = [
        capacity
        for capacity in view.capacities
        if capacity.instance.cores >= candidate.need.cores
        and capacity.instance.memory_gigabytes >= candidate.need.memory_gigabytes
        and capacity.instance.accelerators >= candidate.need.accelerators
        and capacity.instance.instance_id not in candidate.excluded
    ]
    best = max(
        large_enough,
        key=lambda capacity: (
            capacity.cores,
            capacity.slots,
            capacity.instance.instance_id,
        ),
        default=None,
    )
    if best is not None:
        view.reserved_worker = best.instance.instance_id


def _can_place(view: PoolView, candidate: Candidate, capacity: WorkerCapacity) -> bool:
    instance_id = capacity.instance.instance_id
    if instance_id == view.reserved_worker or instance_id in candidate.excluded:
        return False
    return capacity.fits(candidate.need)


def plan_placements(
    view: PoolView, candidates: Sequence[Candidate], limit: int, random: Random
) -> list[tuple[Candidate, WorkerCapacity]]:
    """Return which jobs to start where, the strongest claim first."""
    placed: list[tuple[Candidate, WorkerCapacity]] = []
    unplaceable: set[Need] = set()
    waiting = [(fair_share_rank(view, item), item.job_id, item) for item in candidates]
    heapq.heapify(waiting)
    while waiting and view.slots_left > 0 and len(placed) < limit:
        queued_rank, job_id, candidate = heapq.heappop(waiting)
        current_rank = fair_share_rank(view, candidate)
        # A claim only weakens while its organisation is given slots, so filing it
        # again keeps the order without sorting everything anew for each slot.
        if current_rank > queued_rank:
            heapq.heappush(waiting, (current_rank, job_id, candidate))
            continue
        if candidate.need in unplaceable:
            continue
        capacity = choose_worker(view, candidate, random)
        if capacity is not None:
            view.place(candidate, capacity)
            placed.append((candidate, capacity))
            continue
        if not candidate.excluded:
            unplaceable.add(candidate.need)
        reserve_worker(view, candidate)
    return placed
