"""Replay jobs that crash their workers, and compare ways to find them.

Load pattern: sound jobs keep a pool half busy, each worker has a lasting task, and some
jobs have one task that crashes each worker that starts it. Other workers crash by
themselves. ``python -m bench.crashes`` prints a line of pairs for each way and case:
workers that a guilty job took down, runs of other jobs that were lost with them,
seconds until its caller was told, guilty jobs not given up, sound jobs that were, and
the share of sound jobs in time. Time is driven: a seed gives the same figures again.
"""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from typing import Final

import numpy

from mustardward.components.ledger.ledger import LedgerJob
from mustardward.components.ledger.models import JobRecord, JobState
from mustardward.components.scheduling.commands import Start, Stop
from mustardward.components.scheduling.losses import LossCause
from mustardward.components.scheduling.models import QueuePolicy
from mustardward.components.scheduling.scheduler import Scheduler
from mustardward.helpers.policies import switch_off
from mustardward.platform.models import Room, SubmittedStep, WorkerEntry
from mustardward.platform.workers import (
    EndedTask,
    RunningTask,
    TaskName,
    WorkerReport,
)

POOL: Final = "pool-a"
POLICY: Final = QueuePolicy(POOL, stretch=1.6, target_seconds=0.6)
ROOM: Final = Room(cpu=32_000, mem_mb=128_000)
TICK_SECONDS: Final = 0.05
TOLD_SECONDS: Final = 0.3
"""From a crash until the owner knows of it."""

BACK_SECONDS: Final = 1.6
"""From a crash until the instance has another worker."""

NEVER: Final = 1e9
"""When a task that lasts ends by itself, in seconds."""

SEEDS: Final = range(5)

UNCOUNTED: Final = "uncounted"
WAYS: Final[dict[str, tuple[str, ...]]] = {
    UNCOUNTED: (),
    "counted alike": (
        "crash-suspects-by-age",
        "crash-suspects-apart",
        "crash-evidence",
    ),
    "apart": ("crash-evidence",),
    "apart, by evidence": (),
}
"""What is switched off in each way."""


@dataclass(frozen=True, slots=True)
class Case:
    """Hold what a pool meets.

    :param guilty: jobs with a task that crashes its workers.
    :param crashes: crashes of workers by themselves, a second, over the whole pool.
    :param outages: times at which all workers crash together, in seconds.
    """

    name: str
    workers: int = 12
    jobs_a_second: float = 8.0
    seconds: float = 20.0
    guilty: int = 0
    crashes: float = 0.0
    outages: tuple[float, ...] = ()


CASES: Final = (
    Case("one guilty job", guilty=1),
    Case("one guilty job, two workers", workers=2, jobs_a_second=1.0, guilty=1),
    Case("eight guilty jobs", guilty=8),
    Case("no guilty job", crashes=1.0),
    Case("guilty jobs beside crashes", guilty=4, crashes=1.0),
    Case("the pool crashes three times", outages=(6.0, 8.5, 11.0)),
)


@dataclass(slots=True)
class Result:
    """Hold what became of the jobs of one run."""

    guilty: int = 0
    taken_down: int = 0
    runs_lost: int = 0
    told_after: list[float] = field(default_factory=list)
    sound: int = 0
    sound_given_up: int = 0
    in_time: int = 0


def main() -> None:
    """Print the figures of all ways and cases."""
    for case in CASES:
        for way in WAYS:
            results = [replay(case, way, seed) for seed in SEEDS]
            guilty = sum(result.guilty for result in results)
            told = [seconds for result in results for seconds in result.told_after]
            sound = sum(result.sound for result in results)
            pairs = {
                "case": case.name,
                "way": way,
                "taken_down": _share(sum(r.taken_down for r in results), guilty),
                "runs_lost": _share(sum(r.runs_lost for r in results), guilty),
                "told_after": round(float(numpy.mean(told)), 2) if told else None,
                "not_given_up": guilty - len(told),
                "sound": sound,
                "sound_given_up": sum(r.sound_given_up for r in results),
                "in_time": _share(sum(r.in_time for r in results), sound),
            }
            print(
                " ".join(f"{key}={json.dumps(value)}" for key, value in pairs.items())
            )


