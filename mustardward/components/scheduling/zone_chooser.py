"""Choose the data centres in which a job may start; the log is told of them first.

Symptom without it: a data centre is cut off with the owner in it, and for five seconds
nothing starts of any job that the owner had taken in, wherever there is room.
Cause: starts are not stored, so that each of those jobs might run on a worker that the
next owner can't ask. With the data centres stored before anything of a job starts, only
jobs that may run in one that is cut off wait for its leases to run out.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from ...helpers.policies import switchable
from .models import Job, StepRun
from .placement import fits, may_run
from .scheduler_state import SchedulerState
from .worker_state import WorkerState

Key = tuple[str, str]
ByZone = Mapping[str, Sequence[WorkerState]]


def _choose_no_zones(zones: ZoneChooser, /, job: Job) -> None:
    """Let a job start in any data centre."""


@dataclass(slots=True, eq=False)
class ZoneChooser:
    """Choose data centres by the work that was promised to their workers.

    Work is in core seconds, by pool and data centre. What each job adds is held by its
    id, so that a job that comes costs no look at all others.
    """

    state: SchedulerState
    _assigned_work: dict[Key, float] = field(default_factory=lambda: defaultdict(float))
    _work_by_job: dict[str, tuple[list[Key], float]] = field(default_factory=dict)

    @switchable(
        "zones-told",
        "a data centre that is cut off holds up the jobs that may run in it, no others",
        without=_choose_no_zones,
    )
    def choose(self, job: Job) -> None:
        """Choose where a job that was just taken in may start.

        Lasting tasks spread, a gang needs much room at once, and advice names workers
        anywhere: these go anywhere.
        """
        if any(step.long_running or step.gang for step in job.record.steps):
            return
        if job.policy.advice:
            return
        capacity = self._capacity(job)
        if not capacity or "" in capacity:
            return
        near_data = self._zones_near_data(job) & set(capacity)
        job.zones = frozenset(near_data or (self._least_assigned(job, capacity),))
        self.add_work(job)

    def add_work(self, job: Job) -> None:
        """Count a job's work for the data centres in which it may start."""
        self.remove_work(job)
        if not job.zones:
            return
        share = self.state.estimates.remaining_work(job) / len(job.zones)
        keys = [(job.policy.service, zone) for zone in job.zones]
        for key in keys:
            self._assigned_work[key] += share
        self._work_by_job[job.record.id] = (keys, share)

    def remove_work(self, job: Job) -> None:
        """Count a job's work no longer, since it is over."""
        keys, share = self._work_by_job.pop(job.record.id, ([], 0.0))
        for key in keys:
            self._assigned_work[key] -= share

    def add_zone(self, step: StepRun, by_zone: ByZone, promised: Counter[str]) -> bool:
        """Let a job start in one data centre more, where there is room for its step.

        :param promised: room given away like that in this plan; it is added to.
        :returns: whether any data centre has room for one of the step's tasks.
        """
        job = step.job
        if job.zones is None:
            return False
        if job.zones != job.stored_zones:
            # The log is being told.
            return True
        room = step.room
        free: dict[str, int] = {}
        for zone, workers in by_zone.items():
            if zone in job.zones:
                continue
            able = [w for w in workers if fits(w, room) and may_run(w, step)]
            if able:
                free[zone] = sum(worker.free_cpu for worker in able)
        if not free:
            return False
        best = max(sorted(free), key=lambda zone: free[zone] - promised[zone])
        if free[best] - promised[best] >= room.cpu:
            promised[best] += room.cpu * len(step.waiting)
            job.zones = job.zones | {best}
            self.add_work(job)
            self.state.mark_dirty(job)
        return True

    def _capacity(self, job: Job) -> dict[str, int]:
        """Return the processors of the job's pool by data centre."""
        capacity: Counter[str] = Counter()
        for worker in self.state.workers.values():
            is_usable = worker.confirmed and not (worker.leaving or worker.draining)
            is_usable = is_usable and worker.id not in self.state.unusable_workers
            if worker.service == job.policy.service and is_usable and not worker.absent:
                capacity[worker.zone] += worker.capacity.cpu
        return {zone: cpu for zone, cpu in capacity.items() if cpu > 0}

    def _least_assigned(self, job: Job, capacity: dict[str, int]) -> str:
        work = self.state.estimates.remaining_work(job)
        service = job.policy.service
        return min(
            sorted(capacity),
            key=lambda zone: (
                (self._assigned_work[service, zone] + work) / capacity[zone]
            ),
        )

    def _zones_near_data(self, job: Job) -> set[str]:
        racks = {step.data_rack for step in job.record.steps if step.data_rack}
        if not racks:
            return set()
        return {
            worker.zone
            for worker in self.state.workers.values()
            if worker.service == job.policy.service and worker.rack in racks
        }


def promised_room(steps: Iterable[StepRun]) -> Counter[str]:
    """Return the room that is promised to jobs whose next data centre is told."""
    promised: Counter[str] = Counter()
    for step in steps:
        job = step.job
        if job.zones is not None and job.zones != job.stored_zones:
            for zone in job.zones - (job.stored_zones or frozenset()):
                promised[zone] += step.room.cpu * len(step.waiting)
    return promised
