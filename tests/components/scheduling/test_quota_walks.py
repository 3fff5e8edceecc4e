"""Check in random walks that no quota is exceeded and no task runs twice at a time.

The model holds the actual runs of each worker, independently of the owner's state.
Starts are executed, lost, or executed late; workers become unreachable, restart under
their ids, and lose their leases; owners change; quotas are raised and lowered. Mutants
each remove one protection, and the walks have to detect each of them. Walks are
reproducible by their seeds; run others by
``python -m tests.components.scheduling.test_quota_walks FIRST LAST``.
"""

from __future__ import annotations

import random
import sys
from collections.abc import Callable
from dataclasses import dataclass, field

import pytest

from mustardward.components.ledger.ledger import LedgerJob
from mustardward.components.ledger.models import JobState, Progress
from mustardward.components.scheduling.commands import Start, Stop
from mustardward.components.scheduling.losses import LossCause
from mustardward.components.scheduling.models import QueuePolicy
from mustardward.components.scheduling.planner import Planner
from mustardward.components.scheduling.quotas import Quotas
from mustardward.components.scheduling.scheduler import Scheduler
from mustardward.components.scheduling.scheduler_state import SchedulerState
from mustardward.platform.models import Room
from mustardward.platform.workers import (
    EndedTask,
    RunningTask,
    TaskName,
    WorkerReport,
    encode_task,
)

from .builders import POOL, a_job, a_step, an_entry

WORKERS = ("w0", "w1", "w2")
ORGANISATIONS = ("dairy", "gauges")
LEASE_SECONDS = 4.0
NEVER = 1e9


@dataclass
class _Order:
    """Model a start command in flight.

    :param quota: the quota of its organisation when it was sent, in cores.
    """

    task: TaskName
    run: int
    token: int
    quota: int


@dataclass
class _WorkerModel:
    """Model a worker with its actual runs.

    :param ended_at: the event numbers at which the runs in ``ended`` ended.
    :param unsent_stops: stops that did not reach it, and are repeated until they do.
    :param uncontacted: whether no call of the owner has reached it since it started. A
        delayed start that it executes before the first call may run a task twice, which
        nothing prevents.
    """

    started_at_ms: int = 1
    token: int = 0
    running: dict[TaskName, int] = field(default_factory=dict)
    ended: list[EndedTask] = field(default_factory=list)
    ended_at: list[int] = field(default_factory=list)
    closed: dict[TaskName, int] = field(default_factory=dict)
    late_orders: list[_Order] = field(default_factory=list)
    unreachable: bool = False
    unsent_stops: list[Stop] = field(default_factory=list)
    uncontacted: bool = False