def _share(count: int, of: int) -> float | None:
    return round(count / of, 3) if of else None


def replay(case: Case, way: str, seed: int) -> Result:
    """Return what one way came to."""
    switch_off(WAYS[way])
    try:
        return CrashingPool(case, seed, counted=way != UNCOUNTED).run()
    finally:
        switch_off(())


@dataclass(slots=True)
class _Run:
    """Hold a run on a worker."""

    name: TaskName
    number: int
    began_at: float
    ends_at: float
    crashes: bool


@dataclass(slots=True)
class _Worker:
    """Hold one worker and what runs there."""

    id: str
    runs: dict[TaskName, _Run] = field(default_factory=dict)
    ends: int = 0


class CrashingPool:
    """Play callers and workers.

    :param counted: whether the scheduler is told that a lost worker crashed.
    """

    def __init__(self, case: Case, seed: int, counted: bool = True) -> None:
        self._case = case
        self._cause = LossCause.UNLISTED if counted else LossCause.LEASES_EXPIRED
        self._chance = numpy.random.default_rng(seed)
        self._scheduler = Scheduler(1, lambda queue: POLICY)
        self._workers: dict[str, _Worker] = {}
        self._lost: list[tuple[float, str]] = []
        self._back: list[float] = []
        self._guilty: dict[str, float] = {}
        self._due: dict[str, float] = {}
        self._arrivals = self._draw_arrivals()
        self._seconds: dict[TaskName, float] = {}
        self._outages = list(case.outages)
        self.result = Result(guilty=case.guilty)
        for _ in range(case.workers):
            self._boot(0.0)
        self._add_lasting(0.0)

    def run(self) -> Result:
        """Play until all jobs are over, or long after the last came."""
        now = 0.0
        while now < self._case.seconds + 30.0:
            now += TICK_SECONDS
            self._crash_by_chance(now)
            self._bring_back(now)
            self._arrive(now)
            self._report(now)
            self._plan(now)
        return self.result

    def _draw_arrivals(self) -> list[tuple[float, bool]]:
        case = self._case
        count = int(case.jobs_a_second * case.seconds)
        sound = [
            (float(t), False) for t in self._chance.uniform(3, case.seconds, count)
        ]
        bad = [(float(t), True) for t in self._chance.uniform(5, 12, case.guilty)]
        return sorted(sound + bad, reverse=True)

    def _boot(self, now: float) -> None:
        name = f"w{len(self._workers) + len(self._lost)}-{now:.2f}-{len(self._back)}"
        name += f"-{self._chance.integers(1_000_000)}"
        self._workers[name] = _Worker(name)
        entry = WorkerEntry(POOL, "a:1", capacity=ROOM, labels=["a", "r1"])
        self._scheduler.update_worker(name, entry, now)
        self._scheduler.apply_worker_report(
            name, WorkerReport(1000 * now, [], []), now, now
        )

    def _add_lasting(self, now: float) -> None:
        step = SubmittedStep(
            count=self._case.workers,
            cpu=2000,
            mem_mb=4000,
            estimate_ms=500,
            long_running=True,
            may_miss=2,
        )
        self._add(f"{0:016x}", [step], now)

    def _add(self, name: str, steps: list[SubmittedStep], now: float) -> None:
        record = JobRecord(name, "q", POOL, "x", steps, 0, 0.0, 0.0, now)
        self._scheduler.add_job(LedgerJob(record), now, now)

    def _arrive(self, now: float) -> None:
        while self._arrivals and self._arrivals[-1][0] <= now:
            _, guilty = self._arrivals.pop()
            name = f"{len(self._due) + len(self._guilty) + 1:016x}"
            count = 3 if guilty else int(self._chance.integers(2, 9))
            cpu = int(self._chance.integers(1500, 4000))
            step = SubmittedStep(count=count, cpu=cpu, mem_mb=3000, estimate_ms=800)
            for index in range(count):
                task = TaskName(name, 0, 0, index)
                self._seconds[task] = float(self._chance.lognormal(-0.3, 0.3))
            if guilty:
                self._guilty[name] = now
            else:
                chain = max(s for t, s in self._seconds.items() if t.job == name)
                self._due[name] = now + 1.6 * chain + 0.6
                self.result.sound += 1
            self._add(name, [step], now)

    def _crash_by_chance(self, now: float) -> None:
        if self._outages and now >= self._outages[0]:
            self._outages.pop(0)
            for worker in list(self._workers.values()):
                self._crash(worker, now)
        busy = 3.0 < now < self._case.seconds
        if busy and self._chance.random() < self._case.crashes * TICK_SECONDS:
            workers = list(self._workers.values())
            if workers:
                self._crash(workers[int(self._chance.integers(len(workers)))], now)

    def _crash(self, worker: _Worker, now: float) -> None:
        del self._workers[worker.id]
        self._lost.append((now + TOLD_SECONDS, worker.id))
        self._back.append(now + BACK_SECONDS)
        guilty = [run for run in worker.runs.values() if run.crashes]
        if guilty:
            self.result.taken_down += 1
            others = [r for r in worker.runs.values() if r.name.job not in self._guilty]
            self.result.runs_lost += len(others)

    def _bring_back(self, now: float) -> None:
        for lost in [lost for lost in self._lost if lost[0] <= now]:
            self._lost.remove(lost)
            self._scheduler.remove_worker(lost[1], self._cause, now)
        for at in [at for at in self._back if at <= now]:
            self._back.remove(at)
            self._boot(now)

    def _report(self, now: float) -> None:
        for worker in list(self._workers.values()):
            if any(run.crashes for run in worker.runs.values()):
                self._crash(worker, now)
                continue
            over = [run for run in worker.runs.values() if run.ends_at <= now]
            ended = []
            for run in over:
                del worker.runs[run.name]
                worker.ends += 1
                ended.append(EndedTask(worker.ends, run.name, run.number, "done", ""))
            running = [
                RunningTask(run.name, run.number, "", _percent(run, now), 0.0)
                for run in worker.runs.values()
            ]
            answer = WorkerReport(1000 * now, running, ended)
            self._scheduler.apply_worker_report(worker.id, answer, now, now)

    def _plan(self, now: float) -> None:
        for command in self._scheduler.plan(now, now):
            if isinstance(command, Start):
                self._start(command, now)
            elif isinstance(command, Stop):
                worker = self._workers.get(command.worker)
                if worker is not None:
                    worker.runs.pop(command.name, None)
                if command.task is not None:
                    reports = self._scheduler.reports
                    reports.stop_answered(command.task, command.run, now)
        records = self._scheduler.take_dirty(now, now)
        self._scheduler.mark_stored([job_id for job_id, _ in records])
        for job_id, progress in records:
            if progress.state.final:
                self._note_over(job_id, progress.state, now)

    def _start(self, start: Start, now: float) -> None:
        name = start.task.name
        reports = self._scheduler.reports
        reports.start_sent(start.task, start.run)
        worker = self._workers.get(start.worker)
        if worker is None:
            reports.start_refused(start.task, start.run, now)
            return
        ends_at = now + self._seconds.get(name, NEVER)
        crashes = name.job in self._guilty and name.index == 0
        worker.runs[name] = _Run(name, start.run, now, ends_at, crashes)
        reports.start_answered(start.task, start.run, "", now)

    def _note_over(self, job_id: str, state: JobState, now: float) -> None:
        if job_id in self._guilty:
            self.result.told_after.append(now - self._guilty[job_id])
        elif state is JobState.FAILED:
            self.result.sound_given_up += 1
        elif now <= self._due.get(job_id, 0.0):
            self.result.in_time += 1


def _percent(run: _Run, now: float) -> float:
    if run.ends_at >= NEVER:
        return 100.0
    return 100.0 * (now - run.began_at) / (run.ends_at - run.began_at)


if __name__ == "__main__":
    main()
