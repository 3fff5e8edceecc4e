"""Check quotas and single runs over any order of events, against what really runs.

The model holds what runs on each worker, whatever the owner knows of it: orders are
answered, lost, or carried out late; workers fall silent, start again under their ids,
and lose their leases; owners change; quotas are raised and lowered. Protections are
taken out one by one, and each must be missed. Walks are drawn from seeds, so that they
are the same each time; ``python -m tests.components.scheduling.test_quota_walks
FIRST LAST`` walks others.
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
    HoldAnswer,
    RunningTask,
    TaskName,
    encode_task,
)

from .builders import POOL, a_job, a_step, an_entry

WORKERS = ("w0", "w1", "w2")
ORGANISATIONS = ("dairy", "gauges")
LEASE = 4.0
ALWAYS = 1e9


@dataclass
class _Order:
    """Hold an order that is under way.

    :param quota: what its organisation might have running when it was given.
    """

    task: TaskName
    run: int
    token: int
    quota: int


@dataclass
class _Worker:
    """Hold what really runs on a worker.

    :param unsent: stops that did not reach it; they are repeated until they do.
    :param fresh: whether the owner has told it nothing since it started. Nothing keeps
        an order that is carried out in that very moment from running twice.
    """

    started_at_ms: int = 1
    token: int = 0
    running: dict[TaskName, int] = field(default_factory=dict)
    ended: list[EndedTask] = field(default_factory=list)
    ended_at: list[int] = field(default_factory=list)
    closed: dict[TaskName, int] = field(default_factory=dict)
    late: list[_Order] = field(default_factory=list)
    silent: bool = False
    unsent: list[Stop] = field(default_factory=list)
    fresh: bool = False


class QuotaWalk:
    """Drive an owner among workers that do as the model says."""

    def __init__(self, seed: int) -> None:
        """Begin with an owner that has heard of all workers."""
        self.random = random.Random(seed)
        self.now = 1000.0
        self.epoch = 1
        self.worker_models = {name: _Worker() for name in WORKERS}
        self.quotas = dict.fromkeys(ORGANISATIONS, 3)
        self.jobs: dict[str, LedgerJob] = {}
        self.moment = 0
        self.known_done: set[TaskName] = set()
        self.started_at: dict[TaskName, int] = {}
        self.scheduler = self._owner()
        for name in WORKERS:
            self._update_worker(name)
            self._hold(name)

    def _owner(self) -> Scheduler:
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
        """Accept a job."""
        if len(self.jobs) >= 6:
            return
        name = f"{len(self.jobs):016x}"
        job = a_job(a_step(count=count), job=name, organisation=organisation)
        self.jobs[name] = job
        self.scheduler.add_job(job, self.now, self.now)
        self.scheduler.mark_stored([name])
        job.progress = Progress(JobState.RUNNING)

    def plan(self, outcomes: list[str]) -> None:
        """Plan, and let each order be answered, lost, or carried out later."""
        for number, command in enumerate(self.scheduler.plan(self.now, self.now)):
            if isinstance(command, Start):
                self._send_start(command, outcomes[number % len(outcomes)])
            elif isinstance(command, Stop):
                self._send_stop(command)
        for worker in self.worker_models.values():
            worker.fresh = worker.fresh and worker.silent

    def _send_start(self, start: Start, outcome: str) -> None:
        worker = self.worker_models[start.worker]
        quota = self.quotas[start.task.step.job.organisation]
        order = _Order(start.task.name, start.run, self.epoch, quota)
        reports = self.scheduler.reports
        if worker.silent or outcome == "lost":
            reports.start_unknown(start.task, start.run)
        elif outcome == "late":
            worker.late.append(order)
            reports.start_unknown(start.task, start.run)
        else:
            reason = self._execute(worker, order)
            reports.start_answered(start.task, start.run, reason, self.now)

    def _send_stop(self, stop: Stop) -> None:
        worker = self.worker_models[stop.worker]
        if worker.silent:
            worker.unsent.append(stop)
        if worker.silent or worker.token > self.epoch:
            return
        worker.token = self.epoch
        if worker.running.get(stop.name) == stop.run:
            self._end(worker, stop.name, "stopped")
        worker.closed[stop.name] = max(stop.run, worker.closed.get(stop.name, 0))
        if stop.task is not None:
            self.scheduler.reports.stop_answered(stop.task, stop.run, self.now)

    def _execute(self, worker: _Worker, order: _Order) -> str:
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
        assert name not in self.known_done, "started after it was known as done"
        self.moment += 1
        self.started_at[name] = self.moment
        twice = sum(name in worker.running for worker in self.worker_models.values())
        assert twice <= 1, "runs twice"
        organisation = self.jobs[name.job].record.organisation
        running = sum(
            self.jobs[task.job].record.organisation == organisation
            for worker in self.worker_models.values()
            for task in worker.running
        )
        # One task more is allowed: of an organisation whose quota is less than a task.
        most = max(1, self.quotas[organisation], order.quota)
        assert running <= most, "quota passed"

    def _end(self, worker: _Worker, name: TaskName, how: str) -> None:
        run = worker.running.pop(name)
        worker.closed[name] = max(run, worker.closed.get(name, 0))
        number = len(worker.ended) + 1
        worker.ended.append(EndedTask(number, name, run, how, ""))
        self.moment += 1
        worker.ended_at.append(self.moment)

    def finish(self, name: str) -> None:
        """Let a task end."""
        worker = self.worker_models[name]
        if worker.running:
            task = self.random.choice(sorted(worker.running, key=encode_task))
            self._end(worker, task, "done")

    def hold(self, name: str) -> None:
        """Let a worker report, unless it can't be reached."""
        self._hold(name)

    def _hold(self, name: str) -> None:
        worker = self.worker_models[name]
        known = self.scheduler.state.workers.get(name)
        if (
            worker.silent
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
        answer = HoldAnswer(0.0, rows, list(worker.ended), worker.started_at_ms)
        self.scheduler.apply_worker_report(name, answer, self.now, self.now)

    def execute_late(self, name: str, number: int) -> None:
        """Carry out an order that was left unanswered."""
        worker = self.worker_models[name]
        if number < len(worker.late) and not worker.fresh:
            self._execute(worker, worker.late.pop(number))

    def toggle_cut(self, name: str) -> None:
        """Let a worker fall silent, or speak again."""
        worker = self.worker_models[name]
        worker.silent = not worker.silent
        known = self.scheduler.state.workers.get(name)
        if known is not None:
            known.stale = worker.silent
            if not worker.silent:
                unsent, worker.unsent = worker.unsent, []
                for stop in unsent:
                    self._send_stop(stop)
        elif not worker.silent:
            self._update_worker(name)

    def lapse(self) -> None:
        """Let the leases of all silent workers run out."""
        if not any(worker.silent for worker in self.worker_models.values()):
            return
        for name in WORKERS:
            self._hold(name)
        self.now += 2 * LEASE
        for name, worker in self.worker_models.items():
            if worker.silent:
                worker.running.clear()
                worker.late.clear()
                # What ended under a lease that lapsed unread counts for nothing.
                worker.ended.clear()
                worker.ended_at.clear()
                self.scheduler.remove_worker(name, LossCause.UNLISTED, self.now)
        self.scheduler.state.takeover_hold_until = min(
            self.scheduler.state.takeover_hold_until, self.now
        )

    def restart(self, name: str) -> None:
        """Start a worker again under its id; what it was told is still under way.

        What an owner before told it is not: nothing keeps such an order from the moment
        between a worker's start and its first answer to the owner after.
        """
        old = self.worker_models[name]
        self.worker_models[name] = _Worker(
            old.started_at_ms + 1,
            late=[order for order in old.late if order.token == self.epoch],
            silent=old.silent,
            unsent=old.unsent,
            fresh=True,
        )
        self._update_worker(name)

    def configure(self, organisation: str, quota: int) -> None:
        """Raise or lower a quota."""
        self.quotas[organisation] = quota

    def take_over(self) -> None:
        """Let another owner take over, that has heard of no worker."""
        self.epoch += 1
        for worker in self.worker_models.values():
            worker.unsent.clear()
        for job_id, progress in self.scheduler.take_dirty(self.now, self.now):
            self.jobs[job_id].progress = progress
        self.scheduler = self._owner()
        state = self.scheduler.state
        state.takeover_hold_until = ALWAYS
        state.taken_over_at = self.now
        for name in WORKERS:
            self._update_worker(name)
        for job in self.jobs.values():
            self.scheduler.add_job(job, self.now, self.now)

    def restart_under_orders(self, name: str) -> None:
        """Restart a worker while orders are under way, which it then carries out."""
        self.plan(["late"])
        self.restart(name)
        self._hold(name)
        self.plan(["answered"])
        for _ in range(len(self.worker_models[name].late)):
            self.execute_late(name, 0)

    def take_over_behind_a_cut(self, name: str, organisation: str) -> None:
        """Let another owner take over that does not reach one worker."""
        self.plan(["answered"])
        self.worker_models[name].silent = True
        self.take_over()
        for other in WORKERS:
            self._hold(other)
        self.submit(organisation, 3)
        self.plan(["answered"])

    def release(self) -> None:
        """End the hold of a takeover once all workers were heard of."""
        state = self.scheduler.state
        for name in WORKERS:
            if name not in state.workers:
                self._update_worker(name)
            self._hold(name)
        if all(worker.confirmed for worker in state.workers.values()):
            state.takeover_hold_until = 0.0

    def counts_match(self) -> None:
        """Compare the count with one made anew from all that is held."""
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
    draw = walk.random
    events: list[Callable[[], None]] = [
        lambda: walk.submit(draw.choice(ORGANISATIONS), draw.randint(1, 4)),
        lambda: walk.plan([draw.choice(OUTCOMES) for _ in range(12)]),
        lambda: walk.plan(["answered"]),
        lambda: walk.finish(draw.choice(WORKERS)),
        lambda: walk.hold(draw.choice(WORKERS)),
        lambda: walk.execute_late(draw.choice(WORKERS), draw.randint(0, 3)),
        lambda: walk.toggle_cut(draw.choice(WORKERS)),
        lambda: walk.lapse(),
        lambda: walk.restart(draw.choice(WORKERS)),
        lambda: walk.configure(draw.choice(ORGANISATIONS), draw.randint(1, 6)),
        lambda: walk.take_over(),
        lambda: walk.restart_under_orders(draw.choice(WORKERS)),
        lambda: walk.take_over_behind_a_cut(
            draw.choice(WORKERS), draw.choice(ORGANISATIONS)
        ),
        lambda: walk.release(),
    ]
    for _ in range(steps):
        draw.choice(events)()
        walk.counts_match()


@pytest.mark.parametrize("first", range(0, 600, 100))
def test_no_order_of_events_passes_a_quota_or_runs_a_task_twice(first: int) -> None:
    for seed in range(first, first + 100):
        _walk(seed)


def _count_only_running(patch: pytest.MonkeyPatch) -> None:
    """Let what is being started or stopped count for nothing."""
    reserve, release = Quotas.reserve, Quotas.release
    mark_uncertain = SchedulerState.mark_uncertain

    def forget(state: SchedulerState, task: object) -> None:
        mark_uncertain(state, task)  # type: ignore[arg-type]
        step = task.step  # type: ignore[attr-defined]
        release(state.quotas, step.job.organisation, step.requested)
        reserve(state.quotas, "", step.requested)

    patch.setattr(SchedulerState, "mark_uncertain", forget)


def _ignore_unconfirmed(patch: pytest.MonkeyPatch) -> None:
    """Let what an owner before may have started count for nothing."""
    patch.setattr(Planner, "_unconfirmed_runs", lambda planner, now: iter(()))


def _ignore_orphans(patch: pytest.MonkeyPatch) -> None:
    """Let runs that are no task's any more count for nothing."""
    patch.setattr(SchedulerState, "add_orphan_run", lambda state, worker, name: None)


def _trust_restarts(patch: pytest.MonkeyPatch) -> None:
    """Let unanswered orders end with the incarnation that they were meant for."""

    def replace(state: SchedulerState, old: object, new: object, now: float) -> None:
        state.drop_worker(old, now)  # type: ignore[arg-type]
        state.workers[new.id] = new  # type: ignore[attr-defined]

    patch.setattr(SchedulerState, "replace_worker", replace)


def _allow_all(patch: pytest.MonkeyPatch) -> None:
    """Let any organisation start what it likes."""
    patch.setattr(Quotas, "allows", lambda quotas, name, room, count=1: True)


def _ignore_takeover_hold(patch: pytest.MonkeyPatch) -> None:
    """Let jobs of an owner before start at once."""
    patch.setattr(
        SchedulerState, "is_held_after_takeover", lambda state, job, now: False
    )


@pytest.mark.parametrize(
    "mutate",
    [
        _count_only_running,
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
    for fresh in range(int(sys.argv[1]), int(sys.argv[2])):
        try:
            _walk(fresh)
        except AssertionError as error:
            print(f"seed={fresh} {error}")
