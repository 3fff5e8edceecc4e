"""Run the jobs of several entries on a shared log and fake workers."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random
from types import SimpleNamespace
from typing import Any

from mustardward.components.jobs.attempt_manager import AttemptManager
from mustardward.components.jobs.attempt_statistics import AttemptStatistics
from mustardward.components.jobs.models import Submission
from mustardward.components.jobs.pool_view import PoolIndex
from mustardward.components.jobs.scheduler import JobScheduler
from mustardward.components.jobs.services import LogJobService
from mustardward.components.jobs.slot_reclaimer import SlotReclaimer
from mustardward.helpers.timer import DrivenTimerService
from mustardward.state.fleet import FleetState
from mustardward.state.models.pools import Instance
from mustardward.state.models.templates import (
    Organisation,
    Overrides,
    Parameters,
    Quota,
    ServiceBinding,
    Urgency,
)
from tests.fakes.workers import FakeWorker, FakeWorkers
from tests.fakes.worklog import FakeWorkLog, SharedLog

POOL = "casting"
TICK_SECONDS = 1.0


@dataclass(slots=True, eq=False)
class Entry:
    """Hold one entry's job services."""

    name: str
    log: FakeWorkLog
    attempt_manager: AttemptManager
    scheduler: JobScheduler
    service: LogJobService
    frozen: bool = False

    @property
    def stopped(self) -> bool:
        """Return whether the process is paused, as its peers would detect it."""
        return self.frozen or (self.log.wake_up is not None and self.log.cut_off)


@dataclass(slots=True, eq=False)
class JobsWorld:
    """Run entries and workers with a driven clock in steps of a second."""

    workers_count: int = 4
    slots: int = 8
    reserve: float = 0.0
    quota: int = 100_000
    timers: DrivenTimerService = field(default_factory=DrivenTimerService)
    shared: SharedLog = field(default_factory=SharedLog)
    entries: dict[str, Entry] = field(default_factory=dict)
    fleet: Any = None
    workers: Any = None

    def __post_init__(self) -> None:
        state = FleetState()
        self.fleet = SimpleNamespace(state=state, sequence=1, ready=True)
        self.workers = FakeWorkers(self.timers)
        for number in range(self.workers_count):
            self.add_worker(f"worker-{number}")
        for name in ("derwent", "hvelvlogikk"):
            self.add_organisation(name)

    def add_worker(self, name: str, **fields: Any) -> None:
        instance = Instance(
            name, "dc-1", "rack-1", name, POOL, 1, slots=self.slots, **fields
        )
        self.fleet.state.instances[name] = instance
        self.fleet.sequence += 1
        self.workers.at[name] = FakeWorker(slots=self.slots)

    def add_organisation(self, name: str) -> None:
        parameters = Parameters(
            services=(
                ServiceBinding("plans", POOL, Urgency.LONG),
                ServiceBinding("quotes", POOL, Urgency.URGENT),
            ),
            urgent_reserve=self.reserve,
            quota=Quota(long_jobs=self.quota),
        )
        self.fleet.state.organisations[name] = Organisation(
            name, "template", 1, 1, Overrides(), parameters
        )
        self.fleet.sequence += 1

    def add_entry(self, name: str) -> Entry:
        log = FakeWorkLog(self.shared, name)
        pools = PoolIndex(self.fleet, "dc-1", lambda instance_id: True)
        attempt_manager = AttemptManager(
            log=log,
            workers=self.workers,
            timers=self.timers,
            identity=f"{name}/1",
            is_usable=pools.is_usable,
            statistics=AttemptStatistics(
                self.timers, lambda job: f"{job.organisation}/{job.service}"
            ),
        )
        scheduler = JobScheduler(
            log=log,
            attempt_manager=attempt_manager,
            pools=pools,
            timers=self.timers,
            owns_duty=lambda duty: self._first_alive() == name,
            is_holder_live=self._is_present,
            random=Random(7),
        )
        log.listen(scheduler.on_record)
        self.timers.subscribe_pause(attempt_manager.on_pause)
        ids = iter(range(1_000_000))
        service = LogJobService(
            log,
            self.fleet,
            pools,
            scheduler,
            SlotReclaimer(scheduler, self.timers),
            lambda: f"{name}-{next(ids)}",
        )
        self.entries[name] = Entry(name, log, attempt_manager, scheduler, service)
        return self.entries[name]

    def remove_entry(self, name: str) -> Entry:
        """Remove an entry without notice, as when its instance is replaced."""
        entry = self.entries.pop(name)
        self.shared.readers.remove(entry.log)
        return entry

    async def async_run(self, seconds: float) -> None:
        """Advance the clock, and run the scheduler ticks of all active entries."""
        for _ in range(int(seconds / TICK_SECONDS)):
            await self.timers.async_advance(TICK_SECONDS)
            self.workers.advance()
            for entry in list(self.entries.values()):
                if not entry.frozen:
                    await entry.scheduler.async_tick()

    async def async_submit(self, entry: Entry, job_id: str, **fields: Any) -> str:
        """Submit a job and return its full id."""
        values = {"organisation": "derwent", "service": "plans"} | fields
        submission = Submission(job_id=job_id, **values)
        return (await entry.service.async_submit(submission, "tests")).unwrap().job_id

    def _is_present(self, holder: str) -> bool:
        entry = self.entries.get(holder.split("/")[0])
        return entry is not None and not entry.stopped

    def _first_alive(self) -> str:
        alive = [item.name for item in self.entries.values() if not item.stopped]
        return min(alive, default="")
