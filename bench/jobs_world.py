"""Drive long work through seeded faults and check what became of each job."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from random import Random

import anyio
import anyio.lowlevel
from returns.result import Success

from mustardward.components.jobs.models import Submission
from mustardward.standin.protocol.models import TaskOrder
from tests.fakes.jobs_world import Entry, JobsWorld
from tests.fakes.worklog import FakeWorkLog

JOBS = 48
FAULT_SECONDS = 240
QUIET_SECONDS = 900
ENTRIES = 3
WORKERS = 5
SETTLED = ("done", "cancelled", "parked", "held")
OVERLAP = 1e-6


@dataclass(slots=True)
class RunFigures:
    """Count what one run, or all runs, showed."""

    jobs: int = 0
    faults: int = 0
    lost: int = 0
    doubled: int = 0
    stray: int = 0
    repeated: int = 0
    done: int = 0
    cancelled: int = 0
    held: int = 0
    parked: int = 0
    appends: int = 0
    seconds: int = 0

    def add(self, other: RunFigures) -> None:
        """Add another run's counts."""
        for name in self.__slots__:
            setattr(self, name, getattr(self, name) + getattr(other, name))


@dataclass(slots=True, eq=False)
class FaultyRun:
    """Run one seed."""

    seed: int
    faults_on: bool = True
    figures: RunFigures = field(default_factory=RunFigures)
    _world: JobsWorld = field(init=False)
    _random: Random = field(init=False)
    _ids: dict[str, bool] = field(default_factory=dict)
    _ticking: set[str] = field(default_factory=set)
    _timed: list[tuple[float, object]] = field(default_factory=list)
    _observer: FakeWorkLog = field(init=False)
    _accepted: set[str] = field(default_factory=set)
    _born: int = 0

    def __post_init__(self) -> None:
        self._random = Random(self.seed)
        self._world = JobsWorld(workers_count=WORKERS, slots=4)
        for _ in range(ENTRIES):
            self._add_entry()
        self._observer = FakeWorkLog(self._world.shared, "observer")
        self._world.workers.on_start = self._check_start

    async def async_run(self) -> RunFigures:
        """Return the figures of the run."""
        async with anyio.create_task_group() as group:
            for second in range(FAULT_SECONDS + QUIET_SECONDS):
                if second < FAULT_SECONDS and second % 5 == 0:
                    self._submit_some(group)
                if second < FAULT_SECONDS and self.faults_on:
                    self._maybe_fault(group)
                if second == FAULT_SECONDS:
                    self._end_faults()
                await self._async_second(group)
                if second > FAULT_SECONDS and second % 20 == 0 and self._settled():
                    break
            self.figures.seconds = second
            group.cancel_scope.cancel()
        self._count()
        return self.figures

    async def _async_second(self, group: anyio.abc.TaskGroup) -> None:
        await self._world.timers.async_advance(1.0)
        self._world.workers.advance()
        now = self._world.timers.monotonic()
        for item in [item for item in self._timed if item[0] <= now]:
            self._timed.remove(item)
            item[1]()  # type: ignore[operator]
        for entry in list(self._world.entries.values()):
            if not entry.frozen and entry.name not in self._ticking:
                group.start_soon(self._async_tick, entry)
        for _ in range(60):
            await anyio.lowlevel.checkpoint()

    async def _async_tick(self, entry: Entry) -> None:
        self._ticking.add(entry.name)
        try:
            await entry.scheduler.async_tick()
        finally:
            self._ticking.discard(entry.name)

    def _settled(self) -> bool:
        state = self._observer.state
        return all(
            job_id in state.jobs and state.jobs[job_id].status in SETTLED
            for job_id in self._known()
        )

    def _known(self) -> set[str]:
        return self._accepted | self._observer.state.jobs.keys()

    def _check_start(self, order: TaskOrder) -> None:
        job = self._observer.state.jobs[order.task_id]
        current = job.task_generation == order.generation
        if not current or job.status not in ("running", "cancelling"):
            self.figures.stray += 1

    def _submit_some(self, group: anyio.abc.TaskGroup) -> None:
        for _ in range(JOBS * 5 // FAULT_SECONDS + 1):
            number = len(self._ids)
            if number >= JOBS:
                return
            job_id = f"derwent.job-{number}"
            self._ids[job_id] = self._random.random() < 0.5
            self._world.workers.seconds[job_id] = self._random.uniform(5.0, 150.0)
            group.start_soon(self._async_submit, self._awake(), number)

    async def _async_submit(self, entry: Entry, number: int) -> None:
        job_id = f"derwent.job-{number}"
        submission = Submission(
            "derwent",
            "plans",
            job_id=f"job-{number}",
            idempotent=self._ids[job_id],
            group=f"g{number % 6}",
        )
        result = await entry.service.async_submit(submission, "bench")
        if isinstance(result, Success):
            self._accepted.add(job_id)

    def _awake(self) -> Entry:
        entries = list(self._world.entries.values())
        awake = [entry for entry in entries if not entry.stopped]
        return self._random.choice(awake or entries)

    def _maybe_fault(self, group: anyio.abc.TaskGroup) -> None:
        if self._random.random() > 0.25:
            return
        self.figures.faults += 1
        faults = (
            self._lose_start_answers,
            self._worker_down,
            self._worker_reboots,
            self._pause_entry,
            self._replace_entry,
            self._log_out,
            self._lose_append_answer,
            self._cut_entry_off,
            self._worker_stuck,
        )
        action = self._random.choice((*faults, None, None, None))
        if action is not None:
            action()
        else:
            group.start_soon(self._async_operate)

    async def _async_operate(self) -> None:
        entry = self._awake()
        kind = self._random.randrange(4)
        if kind == 0 and self._ids:
            job_id = self._random.choice(list(self._ids))
            await entry.service.async_cancel("derwent", job_id, "", "operator")
        elif kind == 1 and self._random.random() < 0.2:
            group = f"g{self._random.randrange(6)}"
            await entry.service.async_cancel("derwent", "", group, "operator")
        elif kind == 2:
            await entry.service.async_free_slots("casting", 2)
        else:
            await entry.service.async_vacate(
                f"worker-{self._random.randrange(WORKERS)}"
            )

    def _later(self, seconds: float, action: object) -> None:
        self._timed.append((self._world.timers.monotonic() + seconds, action))

    def _worker(self) -> tuple[str, object]:
        name = f"worker-{self._random.randrange(WORKERS)}"
        return name, self._world.workers.at[name]

    def _lose_start_answers(self) -> None:
        _, worker = self._worker()
        worker.lose_answers += self._random.randint(1, 3)  # type: ignore[attr-defined]

    def _worker_down(self) -> None:
        _, worker = self._worker()
        worker.down = True  # type: ignore[attr-defined]
        self._later(
            self._random.uniform(5, 250), lambda: setattr(worker, "down", False)
        )

    def _worker_stuck(self) -> None:
        _, worker = self._worker()
        worker.stuck = True  # type: ignore[attr-defined]
        self._later(
            self._random.uniform(10, 300), lambda: setattr(worker, "stuck", False)
        )

    def _worker_reboots(self) -> None:
        name, _ = self._worker()
        self._world.workers.reboot(name)

    def _pause_entry(self) -> None:
        entry = self._random.choice(list(self._world.entries.values()))
        if entry.frozen or entry.log.wake_up is not None:
            return
        # Half of the pauses hit where it hurts most: after the log accepted the next
        # record, and before the process acts on that.
        entry.log.wake_up = anyio.Event()
        if self._random.random() < 0.5:
            entry.frozen = True
            entry.log.cut_off = True
        self._later(self._random.uniform(2, 150), lambda: self._wake(entry))

    def _wake(self, entry: Entry) -> None:
        if entry.log.wake_up is not None:
            entry.log.wake_up.set()
            entry.log.wake_up = None
        entry.log.cut_off = False
        entry.log.stale = True
        entry.frozen = False

    def _replace_entry(self) -> None:
        if len(self._world.entries) < 2:
            return
        name = self._random.choice(list(self._world.entries))
        self._world.remove_entry(name)
        self._add_entry()

    def _add_entry(self) -> None:
        self._born += 1
        self._world.add_entry(f"entry-{self._born:03}")

    def _log_out(self) -> None:
        self._world.shared.out = True
        self._later(
            self._random.uniform(2, 45),
            lambda: setattr(self._world.shared, "out", False),
        )

    def _lose_append_answer(self) -> None:
        entry = self._random.choice(list(self._world.entries.values()))
        entry.log.lose_next = True

    def _cut_entry_off(self) -> None:
        entry = self._random.choice(list(self._world.entries.values()))
        if entry.frozen:
            return
        entry.log.cut_off = True
        self._later(
            self._random.uniform(2, 60),
            lambda: (setattr(entry.log, "cut_off", False), entry.log.catch_up()),
        )

    def _end_faults(self) -> None:
        for _, action in self._timed:
            action()  # type: ignore[operator]
        self._timed.clear()
        self._world.shared.out = False
        for entry in self._world.entries.values():
            entry.log.lose_next = False
        for worker in self._world.workers.at.values():
            worker.lose_answers = 0

    def _count(self) -> None:
        figures = self.figures
        state = self._observer.state
        figures.jobs = len(self._known())
        figures.appends = self._world.shared.appends
        for job_id in self._known():
            status = state.jobs[job_id].status if job_id in state.jobs else "gone"
            if status in SETTLED:
                setattr(figures, status, getattr(figures, status) + 1)
            else:
                figures.lost += 1
        spans = defaultdict(list)
        for span in self._world.workers.spans:
            spans[span.task_id].append((span.start, span.end))
        for job_id, idempotent in self._ids.items():
            if _overlaps(spans[job_id]):
                if idempotent:
                    figures.repeated += 1
                else:
                    figures.doubled += 1


def _overlaps(spans: list[tuple[float, float]]) -> bool:
    ordered = sorted(span for span in spans if span[1] - span[0] > OVERLAP)
    return any(
        later[0] < earlier[1] - OVERLAP
        for earlier, later in zip(ordered, ordered[1:], strict=False)
    )
