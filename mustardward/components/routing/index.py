"""Index the workers of the folded state by data centre and pool.

A choice looks at a few random workers of a list, so its cost is the same for 48 workers
and for 12,000.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from ...state.fleet import FleetState
from ...state.models.pools import Instance
from .const import LATENCY_SMOOTHING, QUARANTINE_CAUSE
from .health import TRUSTED, Health
from .random_access_set import RandomAccessSet

GroupKey = tuple[str, str]
ComputePreferredSlots = Callable[[Instance, int], int]
CountJobSlots = Callable[[str], int]


@dataclass(slots=True, eq=False)
class WorkerLoad:
    """State of one worker as this entry knows it.

    ``external_in_flight`` is the number of slots used by others at
    ``external_observed_at``; it fades to zero over ``external_maximum_age`` seconds.
    ``preferred_slots`` is the number of its slots that this entry uses before all other
    entries. ``slots`` duplicates the instance's value, so that a choice touches one
    object less in memory. The ``counted_`` fields are this worker's current
    contribution to the totals of its group.
    """

    instance: Instance
    group: WorkerGroup
    in_flight: int = 0
    usable: bool = False
    counted_slots: int = 0
    counted_job_slots: int = 0
    counted_trusted: bool = False
    preferred_slots: int = 0
    job_slots: int = 0
    external_in_flight: float = 0.0
    external_observed_at: float = 0.0
    external_maximum_age: float = 1.0
    avoid_until: float = 0.0
    reported_unhealthy: bool = False
    unreachable_count: int = 0
    penalised_until: float = 0.0
    slots: int = 0
    health: Health = field(default_factory=Health)

    @property
    def is_full(self) -> bool:
        """Return whether this entry's requests fill all slots or connections."""
        return self.in_flight >= self.slots

    @property
    def request_slots(self) -> int:
        """Return the slots available to requests, which are those not held by jobs."""
        return max(0, self.instance.slots - self.job_slots)


@dataclass(slots=True, eq=False)
class WorkerGroup:
    """Workers of one pool in one data centre.

    ``available`` holds those that may get work now, ``preferred`` those of them with a
    free preferred slot. ``slots`` are the slots for requests, ``job_slots`` those held
    by jobs and ``failure_sum`` the sum of failure shares, each over the trusted
    workers.
    """

    key: GroupKey
    members: dict[str, WorkerLoad] = field(default_factory=dict)
    available: RandomAccessSet[WorkerLoad] = field(default_factory=RandomAccessSet)
    preferred: RandomAccessSet[WorkerLoad] = field(default_factory=RandomAccessSet)
    usable: int = 0
    trusted: int = 0
    slots: int = 0
    job_slots: int = 0
    failure_sum: float = 0.0
    quarantined: set[str] = field(default_factory=set)
    baseline_seconds: float = 0.0

    def record_latency(self, latency: float) -> None:
        """Record the latency of a response."""
        if not self.baseline_seconds:
            self.baseline_seconds = latency
        self.baseline_seconds += LATENCY_SMOOTHING * (latency - self.baseline_seconds)

    def peers_share(self, load: WorkerLoad) -> float:
        """Return the mean failure share of the other trusted workers."""
        peers = len(self.members) - len(self.quarantined) - 1
        if peers < 1:
            return 1.0
        return max(0.0, self.failure_sum - load.health.failure_share) / peers


