"""Choose the next job and its worker, without I/O; randomness is passed in."""

from __future__ import annotations

import heapq
from collections.abc import Sequence
from dataclasses import dataclass, field
from random import Random

from .const import AGING_SECONDS, RESERVE_AFTER_SECONDS, WORKER_SAMPLE_SIZE
from .models import Need, WorkerCapacity


@dataclass(frozen=True, slots=True)
class Candidate:
    """A waiting job that may be placed; ``excluded`` are workers it must not use."""

    job_id: str
    organisation: str
    need: Need
    waited_seconds: float
    excluded: frozenset[str] = frozenset()


@dataclass(slots=True)
class PoolView:
    """What a pool currently offers to jobs.

    ``slots_left`` is the number of slots that jobs may still take without using the
    urgent reserve; ``running`` and ``weights`` are by organisation.
    """

    capacities: list[WorkerCapacity]
    slots_left: int
    running: dict[str, int] = field(default_factory=dict)
    weights: dict[str, float] = field(default_factory=dict)
    reserved_worker: str = ""

    def place(self, candidate: Candidate, capacity: WorkerCapacity) -> None:
        """Account for a placement."""
        capacity.reserve(candidate.need)
        self.slots_left -= 1
        count = self.running.get(candidate.organisation, 0)
        self.running[candidate.organisation] = count + 1


def fair_share_rank(view: PoolView, candidate: Candidate) -> float:
    """Return a candidate's rank for the next slot; the lowest goes first.

    An organisation with few running jobs for its weight goes first, and waiting time
    lowers the rank, so that neither a burst of jobs from a large organisation nor a
    steady stream from small ones starves others.
    """
    weight = max(0.01, view.weights.get(candidate.organisation, 1.0))
    share = view.running.get(candidate.organisation, 0) / weight
    return share - candidate.waited_seconds / AGING_SECONDS


def choose_worker(
    view: PoolView, candidate: Candidate, random: Random
) -> WorkerCapacity | None:
    """Return the fullest worker that fits out of a random sample, else out of all.

    Filling the fullest worker keeps whole workers free for jobs that need one. Workers
    that a maintenance wave will claim soon come last, since a job started there would
    have to move again.
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
    """Reserve the emptiest worker that is large enough for a job that waited long.

    Otherwise small jobs take each slot as it becomes free, and in a busy pool a job
    that needs most of a worker waits indefinitely.
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
    """Return which jobs to start on which workers, ordered by fair share rank."""
    placed: list[tuple[Candidate, WorkerCapacity]] = []
    unplaceable: set[Need] = set()
    waiting = [(fair_share_rank(view, item), item.job_id, item) for item in candidates]
    heapq.heapify(waiting)
    while waiting and view.slots_left > 0 and len(placed) < limit:
        queued_rank, job_id, candidate = heapq.heappop(waiting)
        current_rank = fair_share_rank(view, candidate)
        # A rank only rises while its organisation gets slots, so re-queueing outdated
        # entries keeps the order without sorting all of them again for each slot.
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
