"""Find the jobs whose tasks crash the workers that run them.

A crash ends everything that runs on a worker, and each of these tasks may be its cause,
except long-running ones that had run for a while. A task that is suspected repeatedly
is isolated from other jobs, so that the next crash is evidence against it alone, and
its job is given up after a few crashes. A task that completes, or a long-running one
that keeps running, is cleared.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from ...helpers.instruments import CRASHES, JOBS_GIVEN_UP
from ...helpers.logging import get_logger
from ...helpers.policies import switchable
from ...platform.workers import encode_task
from ..ledger.models import JobState
from .const import (
    CLEARED_AFTER_RUNS,
    CLEARED_AFTER_SECONDS,
    COMMON_CAUSE_SECONDS,
    COMMON_CAUSE_SHARE,
    CONCLUSIVE_CRASHES,
    ISOLATION_CRASHES,
    ISOLATION_WAIT_SECONDS,
    MAX_CRASHES,
    MAX_ISOLATION_WAIT_SECONDS,
)
from .losses import MAX_RUNS_PER_LINE, LossCause
from .models import Job, Phase, StepRun, Task
from .scheduler_state import SchedulerState
from .worker_state import WorkerState

_LOGGER = get_logger(__name__)

_CRASH_CAUSES = frozenset((LossCause.UNLISTED, LossCause.REPLACED, LossCause.RESTARTED))


@dataclass(frozen=True, slots=True)
class _Crash:
    """Represent a worker crash and the tasks suspected of it."""

    at: float
    service: str
    suspects: tuple[Task, ...]


def is_crash(worker: WorkerState, cause: LossCause) -> bool:
    """Return whether a worker ended unexpectedly.

    A draining or cordoned worker is expected to end. One whose leases expired may be
    alive behind a network partition.
    """
    return cause in _CRASH_CAUSES and not (worker.draining or worker.cordoned)


def may_have_started(task: Task) -> bool:
    """Return whether a worker may have started a task's run and not stopped it."""
    if task.stop_acknowledged_at is not None:
        return False
    return task.phase is not Phase.STARTING or task.sent


def _suspect_all(worker: WorkerState, now: float) -> list[Task]:
    return [task for task in worker.tasks.values() if may_have_started(task)]


@switchable(
    "crash-suspects-by-age",
    "a long-running task that ran for a while is not suspected of its worker's crash",
    without=_suspect_all,
)
def suspects_of(worker: WorkerState, now: float) -> list[Task]:
    """Return the tasks that may have crashed a worker."""
    return [
        task
        for task in worker.tasks.values()
        if may_have_started(task) and not _has_run_long(task, now)
    ]


def _never_isolate(task: Task) -> bool:
    return False


@switchable(
    "crash-suspects-apart",
    "a task that is suspected repeatedly shares no worker with other jobs",
    without=_never_isolate,
)
def needs_isolation(task: Task) -> bool:
    """Return whether a task must not share a worker with other jobs."""
    return len(task.crashes) >= ISOLATION_CRASHES


def _ignore_chance(crashes: int, chance_plausible: bool) -> bool:
    return crashes >= CONCLUSIVE_CRASHES


@switchable(
    "crash-evidence",
    "a job is given up later if its crashes may have another cause",
    without=_ignore_chance,
)
def should_give_up(crashes: int, chance_plausible: bool) -> bool:
    """Return whether a task's job is to be given up.

    :param crashes: workers that crashed under the task.
    :param chance_plausible: whether coincidence may explain a number of crashes that is
        conclusive otherwise.
    """
    return crashes >= (MAX_CRASHES if chance_plausible else CONCLUSIVE_CRASHES)