class FleetIndex:
    """Index of workers that follows the folded state.

    :param state: the state to index.
    :param compute_preferred_slots: returns how many of the request slots of a worker
        this entry uses before all others.
    :param count_job_slots: returns the slots that jobs hold on a worker.
    """

    def __init__(
        self,
        state: FleetState,
        compute_preferred_slots: ComputePreferredSlots,
        count_job_slots: CountJobSlots,
    ) -> None:
        self._state = state
        self._compute_preferred_slots = compute_preferred_slots
        self._count_job_slots = count_job_slots
        self._loads: dict[str, WorkerLoad] = {}
        self._groups: dict[GroupKey, WorkerGroup] = {}
        self._data_centres: dict[str, set[str]] = {}
        for instance_id in state.instances:
            self.refresh(instance_id)

    @property
    def state(self) -> FleetState:
        """Return the indexed state."""
        return self._state

    def group(self, data_centre: str, pool: str) -> WorkerGroup | None:
        """Return the workers of a pool in a data centre, or ``None``."""
        return self._groups.get((data_centre, pool))

    def data_centres(self, pool: str) -> frozenset[str]:
        """Return the data centres with workers of a pool."""
        return frozenset(self._data_centres.get(pool, ()))

    def load(self, instance_id: str) -> WorkerLoad | None:
        """Return the load of a worker, or ``None`` if it is unknown."""
        return self._loads.get(instance_id)

    def carry_over(self, previous: FleetIndex) -> None:
        """Take over in-flight counts and health from the index of a replaced state."""
        for instance_id, previous_load in previous._loads.items():
            load = self._loads.get(instance_id)
            if load is None:
                continue
            load.in_flight = previous_load.in_flight
            load.health = previous_load.health
            if previous_load.health.state == TRUSTED:
                load.group.failure_sum += previous_load.health.failure_share
            else:
                load.group.quarantined.add(instance_id)
            self.update_group(load)

    def recompute_preferred_slots(self) -> None:
        """Recompute all preferred slots after the entries changed."""
        for load in self._loads.values():
            load.preferred_slots = self._compute_preferred_slots(
                load.instance, load.request_slots
            )
            self.update_group(load)

    def refresh(self, instance_id: str) -> WorkerLoad | None:
        """Update one worker from the state and return its load, if it still exists."""
        instance = self._state.instances.get(instance_id)
        load = self._loads.get(instance_id)
        if instance is None or instance.removed:
            if load is not None:
                self._remove(load)
            return None
        key = (instance.data_centre, instance.pool)
        if load is None or load.group.key != key:
            load = self._add(load, instance, key)
        load.instance = instance
        load.slots = min(instance.slots, instance.connections)
        load.job_slots = self._count_job_slots(instance_id)
        load.preferred_slots = self._compute_preferred_slots(
            instance, load.request_slots
        )
        self._set_usable(load, self._may_get_work(instance_id))
        self.update_group(load)
        return load

    def update_group(self, load: WorkerLoad) -> None:
        """Update the lists and totals of a worker's group after a change."""
        trusted = load.usable and load.health.state == TRUSTED
        slots = load.request_slots if trusted else 0
        job_slots = load.instance.slots - slots if trusted else 0
        load.group.slots += slots - load.counted_slots
        load.group.job_slots += job_slots - load.counted_job_slots
        load.counted_slots = slots
        load.counted_job_slots = job_slots
        load.group.trusted += trusted - load.counted_trusted
        load.counted_trusted = trusted
        is_available = trusted and not load.is_full
        load.group.available.set_member(load, is_available)
        load.group.preferred.set_member(
            load, is_available and load.in_flight < load.preferred_slots
        )

    def _may_get_work(self, instance_id: str) -> bool:
        state = self._state
        if instance_id in state.claims or instance_id in state.moves:
            return False
        absence = state.absences.get(instance_id)
        return absence is None or absence.cause == QUARANTINE_CAUSE

    def _set_usable(self, load: WorkerLoad, usable: bool) -> None:
        if load.usable == usable:
            return
        load.usable = usable
        load.group.usable += 1 if usable else -1

    def _add(
        self, previous_load: WorkerLoad | None, instance: Instance, key: GroupKey
    ) -> WorkerLoad:
        if previous_load is not None:
            self._remove(previous_load)
        group = self._groups.get(key)
        if group is None:
            group = self._groups[key] = WorkerGroup(key)
        load = WorkerLoad(instance, group)
        if previous_load is not None:
            load.in_flight = previous_load.in_flight
        group.members[instance.instance_id] = load
        self._loads[instance.instance_id] = load
        self._data_centres.setdefault(instance.pool, set()).add(instance.data_centre)
        return load

    def _remove(self, load: WorkerLoad) -> None:
        instance_id = load.instance.instance_id
        self._set_usable(load, False)
        self.update_group(load)
        group = load.group
        group.members.pop(instance_id, None)
        group.quarantined.discard(instance_id)
        if load.health.state == TRUSTED:
            group.failure_sum -= load.health.failure_share
        self._loads.pop(instance_id, None)
        if not group.members:
            data_centre, pool = group.key
            self._groups.pop(group.key, None)
            self._data_centres.get(pool, set()).discard(data_centre)
