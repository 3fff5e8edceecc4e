"""Derive the scheduler's view of the pools of one data centre."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from ...state.fleet import FleetState
from ...state.models.jobs import Job
from ...state.models.maintenance import ClaimStage
from ...state.models.pools import Instance
from ...state.models.templates import Organisation, Urgency
from ...state.protocols import FleetLog
from ...state.wave_queries import is_due, running_waves
from .job_index import JobIndex
from .models import Need, WorkerCapacity, could_ever_fit, need_of, total_capacity
from .placement import PoolView

_DRAINING_STAGES: Final = (ClaimStage.CLAIMED, ClaimStage.DRAINING)


@dataclass(slots=True, eq=False)
class PoolIndex:
    """Index a data centre's instances and urgent reserves by pool.

    The index is rebuilt on the first access after the fleet's state changed, so that
    instances aren't scanned for each job.

    :param is_eligible: returns whether membership allows a worker to get work.
    """

    fleet: FleetLog
    data_centre: str
    is_eligible: Callable[[str], bool]
    _sequence: int = -1
    _by_pool: dict[str, list[Instance]] = field(default_factory=dict)
    _urgent_reserves: dict[str, float] = field(default_factory=dict)

    def instances(self, pool: str) -> list[Instance]:
        """Return the instances of a pool in this data centre, usable or not."""
        self._refresh()
        return self._by_pool.get(pool, [])

    def urgent_reserve(self, pool: str) -> float:
        """Return the share of each worker's slots that jobs leave free.

        It is the largest urgent reserve of the organisations whose requests the pool
        serves, whatever their urgency class, since jobs can wait and callers can't.
        """
        self._refresh()
        return self._urgent_reserves.get(pool, 0.0)

    def can_ever_run(self, pool: str, need: Need) -> bool:
        """Return whether any worker of the pool is large enough when empty."""
        return any(could_ever_fit(item, need) for item in self.instances(pool))

    def is_usable(self, instance_id: str) -> bool:
        """Return whether a worker may be given a new task."""
        state = self.fleet.state
        instance = state.instances.get(instance_id)
        if instance is None or instance.removed or instance_id in state.claims:
            return False
        return not self.must_vacate(instance_id) and self.is_eligible(instance_id)

    def must_vacate(self, instance_id: str) -> bool:
        """Return whether the fleet's state requires that a worker is vacated."""
        state = self.fleet.state
        instance = state.instances.get(instance_id)
        claim = state.claims.get(instance_id)
        # In its first stages a claim lets running tasks finish.
        claimed = claim is not None and claim.stage not in _DRAINING_STAGES
        unavailable = claimed or instance_id in state.moves
        return unavailable or instance is None or instance.removed

    def view(
        self, pool: str, job_index: JobIndex, excluded: frozenset[str]
    ) -> PoolView:
        """Return what the pool offers to jobs; ``excluded`` workers get none."""
        capacities = []
        total = 0
        busy = 0
        waves = running_waves(self.fleet.state)
        for instance in self.instances(pool):
            if not self.is_usable(instance.instance_id):
                continue
            capacity, count = _remaining_capacity(instance, job_index)
            # The reserve is kept on each worker, so that a request finds a free slot
            # wherever it is sent instead of trying several full workers.
            capacity.slots -= round(instance.slots * self.urgent_reserve(pool))
            total += instance.slots
            busy += count
            capacity.due = is_due(waves, instance.instance_id)
            if instance.instance_id not in excluded:
                capacities.append(capacity)
        allowed = math.floor(total * (1.0 - self.urgent_reserve(pool)))
        weights = {
            name: organisation.parameters.quota.weight
            for name, organisation in self.fleet.state.organisations.items()
        }
        return PoolView(capacities, allowed - busy, {}, weights)

    def _refresh(self) -> None:
        if self._sequence == self.fleet.sequence:
            return
        state = self.fleet.state
        by_pool: dict[str, list[Instance]] = {}
        for instance in state.instances.values():
            if instance.data_centre == self.data_centre and not instance.removed:
                by_pool.setdefault(instance.pool, []).append(instance)
        self._by_pool = by_pool
        self._urgent_reserves = _compute_urgent_reserves(state)
        self._sequence = self.fleet.sequence


def _remaining_capacity(
    instance: Instance, job_index: JobIndex
) -> tuple[WorkerCapacity, int]:
    capacity = total_capacity(instance)
    jobs: list[Job] = []
    for job_id in job_index.running_on(instance.instance_id):
        job = job_index.state.jobs.get(job_id)
        if job is not None:
            jobs.append(job)
            capacity.reserve(need_of(job))
    return capacity, len(jobs)


def _compute_urgent_reserves(state: FleetState) -> dict[str, float]:
    reserves: dict[str, float] = {}
    for organisation in state.organisations.values():
        share = organisation.parameters.urgent_reserve
        for pool in _request_pools(organisation):
            reserves[pool] = max(share, reserves.get(pool, 0.0))
    return reserves


def _request_pools(organisation: Organisation) -> set[str]:
    services = organisation.parameters.services
    return {item.pool for item in services if item.urgency is not Urgency.LONG}
