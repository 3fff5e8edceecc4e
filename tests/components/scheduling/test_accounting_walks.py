"""Check in random walks that room and quotas are released as often as reserved.

Extends the walks of ``test_quota_walks`` by orphan runs, workers that change their
capacity, and jobs that are cancelled, stored and removed. After each event the counters
are compared with a recount.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

import pytest

from mustardward.components.scheduling.models import ACTIVE, Task
from mustardward.components.scheduling.scheduler_state import SchedulerState
from mustardward.platform.models import Room
from mustardward.platform.workers import EndedTask, RunningTask, TaskName, WorkerReport

from .builders import a_job, a_step, an_entry
from .test_quota_walks import ORGANISATIONS, OUTCOMES, WORKERS, QuotaWalk, _Order

MAX_JOBS = 30
UNKNOWN = TaskName("ffffffffffffffff", 0, 0, 0)


class AccountingWalk(QuotaWalk):
    """Drive an owner, and check only its resource accounting."""

    def __init__(self, seed: int) -> None:
        """Start with workers of one size."""
        self.rooms = dict.fromkeys(WORKERS, Room(8000, 8000))
        self.orphans_seen = 0
        super().__init__(seed)

    def _update_worker(self, name: str) -> None:
        started_at_ms = self.worker_models[name].started_at_ms
        entry = an_entry(born=started_at_ms, capacity=self.rooms[name])
        known = self.scheduler.state.workers.get(name)
        if known is not None and known.started_at_ms != started_at_ms:
            self.scheduler.replace_worker(name, started_at_ms, entry, self.now)
        self.scheduler.update_worker(name, entry, self.now)

    def _check_start(self, order: _Order) -> None:
        """Check nothing, since these walks create orphan runs on purpose."""

    def _hold(self, name: str) -> None:
        worker = self.worker_models[name]
        known = self.scheduler.state.workers.get(name)
        if (
            worker.unreachable
            or known is None
            or known.started_at_ms != worker.started_at_ms
        ):
            return
        worker.token = max(worker.token, self.epoch)
        rows = [RunningTask(t, r, "", 50.0, 0.0) for t, r in worker.running.items()]
        answer = WorkerReport(0.0, rows, list(worker.ended), worker.started_at_ms)
        self.scheduler.apply_worker_report(name, answer, self.now, self.now)
        self.orphans_seen += len(known.orphan_steps)

    def fail(self, name: str) -> None:
        """Fail a run."""
        worker = self.worker_models[name]
        for task in list(worker.running)[:1]:
            self._end(worker, task, "failed")

    def resize(self, name: str) -> None:
        """Change a worker's capacity, whatever runs there."""
        cores = self.random.choice([1000, 2000, 4000, 8000, 16000])
        self.rooms[name] = Room(cores, self.random.choice([500, 8000]))
        self._update_worker(name)

    def orphan(self, name: str) -> None:
        """Add a run to a worker that the owner does not know."""
        names = [UNKNOWN] + [
            TaskName(job, 0, 0, index) for job in self.jobs for index in range(3)
        ]
        run = self.random.choice([1, 5, 1 << 20, (1 << 20) + 1])
        self.worker_models[name].running.setdefault(self.random.choice(names), run)

    def repeat_end(self, name: str) -> None:
        """Make a worker list the end of a run that it does not have."""
        worker = self.worker_models[name]
        jobs = self.scheduler.state.jobs.values()
        tasks = [t for job in jobs for s in job.steps.values() for t in s.tasks]
        if tasks:
            task = self.random.choice(tasks)
            how = self.random.choice(["done", "failed", "stopped", "lapsed"])
            number = len(worker.ended) + 1
            worker.ended.append(EndedTask(number, task.name, task.run, how, ""))
            worker.ended_at.append(0)

    def cancel(self) -> None:
        """Cancel a job."""
        if self.jobs:
            self.scheduler.cancel_job(self.random.choice(sorted(self.jobs)))

    def store(self) -> None:
        """Store the progress that is due, after which ended jobs are removed."""
        for job_id, progress in self.scheduler.take_dirty(self.now, self.now):
            self.jobs[job_id].progress = progress
            self.scheduler.mark_stored([job_id])

    def submit(self, organisation: str, count: int) -> None:
        """Accept a job unless there are MAX_JOBS."""
        if len(self.jobs) >= MAX_JOBS:
            return
        name = f"{len(self.jobs):016x}"
        job = a_job(a_step(count=count), job=name, organisation=organisation)
        self.jobs[name] = job
        self.scheduler.add_job(job, self.now, self.now)

    def check_usage(self) -> None:
        """Compare rooms, quotas and counts with a recount of the runs."""
        state = self.scheduler.state
        used: Counter[str] = Counter()
        for worker in state.workers.values():
            steps = [task.step for task in worker.tasks.values()] + worker.orphan_steps
            used.update({o: 0 for o in ORGANISATIONS})
            for step in steps:
                used[step.job.organisation] += step.requested.cpu
            cpu = worker.capacity.cpu - sum(step.room.cpu for step in steps)
            mem = worker.capacity.mem_mb - sum(step.room.mem_mb for step in steps)
            assert (worker.free_cpu, worker.free_mem) == (cpu, mem), "room"
            for task in worker.tasks.values():
                assert task.worker is worker and task.phase in ACTIVE, "task"
        for organisation in ORGANISATIONS:
            counted = state.quotas.used(organisation).cpu
            assert counted == used[organisation], "quota"
        for job in state.jobs.values():
            for step in job.steps.values():
                active = [t for t in step.tasks if t.worker is not None]
                assert step.active == len(active), "active"
                here = Counter(t.worker.id for t in active if t.worker is not None)
                assert +step.on_worker == here, "on worker"


