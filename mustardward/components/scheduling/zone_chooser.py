"""Choose the data centres in which a job may start, which are stored in the log first.

Starts are not stored. When a data centre is partitioned with the owner in it, the next
owner can't reach its workers, and any job from the previous owner might run there.
Without stored data centres, none of these jobs could start anywhere for five seconds.
With the data centres stored before a job starts, only jobs that may run in the
partitioned one wait until its leases have expired.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Final

from ...helpers.policies import switchable
from .models import Job, StepRun
from .placement import fits, may_run
from .scheduler_state import SchedulerState
from .worker_state import WorkerState

MAX_JOB_CORE_SECONDS: Final = 1e6
"""Bound of the work that one job counts with. Beside much larger numbers, the work of
all other jobs would be lost by rounding, also once the job is over."""

Key = tuple[str, str]
ByZone = Mapping[str, Sequence[WorkerState]]


def _choose_no_zones(zones: ZoneChooser, /, job: Job) -> None:
    """Let a job start in any data centre."""


@dataclass(slots=True, eq=False)
class ZoneChooser:
    """Choose data centres by the work that is assigned to them.

    Work is counted in core seconds, by pool and data centre. Each job's part is stored
    by its id, so that adding a job does not require a scan of all others.
    """

    state: SchedulerState
    _assigned_work: dict[Key, float] = field(default_factory=lambda: defaultdict(float))
    _work_by_job: dict[str, tuple[list[Key], float]] = field(default_factory=dict)

    @switchable(
        "zones-told",
        "a partitioned data centre delays only the jobs that may run in it",
        without=_choose_no_zones,
    )
    def choose(self, job: Job) -> None:
        """Choose the data centres in which a newly added job may start.

        Jobs with long-running tasks, which spread, with gangs, which need much room at
        once, or with advice, which may name workers anywhere, are not restricted.
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
        """Add a job's work to the data centres in which it may start."""
        self.remove_work(job)
        if not job.zones:
            return
        work = min(self.state.estimates.remaining_work(job), MAX_JOB_CORE_SECONDS)
        share = work / len(job.zones)
        keys = [(job.policy.service, zone) for zone in job.zones]
        for key in keys:
            self._assigned_work[key] += share
        self._work_by_job[job.record.id] = (keys, share)

    def remove_work(self, job: Job) -> None:
        """Remove a job's work from its data centres."""
        keys, share = self._work_by_job.pop(job.record.id, ([], 0.0))
        for key in keys:
            self._assigned_work[key] -= share

    def add_zone(self, step: StepRun, by_zone: ByZone, promised: Counter[str]) -> bool:
        """Add a data centre with room for a step to those of its job.

        :param promised: processors promised by data centre in this plan; updated here.
        :returns: whether any other data centre has room for one of the step's tasks.
        """
        job = step.job
        if job.zones is None:
            return False
        if job.zones != job.stored_zones:
            # The previous addition is still being stored.
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
        """Return the processors of usable workers in a job's pool by data centre."""
        capacity: Counter[str] = Counter()
        for worker in self.state.workers.values():
            is_usable = worker.confirmed and not (worker.cordoned or worker.draining)
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
    """Return the processors promised to jobs whose next data centre is being stored."""
    promised: Counter[str] = Counter()
    for step in steps:
        job = step.job
        if job.zones is not None and job.zones != job.stored_zones:
            for zone in job.zones - (job.stored_zones or frozenset()):
                promised[zone] += step.room.cpu * len(step.waiting)
    return promised