class QuotaWalk:
    """Drive an owner with model workers through random events."""

    def __init__(self, seed: int) -> None:
        """Start with an owner that has received a report of each worker."""
        self.random = random.Random(seed)
        self.now = 1000.0
        self.epoch = 1
        self.worker_models = {name: _WorkerModel() for name in WORKERS}
        self.quotas = dict.fromkeys(ORGANISATIONS, 3)
        self.jobs: dict[str, LedgerJob] = {}
        self.event_number = 0
        self.known_done: set[TaskName] = set()
        self.started_at: dict[TaskName, int] = {}
        self.scheduler = self._build_scheduler()
        for name in WORKERS:
            self._update_worker(name)
            self._hold(name)

    def _build_scheduler(self) -> Scheduler:
        return Scheduler(
            self.epoch,
            lambda queue: QueuePolicy(service=POOL, max_attempts=50),
            quota_of=lambda name: Room(cpu=1000 * self.quotas.get(name, 0)),
        )

    def _update_worker(self, name: str) -> None:
        entry = an_entry(born=self.worker_models[name].started_at_ms)
        state = self.scheduler.state
        known = state.workers.get(name)
        if known is not None and known.started_at_ms != entry.born:
            self.scheduler.replace_worker(name, entry.born, entry, self.now)
        self.scheduler.update_worker(name, entry, self.now)

    def submit(self, organisation: str, count: int) -> None:
        """Accept a job unless there are six."""
        if len(self.jobs) >= 6:
            return
        name = f"{len(self.jobs):016x}"
        job = a_job(a_step(count=count), job=name, organisation=organisation)
        self.jobs[name] = job
        self.scheduler.add_job(job, self.now, self.now)
        self.scheduler.mark_stored([name])
        job.progress = Progress(JobState.RUNNING)

    def plan(self, outcomes: list[str]) -> None:
        """Plan, and execute, lose or delay each start by the given outcomes."""
        for number, command in enumerate(self.scheduler.plan(self.now, self.now)):
            if isinstance(command, Start):
                self._send_start(command, outcomes[number % len(outcomes)])
            elif isinstance(command, Stop):
                self._send_stop(command)
        for worker in self.worker_models.values():
            worker.uncontacted = worker.uncontacted and worker.unreachable

    def _send_start(self, start: Start, outcome: str) -> None:
        worker = self.worker_models[start.worker]
        quota = self.quotas[start.task.step.job.organisation]
        order = _Order(start.task.name, start.run, self.epoch, quota)
        reports = self.scheduler.reports
        if worker.unreachable or outcome == "lost":
            reports.start_unknown(start.task, start.run, self.now)
        elif outcome == "late":
            worker.late_orders.append(order)
            reports.start_unknown(start.task, start.run, self.now)
        else:
            reason = self._execute(worker, order)
            reports.start_answered(start.task, start.run, reason, self.now)

    def _send_stop(self, stop: Stop) -> None:
        worker = self.worker_models[stop.worker]
        if worker.unreachable:
            worker.unsent_stops.append(stop)
        if worker.unreachable or worker.token > self.epoch:
            return
        worker.token = self.epoch
        if worker.running.get(stop.name) == stop.run:
            self._end(worker, stop.name, "stopped")
        worker.closed[stop.name] = max(stop.run, worker.closed.get(stop.name, 0))
        if stop.task is not None:
            self.scheduler.reports.stop_answered(stop.task, stop.run, self.now)

    def _execute(self, worker: _WorkerModel, order: _Order) -> str:
        if order.token < worker.token:
            return "fence"
        worker.token = order.token
        if order.run <= worker.closed.get(order.task, 0):
            return "old"
        worker.running[order.task] = order.run
        self._check_start(order)
        return ""

    def _check_start(self, order: _Order) -> None:
        name = order.task
        assert name not in self.known_done, "started although known to be done"
        self.event_number += 1
        self.started_at[name] = self.event_number
        run_count = sum(
            name in worker.running for worker in self.worker_models.values()
        )
        assert run_count <= 1, "runs twice"
        organisation = self.jobs[name.job].record.organisation
        running = sum(
            self.jobs[task.job].record.organisation == organisation
            for worker in self.worker_models.values()
            for task in worker.running
        )
        # An organisation whose quota is smaller than one task may still run one.
        max_running = max(1, self.quotas[organisation], order.quota)
        assert running <= max_running, "quota exceeded"

    def _end(self, worker: _WorkerModel, name: TaskName, how: str) -> None:
        run = worker.running.pop(name)
        worker.closed[name] = max(run, worker.closed.get(name, 0))
        number = len(worker.ended) + 1
        worker.ended.append(EndedTask(number, name, run, how, ""))
        self.event_number += 1
        worker.ended_at.append(self.event_number)

    def finish(self, name: str) -> None:
        """Complete a random run of a worker."""
        worker = self.worker_models[name]
        if worker.running:
            task = self.random.choice(sorted(worker.running, key=encode_task))
            self._end(worker, task, "done")

    def hold(self, name: str) -> None:
        """Apply a worker's report, unless it is unreachable."""
        self._hold(name)

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
        for end, at in zip(worker.ended, worker.ended_at, strict=True):
            if end.how == "done":
                assert self.started_at[end.task] < at, "started after it was done"
                self.known_done.add(end.task)
        answer = WorkerReport(0.0, rows, list(worker.ended), worker.started_at_ms)
        self.scheduler.apply_worker_report(name, answer, self.now, self.now)

    def execute_late(self, name: str, number: int) -> None:
        """Execute a delayed start, to which the owner got no response."""
        worker = self.worker_models[name]
        if number < len(worker.late_orders) and not worker.uncontacted:
            self._execute(worker, worker.late_orders.pop(number))

    def toggle_reachable(self, name: str) -> None:
        """Make a worker unreachable, or reachable again."""
        worker = self.worker_models[name]
        worker.unreachable = not worker.unreachable
        known = self.scheduler.state.workers.get(name)
        if known is not None:
            known.stale = worker.unreachable
            if not worker.unreachable:
                unsent_stops, worker.unsent_stops = worker.unsent_stops, []
                for stop in unsent_stops:
                    self._send_stop(stop)
        elif not worker.unreachable:
            self._update_worker(name)

    def expire_leases(self) -> None:
        """Expire the leases of all unreachable workers, which are then removed."""
        if not any(worker.unreachable for worker in self.worker_models.values()):
            return
        for name in WORKERS:
            self._hold(name)
        self.now += 2 * LEASE_SECONDS
        for name, worker in self.worker_models.items():
            if worker.unreachable:
                worker.running.clear()
                worker.late_orders.clear()
                # Ends that no owner has read before the lease expired are void.
                worker.ended.clear()
                worker.ended_at.clear()
                self.scheduler.remove_worker(name, LossCause.UNLISTED, self.now)
        self.scheduler.state.takeover_hold_until = min(
            self.scheduler.state.takeover_hold_until, self.now
        )

    def restart(self, name: str) -> None:
        """Restart a worker under its id while the owner's delayed starts are in flight.

        Delayed starts of previous owners are dropped, since nothing prevents a worker
        from executing them before the first call of the current owner.
        """
        old = self.worker_models[name]
        self.worker_models[name] = _WorkerModel(
            old.started_at_ms + 1,
            late_orders=[
                order for order in old.late_orders if order.token == self.epoch
            ],
            unreachable=old.unreachable,
            unsent_stops=old.unsent_stops,
            uncontacted=True,
        )
        self._update_worker(name)

    def configure(self, organisation: str, quota: int) -> None:
        """Set a quota."""
        self.quotas[organisation] = quota

    def take_over(self) -> None:
        """Replace the owner by one that has received no worker reports."""
        self.epoch += 1
        for worker in self.worker_models.values():
            worker.unsent_stops.clear()
        for job_id, progress in self.scheduler.take_dirty(self.now, self.now):
            self.jobs[job_id].progress = progress
        self.scheduler = self._build_scheduler()
        state = self.scheduler.state
        state.takeover_hold_until = NEVER
        state.taken_over_at = self.now
        for name in WORKERS:
            self._update_worker(name)
        for job in self.jobs.values():
            self.scheduler.add_job(job, self.now, self.now)

    def restart_with_pending_orders(self, name: str) -> None:
        """Restart a worker that then executes starts for its previous incarnation."""
        self.plan(["late"])
        self.restart(name)
        self._hold(name)
        self.plan(["answered"])
        for _ in range(len(self.worker_models[name].late_orders)):
            self.execute_late(name, 0)

    def take_over_during_partition(self, name: str, organisation: str) -> None:
        """Replace the owner by one that can't reach one worker."""
        self.plan(["answered"])
        self.worker_models[name].unreachable = True
        self.take_over()
        for other in WORKERS:
            self._hold(other)
        self.submit(organisation, 3)
        self.plan(["answered"])

    def end_takeover_hold(self) -> None:
        """End the hold after a takeover if all workers are confirmed."""
        state = self.scheduler.state
        for name in WORKERS:
            if name not in state.workers:
                self._update_worker(name)
            self._hold(name)
        if all(worker.confirmed for worker in state.workers.values()):
            state.takeover_hold_until = 0.0

    def check_usage(self) -> None:
        """Compare the used quotas with a recount of all runs."""
        state = self.scheduler.state
        for organisation in ORGANISATIONS:
            counted = sum(
                task.step.requested.cpu
                for worker in state.workers.values()
                for task in worker.tasks.values()
                if task.step.job.organisation == organisation
            ) + sum(
                room.cpu
                for worker in state.workers.values()
                for owner, room in worker.orphan_steps
                if owner == organisation
            )
            assert state.quotas.used(organisation).cpu == counted