def walk_once(seed: int, steps: int = 160) -> AccountingWalk:
    """Run a walk, and check the accounting after each event."""
    walk = AccountingWalk(seed)
    rng = walk.random
    events: list[Callable[[], None]] = [
        lambda: walk.submit(rng.choice(ORGANISATIONS), rng.randint(1, 4)),
        lambda: walk.plan([rng.choice(OUTCOMES) for _ in range(12)]),
        lambda: walk.plan(["answered"]),
        lambda: walk.finish(rng.choice(WORKERS)),
        lambda: walk.fail(rng.choice(WORKERS)),
        lambda: walk.hold(rng.choice(WORKERS)),
        lambda: walk.hold(rng.choice(WORKERS)),
        lambda: walk.execute_late(rng.choice(WORKERS), rng.randint(0, 3)),
        lambda: walk.toggle_reachable(rng.choice(WORKERS)),
        lambda: walk.expire_leases(),
        lambda: walk.restart(rng.choice(WORKERS)),
        lambda: walk.configure(rng.choice(ORGANISATIONS), rng.randint(1, 6)),
        lambda: walk.take_over(),
        lambda: walk.end_takeover_hold(),
        lambda: walk.resize(rng.choice(WORKERS)),
        lambda: walk.orphan(rng.choice(WORKERS)),
        lambda: walk.repeat_end(rng.choice(WORKERS)),
        lambda: walk.cancel(),
        lambda: walk.store(),
        lambda: walk.store(),
    ]
    for _ in range(steps):
        rng.choice(events)()
        walk.check_usage()
    return walk


@pytest.mark.parametrize("first", range(0, 400, 100))
def test_no_order_of_events_leaks_room_or_releases_it_twice(first: int) -> None:
    orphans = sum(walk_once(seed).orphans_seen for seed in range(first, first + 100))
    assert orphans > 100


def _keep_orphans_of_lost_workers(patch: pytest.MonkeyPatch) -> None:
    """Drop a worker's orphan runs without releasing their room."""
    patch.setattr(
        SchedulerState,
        "clear_orphan_runs",
        lambda state, worker: worker.orphan_steps.clear(),
    )


def _release_uncertain_room_twice(patch: pytest.MonkeyPatch) -> None:
    """Release the room of a start without a response twice."""
    mark_uncertain = SchedulerState.mark_uncertain

    def release_twice(state: SchedulerState, task: Task, now: float) -> None:
        mark_uncertain(state, task, now)
        if task.worker is not None:
            task.worker.release(task.step.room)

    patch.setattr(SchedulerState, "mark_uncertain", release_twice)


@pytest.mark.parametrize(
    "mutate", [_keep_orphans_of_lost_workers, _release_uncertain_room_twice]
)
def test_wrong_accounting_is_detected(
    mutate: Callable[[pytest.MonkeyPatch], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    mutate(monkeypatch)
    with pytest.raises(AssertionError):
        for seed in range(100):
            walk_once(seed)