@dataclass(slots=True, eq=False)
class CrashTracker:
    """Track suspected tasks, clear them, and give up jobs that crash workers."""

    state: SchedulerState
    _recent: deque[_Crash] = field(default_factory=deque)

    def record_loss(
        self, worker: WorkerState, cause: LossCause, suspects: list[Task], now: float
    ) -> None:
        """Record the loss of a worker whose tasks have been removed from it.

        :param suspects: its tasks that may have crashed it.
        """
        if is_crash(worker, cause):
            self._record_crash(worker, suspects, now)
            return
        # With conclusive evidence, every further loss of a task's worker counts,
        # whatever its cause.
        for task in suspects:
            if len(task.crashes) >= CONCLUSIVE_CRASHES:
                self._suspect(task, worker, now)

    def _record_crash(
        self, worker: WorkerState, suspects: list[Task], now: float
    ) -> None:
        CRASHES.inc()
        _LOGGER.warning(
            "worker_crashed",
            worker=worker.id,
            born=worker.started_at_ms,
            tasks=len(suspects),
            suspects=",".join(
                encode_task(t.name) for t in suspects[:MAX_RUNS_PER_LINE]
            ),
        )
        self._recent.append(_Crash(now, worker.service, tuple(suspects)))
        for task in suspects:
            self._suspect(task, worker, now)

    def _suspect(self, task: Task, worker: WorkerState, now: float) -> None:
        if not task.step.job.state.final:
            self.state.record_crash(task, worker.incarnation)
            task.evaluation_due_at = now + COMMON_CAUSE_SECONDS

    def evaluate(self, now: float) -> None:
        """Give up jobs whose tasks crash their workers, and clear sound tasks."""
        for job in list(self.state.suspects.values()):
            for task in _crashed_tasks(job):
                self._evaluate_task(task, now)
        while self._recent and self._recent[0].at < now - 2 * COMMON_CAUSE_SECONDS:
            self._recent.popleft()

    def _evaluate_task(self, task: Task, now: float) -> None:
        job = task.step.job
        if job.state.final:
            return
        if _is_cleared(task):
            _LOGGER.info("suspect_cleared", task=encode_task(task.name))
            self.state.clear_suspicion(task)
            return
        if not self._is_due(task, now):
            return
        crashed_at = task.evaluation_due_at - COMMON_CAUSE_SECONDS
        task.evaluation_due_at = 0.0
        common_cause = self._has_common_cause(task, crashed_at)
        # A long-running task sees more unrelated crashes than a task of one second.
        chance_plausible = common_cause or task.step.spec.long_running
        give_up = should_give_up(len(task.crashes), chance_plausible)
        _LOGGER.info(
            "task_suspected",
            task=encode_task(task.name),
            crashes=",".join(task.crashes),
            common_cause=common_cause,
            isolated=needs_isolation(task),
            given_up=give_up,
        )
        if give_up:
            JOBS_GIVEN_UP.inc()
            self.state.end_job(job, JobState.FAILED)

    def _is_due(self, task: Task, now: float) -> bool:
        """Return whether a task's evaluation is due.

        A restored task with MAX_CRASHES has no due time, but the previous owner may not
        have evaluated it.
        """
        if len(task.crashes) >= MAX_CRASHES:
            return True
        return 0.0 < task.evaluation_due_at <= now

    def _has_common_cause(self, task: Task, at: float) -> bool:
        """Return whether a large share of the pool crashed with a task's worker."""
        service = task.step.job.policy.service
        crashed = sum(
            abs(crash.at - at) <= COMMON_CAUSE_SECONDS and task not in crash.suspects
            for crash in self._recent
            if crash.service == service
        )
        remaining = sum(w.service == service for w in self.state.workers.values())
        return crashed > COMMON_CAUSE_SHARE * (crashed + remaining)


def _has_run_long(task: Task, now: float) -> bool:
    """Return whether a task is long-running and ran for a while.

    A short task may crash its worker at any time up to its end.
    """
    return (
        task.step.spec.long_running and now - task.started_at >= CLEARED_AFTER_SECONDS
    )


def _is_cleared(task: Task) -> bool:
    if task.step.spec.long_running and task.runs_since_crash >= CLEARED_AFTER_RUNS:
        return True
    if task.phase is not Phase.RUNNING or task.worker is None:
        return False
    return _has_run_long(task, task.worker.reported_at)


def awaits_evaluation(job: Job) -> bool:
    """Return whether a job must not start tasks until its crashes are evaluated."""
    if job.suspicion < CONCLUSIVE_CRASHES:
        return False
    return job.suspicion >= MAX_CRASHES or any(
        task.evaluation_due_at for task in _crashed_tasks(job)
    )


def isolated_tasks(job: Job) -> list[Task]:
    """Return the tasks of a job that must not share a worker with other jobs."""
    if job.suspicion < ISOLATION_CRASHES:
        return []
    return [task for task in _crashed_tasks(job) if needs_isolation(task)]


def _crashed_tasks(job: Job) -> list[Task]:
    """Return the unfinished tasks of a job under which workers crashed."""
    return [
        step.stateful[index]
        for step in job.steps.values()
        for index in sorted(step.stateful)
        if step.stateful[index].crashes
    ]


def isolation_workers(job: Job) -> set[str]:
    """Return the ids of the workers on which a job's isolated tasks run."""
    return {task.worker.id for task in isolated_tasks(job) if task.worker is not None}


def all_isolation_workers(jobs: Iterable[Job]) -> set[str]:
    """Return the ids of the workers on which isolated tasks of some jobs run."""
    return {worker_id for job in jobs for worker_id in isolation_workers(job)}


def take_isolated_tasks(step: StepRun) -> list[Task]:
    """Remove the tasks that need isolation from a step's queue and return them.

    Of a gang, all tasks are taken, or none if not all of them wait.
    """
    if step.job.suspicion < ISOLATION_CRASHES:
        return []
    if not step.spec.gang:
        return step.waiting.take(needs_isolation)
    has_suspects = any(map(needs_isolation, step.waiting.known()))
    if not has_suspects or len(step.waiting) != len(step.tasks):
        return []
    suspects = list(step.waiting)
    step.waiting.clear()
    return suspects


def has_long_running(worker: WorkerState) -> bool:
    """Return whether a worker runs long-running tasks."""
    return any(task.step.spec.long_running for task in worker.tasks.values())


def can_isolate(worker: WorkerState, suspects: list[Task], now: float) -> bool:
    """Return whether suspected tasks of one job may use a worker.

    After ISOLATION_WAIT_SECONDS they may share it with long-running tasks that ran for
    a while, since these would not be suspected of the next crash either. After
    MAX_ISOLATION_WAIT_SECONDS long-running suspects may share it with all but others.
    """
    step = suspects[0].step
    others = [task for task in worker.tasks.values() if task.step.job is not step.job]
    if not others:
        return True
    waited = max(now - task.ready_since for task in suspects)
    if waited <= ISOLATION_WAIT_SECONDS or any(map(needs_isolation, others)):
        return False
    if step.spec.long_running and waited > MAX_ISOLATION_WAIT_SECONDS:
        return True
    return all(_has_run_long(task, now) for task in others)
