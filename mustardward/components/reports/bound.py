"""Compare a day's capacity planning with simple planners and a lower bound; pure.

The lower bound assumes that all arrivals and run times are known in advance: each task
starts as soon as its dependencies have finished, and an instance is kept only while it
is needed, or while removing and adding it again would cost more. A planner that does
not know future arrivals cannot reach it.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Final

from .day_models import Day, Resources
from .pool_simulation import PoolSimulation
from .workload import (
    GRID_SECONDS,
    JobTrace,
    Workload,
    build_workload,
    find_cell,
    sample,
)

MAX_KEPT_GAP_SECONDS: Final = 2.3
"""Longest idle gap in which an instance is kept; removing it and adding it again costs
about as much."""


@dataclass(slots=True)
class PlannerResult:
    """Hold the result of a planner: instance counts per grid cell, by pool.

    :param in_time: jobs completed within their objective.
    """

    name: str
    jobs: int = 0
    in_time: int = 0
    moves: int = 0
    instances: dict[str, list[int]] = field(default_factory=dict)

    @property
    def instance_seconds(self) -> float:
        """Return the instance seconds of all pools."""
        return GRID_SECONDS * sum(sum(counts) for counts in self.instances.values())

    @property
    def share_in_time(self) -> float:
        """Return the share of jobs completed within their objective."""
        return self.in_time / self.jobs if self.jobs else 0.0


def compare_planners(day: Day) -> list[PlannerResult]:
    """Return the results of the system, the lower bound and two simple planners."""
    workload = build_workload(day)
    planners = (
        get_actual_result,
        compute_lower_bound,
        simulate_threshold,
        simulate_fixed_size,
    )
    return [planner(workload) for planner in planners]


def get_actual_result(workload: Workload) -> PlannerResult:
    """Return the actual result of the system, from the logs of its entries."""
    result = PlannerResult("as it was", len(workload.jobs), workload.actual_in_time)
    result.moves = workload.moves
    for service, samples in workload.sizes.items():
        result.instances[service] = sample(samples, workload.cell_count, 0)
    return result


def compute_lower_bound(workload: Workload) -> PlannerResult:
    """Return the instances needed to complete all jobs in time.

    All arrivals and run times are assumed to be known in advance.
    """
    count = len(workload.jobs)
    result = PlannerResult("known beforehand", count, count)
    demand = {
        service: sample(samples, workload.cell_count, Resources())
        for service, samples in workload.long_running.items()
    }
    for job in workload.jobs:
        used = demand.get(job.service, [])
        for start, end, resources in _iter_task_spans(job):
            end_cell = max(find_cell(start) + 1, find_cell(end))
            for cell in range(find_cell(start), min(len(used), end_cell)):
                used[cell] += resources
    for service, used in demand.items():
        size = workload.resources[service]
        min_counts = sample(workload.min_workers[service], workload.cell_count, 0)
        needs = [
            max(math.ceil(amount.share_of(size)), min_workers)
            for amount, min_workers in zip(used, min_counts, strict=True)
        ]
        result.instances[service], moves = fill_short_gaps(needs)
        result.moves += moves
    return result


def _iter_task_spans(job: JobTrace) -> Iterable[tuple[float, float, Resources]]:
    """Yield start, end and resources of each task, started as soon as possible."""
    ends: list[float] = []
    for trace in job.steps:
        start = max((ends[n] for n in trace.after if n < len(ends)), default=0.0)
        start = max(start, job.submitted_at)
        for seconds in trace.seconds:
            yield start, start + seconds, trace.resources
        ends.append(start + max(trace.seconds, default=0.0))


def fill_short_gaps(needs: Sequence[int]) -> tuple[list[int], int]:
    """Return instance counts with short gaps filled, and the remaining moves.

    Instances are treated separately: the k-th is needed while at least k are.
    """
    gap = round(MAX_KEPT_GAP_SECONDS / GRID_SECONDS)
    counts = [0] * len(needs)
    moves = 0
    for ordinal in range(1, max(needs, default=0) + 1):
        last: int | None = None
        for cell, need in enumerate(needs):
            if need < ordinal:
                continue
            if last is None or cell - last > gap:
                moves += 2
                counts[cell] += 1
            else:
                for filled in range(last + 1, cell + 1):
                    counts[filled] += 1
            last = cell
    return counts, moves


def simulate_fixed_size(workload: Workload) -> PlannerResult:
    """Return the result of keeping each pool at its peak size all day."""
    peak = {
        name: max(n for _, n in samples) for name, samples in workload.sizes.items()
    }
    return _simulate("all kept on", workload, peak, autoscales=False)


def simulate_threshold(workload: Workload) -> PlannerResult:
    """Return the result of scaling out at a threshold and in when idle."""
    initial = dict.fromkeys(workload.sizes, 2)
    return _simulate("by threshold", workload, initial, autoscales=True)


def _simulate(
    name: str, workload: Workload, sizes: Mapping[str, int], autoscales: bool
) -> PlannerResult:
    result = PlannerResult(name, len(workload.jobs))
    for service, size in sizes.items():
        service_jobs = [job for job in workload.jobs if job.service == service]
        long_running = sample(
            workload.long_running[service], workload.cell_count, Resources()
        )
        pool = PoolSimulation(
            service_jobs, workload.resources[service], size, autoscales
        )
        result.instances[service] = [
            pool.step(cell * GRID_SECONDS, long_running[cell])
            for cell in range(workload.cell_count)
        ]
        result.in_time += pool.in_time
        result.moves += pool.moves
    return result
