"""Index the workers of the folded state by data centre and pool.

A choice looks at a few random places of a list, so its cost is the same for 48 workers
and for 12,000.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from ...state.fleet import FleetState
from ...state.models.pools import Instance
from .const import LATENCY_SMOOTHING, QUARANTINE_CAUSE
from .health import TRUSTED, Health
from .picklist import PickList

GroupKey = tuple[str, str]
Allot = Callable[[Instance, int], int]
CountLong = Callable[[str], int]


@dataclass(slots=True, eq=False)
class WorkerLoad:
    """Hold what this entry knows of one worker.

    ``others`` is the number of slots that were in use beside ours at ``others_at``
    and counts less and less until ``others_memory`` seconds later. ``allotment`` is
    the number of its slots that no other entry uses first. ``slots`` repeats the
    instance's, so that a choice touches one object less in memory.
    """

    instance: Instance
    group: WorkerGroup
    in_flight: int = 0
    usable: bool = False
    counted_slots: int = 0
    counted_lent: int = 0
    counted: bool = False
    allotment: int = 0
    long_tasks: int = 0
    others: float = 0.0
    others_at: float = 0.0
    others_memory: float = 1.0
    avoid_until: float = 0.0
    suspect: bool = False
    unreachable: int = 0
    penalised_until: float = 0.0
    slots: int = 0
    health: Health = field(default_factory=Health)

    @property
    def is_full(self) -> bool:
        """Tell whether our own requests fill every slot or connection."""
        return self.in_flight >= self.slots

    @property
    def request_slots(self) -> int:
        """Return the slots that long work leaves to requests."""
        return max(0, self.instance.slots - self.long_tasks)


@dataclass(slots=True, eq=False)
class WorkerGroup:
    """Hold the workers of one pool in one data centre.

    ``open`` lists those that may get work now, ``allotted`` those of them that have
    a free slot of our own allotment. ``slots`` are those for requests,
    ``lent`` those that long work holds, and ``failure_sum`` the failure shares, all of
    the trusted ones.
    """

    key: GroupKey
    members: dict[str, WorkerLoad] = field(default_factory=dict)
    open: PickList[WorkerLoad] = field(default_factory=PickList)
    allotted: PickList[WorkerLoad] = field(default_factory=PickList)
    usable: int = 0
    trusted: int = 0
    slots: int = 0
    lent: int = 0
    failure_sum: float = 0.0
    quarantined: set[str] = field(default_factory=set)
    usual_seconds: float = 0.0

    def learn(self, latency: float) -> None:
        """Take the latency of an answer into account."""
        if not self.usual_seconds:
            self.usual_seconds = latency
        self.usual_seconds += LATENCY_SMOOTHING * (latency - self.usual_seconds)

    def peers_share(self, load: WorkerLoad) -> float:
        """Return the mean failure share of the other trusted workers."""
        others = len(self.members) - len(self.quarantined) - 1
        if others < 1:
            return 1.0
        return max(0.0, self.failure_sum - load.health.failure_share) / others


class FleetIndex:
    """Follow the folded state.

    :param state: the state to read.
    :param allot: returns how many of a worker's slots for requests are ours first.
    :param count_job_slots: returns the slots that jobs hold on a worker.
    """

    def __init__(
        self, state: FleetState, allot: Allot, count_job_slots: CountLong
    ) -> None:
        self._state = state
        self._allot = allot
        self._count_job_slots = count_job_slots
        self._loads: dict[str, WorkerLoad] = {}
        self._groups: dict[GroupKey, WorkerGroup] = {}
        self._data_centres: dict[str, set[str]] = {}
        for instance_id in state.instances:
            self.refresh(instance_id)

    @property
    def state(self) -> FleetState:
        """Return the state that the index follows."""
        return self._state

    def group(self, data_centre: str, pool: str) -> WorkerGroup | None:
        """Return the workers of a pool in a data centre, if there are any."""
        return self._groups.get((data_centre, pool))

    def data_centres(self, pool: str) -> frozenset[str]:
        """Return the data centres that hold workers of a pool."""
        return frozenset(self._data_centres.get(pool, ()))

    def load(self, instance_id: str) -> WorkerLoad | None:
        """Return what is known of a worker."""
        return self._loads.get(instance_id)

    def adopt(self, previous: FleetIndex) -> None:
        """Keep in-flight counts and verdicts when the state object was replaced."""
        for instance_id, old in previous._loads.items():
            load = self._loads.get(instance_id)
            if load is None:
                continue
            load.in_flight = old.in_flight
            load.health = old.health
            if old.health.standing == TRUSTED:
                load.group.failure_sum += old.health.failure_share
            else:
                load.group.quarantined.add(instance_id)
            self.place(load)

    def allot_again(self) -> None:
        """Work out all allotments again, after entries came or went."""
        for load in self._loads.values():
            load.allotment = self._allot(load.instance, load.request_slots)
            self.place(load)

    def refresh(self, instance_id: str) -> WorkerLoad | None:
        """Bring one worker in line with the state."""
        instance = self._state.instances.get(instance_id)
        load = self._loads.get(instance_id)
        if instance is None or instance.removed:
            if load is not None:
                self._drop(load)
            return None
        key = (instance.data_centre, instance.pool)
        if load is None or load.group.key != key:
            load = self._move(load, instance, key)
        load.instance = instance
        load.slots = min(instance.slots, instance.connections)
        load.long_tasks = self._count_job_slots(instance_id)
        load.allotment = self._allot(instance, load.request_slots)
        self._set_usable(load, self._may_get_work(instance_id))
        self.place(load)
        return load

    def place(self, load: WorkerLoad) -> None:
        """Put a worker on or off the list of those that may get work now."""
        trusted = load.usable and load.health.standing == TRUSTED
        slots = load.request_slots if trusted else 0
        lent = load.instance.slots - slots if trusted else 0
        load.group.slots += slots - load.counted_slots
        load.group.lent += lent - load.counted_lent
        load.counted_slots = slots
        load.counted_lent = lent
        load.group.trusted += trusted - load.counted
        load.counted = trusted
        wanted = trusted and not load.is_full
        load.group.open.keep(load, wanted)
        load.group.allotted.keep(load, wanted and load.in_flight < load.allotment)

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

    def _move(
        self, old: WorkerLoad | None, instance: Instance, key: GroupKey
    ) -> WorkerLoad:
        if old is not None:
            self._drop(old)
        group = self._groups.get(key)
        if group is None:
            group = self._groups[key] = WorkerGroup(key)
        load = WorkerLoad(instance, group)
        if old is not None:
            load.in_flight = old.in_flight
        group.members[instance.instance_id] = load
        self._loads[instance.instance_id] = load
        self._data_centres.setdefault(instance.pool, set()).add(instance.data_centre)
        return load

    def _drop(self, load: WorkerLoad) -> None:
        instance_id = load.instance.instance_id
        self._set_usable(load, False)
        self.place(load)
        group = load.group
        group.members.pop(instance_id, None)
        group.quarantined.discard(instance_id)
        if load.health.standing == TRUSTED:
            group.failure_sum -= load.health.failure_share
        self._loads.pop(instance_id, None)
        if not group.members:
            data_centre, pool = group.key
            self._groups.pop(group.key, None)
            self._data_centres.get(pool, set()).discard(data_centre)
