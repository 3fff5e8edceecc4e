"""Check in random walks that all runnable work runs once faults have ended.

During the faults, starts and log appends may get no response, runs end or fail, workers
become unresponsive, are cordoned, recover and crash, callers cancel jobs, and owners
change, with or without their pending append. Data centres, racks and the constraints of
steps vary, but each step has room somewhere in the pool. Walks are drawn from seeds.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

import pytest

from mustardward.components.ledger.ledger import LedgerJob
from mustardward.components.ledger.models import Progress
from mustardward.components.scheduling.commands import Start, Stop
from mustardward.components.scheduling.losses import LossCause
from mustardward.components.scheduling.models import Phase, StepRun
from mustardward.components.scheduling.placement import fits, may_run
from mustardward.components.scheduling.worker_state import WorkerState
from mustardward.platform.models import Room, SubmittedStep
from mustardward.platform.workers import EndedTask, RunningTask, TaskName

from .builders import SchedulerBench, a_job, a_step, an_entry

WALKS = 60
POOLS = 150
ROUNDS = 12
STEPS = 120
TICK_SECONDS = 0.1
RUN_SECONDS = 0.6
RECOVERY_SECONDS = 40.0
ZONES = ("z1", "z2", "z3")
WORKERS_IN_ZONE = 2
MAX_LONG_RUNNING = 4
TEAM = "team"
QUOTAS = {TEAM: Room(cpu=16_000)}
"""Room for the widest gang beside all long-running tasks."""


@dataclass(slots=True)
class _WorkerModel:
    """Model a worker: its actual runs, and the ended runs that it still lists.

    :param count: number of runs that have ended.
    """

    zone: str
    runs: dict[TaskName, tuple[int, float]] = field(default_factory=dict)
    ends: list[EndedTask] = field(default_factory=list)
    count: int = 0
    unresponsive: bool = False

    def end(self, name: TaskName, how: str) -> None:
        """End a run."""
        run, _ = self.runs.pop(name)
        self.count += 1
        self.ends.append(EndedTask(self.count, name, run, how, ""))


class _Walk:
    """Simulate an owner, its log and its workers through random events."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.bench = SchedulerBench(quotas=QUOTAS)
        self.workers: dict[str, _WorkerModel] = {}
        self.accepted_jobs: dict[str, LedgerJob] = {}
        self.log: dict[str, Progress] = {}
        self.appending: dict[str, Progress] = {}
        self.covered_ends: dict[str, int] = {}
        self.long_running_jobs = 0
        self.workers_added = 0
        for zone in ZONES:
            for _ in range(WORKERS_IN_ZONE):
                self.add_worker(zone)

    def add_worker(self, zone: str) -> None:
        """Add a worker to the pool."""
        self.workers_added += 1
        name = f"w{self.workers_added}"
        self.workers[name] = _WorkerModel(zone)
        self.update_worker(name)

    def update_worker(self, name: str) -> None:
        """Apply a worker's entry."""
        zone = self.workers[name].zone
        entry = an_entry(zone=zone, labels=["a", f"r-{zone}"])
        self.bench.scheduler.update_worker(name, entry, self.bench.now)

    def step(self) -> None:
        """Apply a random event and advance the time."""
        kinds = [self.accept] * 3 + [self.begin_append, self.finish_append] * 3
        kinds += [self.cut_off, self.leave, self.fail, self.cancel] + [self.crash] * 3
        kinds += [self.take_over] * (self.rng.random() < 0.3)
        self.rng.choice(kinds)()
        self.tick(faultless=False)

    def accept(self) -> None:
        """Accept a job."""
        job_id = f"{len(self.accepted_jobs):016x}"
        job = a_job(
            *self.draw_steps(),
            job=job_id,
            accepted_at=self.bench.now,
            organisation=self.rng.choice(["", TEAM]),
        )
        self.accepted_jobs[job_id] = job
        self.bench.scheduler.add_job(job, self.bench.now, self.bench.now)

    def draw_steps(self) -> list[SubmittedStep]:
        """Return random steps of a job."""
        rng = self.rng
        kind = rng.randrange(6)
        if kind == 0 and self.long_running_jobs < MAX_LONG_RUNNING:
            self.long_running_jobs += 1
            return [a_step(count=2, cpu=500, long_running=True)]
        if kind == 1:
            return [a_step(count=rng.randint(2, 3), cpu=3000, gang=True)]
        rules: dict[str, object] = {"cpu": rng.choice([500, 2000, 5000])}
        if kind == 2:
            rules["max_per_server"] = rng.randint(1, 2)
        if kind == 3:
            rules["required_label"] = f"r-{rng.choice(ZONES)}"
        if kind == 4:
            rules["data_rack"] = f"r-{rng.choice(ZONES)}"
        first = a_step(count=rng.randint(1, 6), estimate_ms=600, **rules)
        return [first] if rng.random() < 0.7 else [first, a_step(after=[0])]

    def begin_append(self) -> None:
        """Begin an append of the progress that is due."""
        if not self.appending:
            scheduler = self.bench.scheduler
            now = self.bench.now
            self.appending = dict(scheduler.take_dirty(now, now))
            self.covered_ends = {
                name: model.count for name, model in self.workers.items()
            }

    def finish_append(self) -> None:
        """Complete the append, upon which workers drop the ended runs it covers."""
        self.log.update(self.appending)
        self.bench.scheduler.mark_stored(self.appending)
        self.appending = {}
        for name, number in self.covered_ends.items():
            if name in self.workers:
                model = self.workers[name]
                model.ends = [end for end in model.ends if end.number > number]
        self.covered_ends = {}

    def cut_off(self) -> None:
        """Make a worker unresponsive, or responsive again."""
        name = self.rng.choice(list(self.workers))
        model = self.workers[name]
        model.unresponsive = not model.unresponsive
        self.bench.scheduler.state.workers[name].stale = model.unresponsive

    def leave(self) -> None:
        """Cordon or uncordon a worker."""
        name = self.rng.choice(list(self.workers))
        cordoned = self.bench.scheduler.state.workers[name].cordoned
        self.bench.scheduler.set_cordoned(name, not cordoned, self.bench.now)

    def crash(self) -> None:
        """End a worker and add another one in its place."""
        name = self.rng.choice(list(self.workers))
        model = self.workers.pop(name)
        cause = self.rng.choice([LossCause.UNLISTED, LossCause.ORDERED])
        self.bench.scheduler.remove_worker(name, cause, self.bench.now)
        self.add_worker(model.zone)

    def fail(self) -> None:
        """Fail a run."""
        workers = [model for model in self.workers.values() if model.runs]
        if workers:
            model = self.rng.choice(workers)
            model.end(self.rng.choice(list(model.runs)), "failed")

    def cancel(self) -> None:
        """Cancel a job sometimes."""
        if self.accepted_jobs and self.rng.random() < 0.3:
            job_id = self.rng.choice(list(self.accepted_jobs))
            self.accepted_jobs[job_id].cancelled_at = self.bench.now
            self.bench.scheduler.cancel_job(job_id)

    def take_over(self) -> None:
        """Replace the owner by another one that reads the log."""
        if self.rng.random() < 0.5:
            self.log.update(self.appending)
        self.appending = {}
        self.covered_ends = {}
        previous = self.bench
        self.bench = SchedulerBench(
            epoch=previous.epoch + 1, now=previous.now, quotas=QUOTAS
        )
        state = self.bench.scheduler.state
        state.taken_over_at = previous.now
        state.takeover_hold_until = previous.now + 1.5
        for job_id, job in self.accepted_jobs.items():
            job.progress = self.log.get(job_id)
            self.bench.scheduler.add_job(job, previous.now, previous.now)
        for name in self.workers:
            self.update_worker(name)

    def tick(self, faultless: bool) -> None:
        """Plan, carry out the commands, and apply the workers' reports."""
        bench = self.bench
        for command in bench.plan():
            if isinstance(command, Start):
                self.start(command, faultless)
            elif isinstance(command, Stop):
                self.stop(command)
        bench.now += TICK_SECONDS
        for name, model in list(self.workers.items()):
            self.report(name, model)

    def start(self, command: Start, faultless: bool) -> None:
        """Carry out a start, with or without a response, or lose it."""
        reports = self.bench.scheduler.reports
        reports.start_sent(command.task, command.run)
        draw = 1.0 if faultless else self.rng.random()
        if draw > 0.1:
            model = self.workers[command.worker]
            model.runs[command.task.name] = (command.run, self.bench.now)
        if draw > 0.2:
            reports.start_answered(command.task, command.run, "", self.bench.now)
        else:
            reports.start_unknown(command.task, command.run, self.bench.now)

    def stop(self, command: Stop) -> None:
        """Carry out a stop."""
        model = self.workers.get(command.worker)
        if model is None:
            return
        if model.runs.get(command.name, (0, 0.0))[0] == command.run:
            model.end(command.name, "stopped")
        if command.task is not None:
            reports = self.bench.scheduler.reports
            reports.stop_answered(command.task, command.run, self.bench.now)

    def report(self, name: str, model: _WorkerModel) -> None:
        """End a worker's runs that are due, and apply its report if it sends one."""
        now = self.bench.now
        for task, (_, started_at) in list(model.runs.items()):
            steps = self.accepted_jobs[task.job].record.steps
            if not steps[task.step].long_running and now - started_at >= RUN_SECONDS:
                model.end(task, "done")
        if model.unresponsive:
            return
        rows = [
            RunningTask(task, run, "", 100.0, 0.0)
            for task, (run, _) in model.runs.items()
        ]
        self.bench.clock_ms = 1000 * now
        self.bench.hold(name, rows, list(model.ends))

    def recover(self) -> None:
        """End all faults and let some time pass."""
        for name, model in self.workers.items():
            model.unresponsive = False
            self.bench.scheduler.set_cordoned(name, False, self.bench.now)
        for _ in range(round(RECOVERY_SECONDS / TICK_SECONDS)):
            self.begin_append()
            self.finish_append()
            self.tick(faultless=True)

    def used_cpu(self, organisation: str) -> int:
        """Return the processors of an organisation's actual runs, in millicores."""
        records = [
            (self.accepted_jobs[task.job].record, task.step)
            for model in self.workers.values()
            for task in model.runs
        ]
        return sum(
            record.steps[step].cpu
            for record, step in records
            if record.organisation == organisation
        )

    def waiting(self) -> list[str]:
        """Return the jobs that neither ended nor run."""
        state = self.bench.scheduler.state
        waiting: list[str] = []
        for job_id, job in self.accepted_jobs.items():
            if job.cancelled_at or (
                job_id in self.log and self.log[job_id].state.final
            ):
                continue
            known = state.jobs.get(job_id)
            steps = known.steps.values() if known is not None else ()
            long_running = [s for s in steps if s.spec.long_running]
            tasks = [task for step in long_running for task in step.tasks]
            if not tasks or any(t.phase is not Phase.RUNNING for t in tasks):
                waiting.append(job_id)
        return waiting