OUTCOMES = ("answered", "answered", "lost", "late")


def _walk(seed: int, steps: int = 40) -> None:
    walk = QuotaWalk(seed)
    rng = walk.random
    events: list[Callable[[], None]] = [
        lambda: walk.submit(rng.choice(ORGANISATIONS), rng.randint(1, 4)),
        lambda: walk.plan([rng.choice(OUTCOMES) for _ in range(12)]),
        lambda: walk.plan(["answered"]),
        lambda: walk.finish(rng.choice(WORKERS)),
        lambda: walk.hold(rng.choice(WORKERS)),
        lambda: walk.execute_late(rng.choice(WORKERS), rng.randint(0, 3)),
        lambda: walk.toggle_reachable(rng.choice(WORKERS)),
        lambda: walk.expire_leases(),
        lambda: walk.restart(rng.choice(WORKERS)),
        lambda: walk.configure(rng.choice(ORGANISATIONS), rng.randint(1, 6)),
        lambda: walk.take_over(),
        lambda: walk.restart_with_pending_orders(rng.choice(WORKERS)),
        lambda: walk.take_over_during_partition(
            rng.choice(WORKERS), rng.choice(ORGANISATIONS)
        ),
        lambda: walk.end_takeover_hold(),
    ]
    for _ in range(steps):
        rng.choice(events)()
        walk.check_usage()