@pytest.mark.parametrize("seed", range(WALKS))
def test_all_runnable_work_runs_once_faults_end(seed: int) -> None:
    """Guards against work that waits forever or whose end is never stored."""
    walk = _Walk(seed)
    for _ in range(STEPS):
        walk.step()
    walk.recover()
    assert walk.waiting() == []
    assert walk.bench.scheduler.state.quotas.used(TEAM).cpu == walk.used_cpu(TEAM)


def crowded_bench(rng: random.Random) -> SchedulerBench:
    """Return a pool of uneven workers with more jobs than it has room for."""
    bench = SchedulerBench()
    for number in range(rng.randint(1, 7)):
        zone = rng.choice(ZONES)
        room = Room(cpu=rng.randint(1, 9) * 1000, mem_mb=rng.randint(1, 9) * 1000)
        labels = ["a", f"r-{zone}"]
        bench.worker(f"w{number}", zone=zone, labels=labels, capacity=room)
    for number in range(rng.randint(1, 25)):
        rules: dict[str, object] = {
            "count": rng.randint(1, 5),
            "cpu": rng.randint(1, 6) * 1000,
            "mem_mb": rng.randint(1, 6) * 1000,
        }
        kind = rng.randrange(6)
        if kind == 0:
            rules["max_per_server"] = 1
        elif kind == 1:
            rules["required_label"] = f"r-{rng.choice(ZONES)}"
        elif kind == 2:
            rules["data_rack"] = f"r-{rng.choice(ZONES)}"
        elif kind == 3:
            rules["fills"] = True
        bench.add(a_job(a_step(**rules), job=f"{number:016x}"), stored=False)
    return bench


def could_run(step: StepRun, workers: list[WorkerState]) -> bool:
    """Return whether a step has a waiting task and a worker has room for it."""
    return bool(step.waiting) and any(
        fits(worker, step.room) and may_run(worker, step) for worker in workers
    )


def test_no_task_waits_while_a_worker_has_room_for_it() -> None:
    """Guards against rejecting room for a step because it was too small for another.

    All progress is stored after each plan, so that every data centre may be used.
    """
    rng = random.Random(1)
    for _ in range(POOLS):
        bench = crowded_bench(rng)
        state = bench.scheduler.state
        for _ in range(ROUNDS):
            bench.store()
            bench.plan_starts()
            here = {
                id(step): [
                    worker
                    for worker in state.workers.values()
                    if worker.zone in (step.job.stored_zones or ZONES)
                ]
                for step in state.ready.values()
            }
            assert not [s for s in state.ready.values() if could_run(s, here[id(s)])]
        workers = list(state.workers.values())
        assert not [s for s in state.ready.values() if could_run(s, workers)]