@pytest.mark.parametrize("first", range(0, 600, 100))
def test_no_order_of_events_exceeds_a_quota_or_runs_a_task_twice(first: int) -> None:
    for seed in range(first, first + 100):
        _walk(seed)


def _ignore_uncertain(patch: pytest.MonkeyPatch) -> None:
    """Do not count uncertain runs."""
    reserve, release = Quotas.reserve, Quotas.release
    mark_uncertain = SchedulerState.mark_uncertain

    def mark_and_release(state: SchedulerState, task: object, now: float) -> None:
        mark_uncertain(state, task, now)  # type: ignore[arg-type]
        step = task.step  # type: ignore[attr-defined]
        release(state.quotas, step.job.organisation, step.requested)
        reserve(state.quotas, "", step.requested)

    patch.setattr(SchedulerState, "mark_uncertain", mark_and_release)


def _ignore_unconfirmed(patch: pytest.MonkeyPatch) -> None:
    """Do not count unconfirmed runs of the previous owner."""
    patch.setattr(Planner, "_unconfirmed_runs", lambda planner, now: iter(()))


def _ignore_orphans(patch: pytest.MonkeyPatch) -> None:
    """Do not count orphan runs."""
    patch.setattr(SchedulerState, "add_orphan_run", lambda state, worker, name: None)


def _trust_restarts(patch: pytest.MonkeyPatch) -> None:
    """Treat uncertain starts as lost once their worker has restarted."""

    def replace(state: SchedulerState, old: object, new: object, now: float) -> None:
        state.drop_worker(old, now)  # type: ignore[arg-type]
        state.workers[new.id] = new  # type: ignore[attr-defined]

    patch.setattr(SchedulerState, "replace_worker", replace)


def _allow_all(patch: pytest.MonkeyPatch) -> None:
    """Disregard all quotas."""
    patch.setattr(Quotas, "allows", lambda quotas, name, room, count=1: True)


def _ignore_takeover_hold(patch: pytest.MonkeyPatch) -> None:
    """Start jobs of the previous owner without waiting for its leases."""
    patch.setattr(
        SchedulerState, "is_held_after_takeover", lambda state, job, now: False
    )


@pytest.mark.parametrize(
    "mutate",
    [
        _ignore_uncertain,
        _ignore_unconfirmed,
        _trust_restarts,
        _allow_all,
        _ignore_takeover_hold,
    ],
)
def test_each_removed_protection_is_detected(
    mutate: Callable[[pytest.MonkeyPatch], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    mutate(monkeypatch)
    with pytest.raises(AssertionError):
        for seed in range(400):
            _walk(seed)


if __name__ == "__main__":
    for seed in range(int(sys.argv[1]), int(sys.argv[2])):
        try:
            _walk(seed)
        except AssertionError as error:
            print(f"seed={seed} {error}")
