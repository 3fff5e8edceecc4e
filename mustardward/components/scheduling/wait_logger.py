"""Log why steps wait although their pool has room, in a bounded number of lines."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import Final

from ...helpers.instruments import OLDEST_WAIT_SECONDS, TASK_WAITS
from ...helpers.logging import LogValue, get_logger
from ...platform.models import Room
from ...platform.workers import encode_task
from .models import Job, Phase, StepRun, Task
from .scheduler_state import SchedulerState
from .wait_context import WaitContext, refine_reason
from .wait_inputs import inputs_of, phases_of
from .wait_tracker import Reason, WaitDecision, WaitTracker
from .worker_state import WorkerState

_LOGGER = get_logger(__name__)

WAIT_LOG_AFTER_SECONDS: Final = 3.0
"""Time after which a wait or an unfinished command is logged."""

WAIT_LOG_INTERVAL_SECONDS: Final = 5.0
"""Shortest time between two log lines of a step."""

MAX_LINES: Final = 20
"""Most lines of one scan, the longest waits first; the others are only counted."""

MAX_WORKERS_SCANNED: Final = 4000
"""Most workers examined in one scan, so that it blocks the owner for a few milliseconds
at most, also in pools of thousands of workers."""

PLAN_MISSING_SECONDS: Final = 1.0
"""Time without a plan after which a missing plan is the reason of a wait; plans are
normally made several times a second."""


@dataclass(frozen=True, slots=True)
class _PendingCommand:
    """Represent a start or stop command whose outcome is not known yet."""

    task: Task
    since: float


@dataclass(frozen=True, slots=True)
class _WaitingStep:
    """Hold a waiting step.

    :param reason: why it waits, as far as known without examining its pool.
    :param seconds: for how long it has waited, or its command has been unfinished.
    """

    step: StepRun
    reason: Reason
    seconds: float
    decision: WaitDecision | None
    command: _PendingCommand | None


@dataclass(frozen=True, slots=True)
class _LoggedWait:
    """Hold when a step was logged, its plan's reason and the refined, logged reason."""

    at: float
    reason: Reason
    refined_reason: Reason


@dataclass(slots=True, eq=False)
class WaitLogger:
    """Scan all steps periodically and log the long waits."""

    state: SchedulerState
    wait_tracker: WaitTracker
    _record_sent_at: dict[str, float] = field(default_factory=dict)
    _logged: dict[StepRun, _LoggedWait] = field(default_factory=dict)
    _phase_since: dict[Task, tuple[Phase, int, float]] = field(default_factory=dict)

    def record_sent(self, job_id: str, now: float) -> None:
        """Record that a job's record is being sent to the log."""
        self._record_sent_at[job_id] = now

    def log_due(self, now: float) -> None:
        """Log the waits that are due, and update the counter and the gauge."""
        self.wait_tracker.prune()
        self._record_sent_at = {
            k: at for k, at in self._record_sent_at.items() if k in self.state.jobs
        }
        self._logged = {
            step: logged
            for step, logged in self._logged.items()
            if now - logged.at < WAIT_LOG_INTERVAL_SECONDS
        }
        found = sorted(self._find_waiting(now), key=lambda item: -item.seconds)
        due = [item for item in found if item.step not in self._logged]
        written = self._log_first(due, now)
        if written < len(due):
            _LOGGER.info("task_waits_omitted", count=len(due) - written)
        for item in found:
            TASK_WAITS.labels(self._refined_reason(item).value).inc()
        OLDEST_WAIT_SECONDS.set(found[0].seconds if found else 0.0)

    def _log_first(self, due: list[_WaitingStep], now: float) -> int:
        """Log waits up to the limits of a scan; return how many."""
        scanned = 0
        for number, item in enumerate(due[:MAX_LINES]):
            if scanned >= MAX_WORKERS_SCANNED:
                return number
            scanned += self._log_wait(item, now)
        return min(len(due), MAX_LINES)

    def _refined_reason(self, item: _WaitingStep) -> Reason:
        logged = self._logged.get(item.step)
        if logged is None or logged.reason is not item.reason:
            return item.reason
        return logged.refined_reason

    def _find_waiting(self, now: float) -> Iterator[_WaitingStep]:
        pools = self._free_rooms_by_pool()
        commands = self._overdue_commands(now)
        for job in self.state.jobs.values():
            for step in job.steps.values():
                command = commands.get(step)
                if command is None and not (step.open and _has_room(pools, step)):
                    continue
                waited = _waited(job, step, now)
                if waited > WAIT_LOG_AFTER_SECONDS and _has_room(pools, step):
                    decision = self.wait_tracker.get(step)
                    reason = self._reason(step, decision, now)
                    yield _WaitingStep(step, reason, waited, decision, command)
                elif command is not None:
                    seconds = now - command.since
                    yield _WaitingStep(
                        step, Reason.COMMAND_UNFINISHED, seconds, None, command
                    )

    def _reason(
        self, step: StepRun, decision: WaitDecision | None, now: float
    ) -> Reason:
        if not step.waiting:
            return Reason.OFF_QUEUE
        if now - self.wait_tracker.planned_at > PLAN_MISSING_SECONDS:
            return Reason.NOT_PLANNED
        if decision is not None:
            return decision.reason
        if id(step) not in self.state.ready:
            return Reason.NOT_READY
        return Reason.NOT_RECORDED

    def _free_rooms_by_pool(self) -> dict[str, list[Room]]:
        """Return the largest free rooms by pool, of workers that have an entry."""
        pools: dict[str, list[WorkerState]] = {}
        for worker in self.state.workers.values():
            if worker.missing_since is None:
                pools.setdefault(worker.service, []).append(worker)
        return {service: _largest_rooms(workers) for service, workers in pools.items()}

    def _overdue_commands(self, now: float) -> dict[StepRun, _PendingCommand]:
        """Return the longest overdue command of each step."""
        previous = self._phase_since
        self._phase_since = {}
        oldest: dict[StepRun, _PendingCommand] = {}
        for task in self._tasks_in_transition():
            phase, run, since = previous.get(task, (None, 0, 0.0))
            if phase is not task.phase or run != task.run:
                since = task.started_at if task.phase is Phase.STARTING else now
            self._phase_since[task] = (task.phase, task.run, since)
            if now - since <= WAIT_LOG_AFTER_SECONDS:
                continue
            known = oldest.get(task.step)
            if known is None or since < known.since:
                oldest[task.step] = _PendingCommand(task, since)
        return oldest

    def _tasks_in_transition(self) -> Iterator[Task]:
        """Yield the tasks that are being started or stopped."""
        for job in self.state.jobs.values():
            for step in job.steps.values():
                if not step.active:
                    continue
                for task in step.tasks.known():
                    phase = task.phase
                    if (
                        phase is Phase.STARTING
                        or phase is Phase.STOPPING
                        or phase is Phase.UNCERTAIN
                    ):
                        yield task

    def _log_wait(self, item: _WaitingStep, now: float) -> int:
        """Log a wait; return how many workers were examined."""
        step = item.step
        job = step.job
        workers = self.state.workers.values()
        service = job.policy.service
        wait = WaitContext(
            step,
            item.decision,
            self.state,
            self.wait_tracker,
            [worker for worker in workers if worker.service == service],
            self._record_sent_at.get(job.record.id),
            now,
        )
        reason = refine_reason(wait, item.reason)
        self._logged[step] = _LoggedWait(now, item.reason, reason)
        _LOGGER.info(
            "task_waiting",
            job=job.record.id,
            step=f"{step.occurrence}.{step.number}",
            service=service,
            reason=reason.value,
            seconds=item.seconds,
            **phases_of(step),
            reason_seconds=now - item.decision.since
            if item.decision is not None
            else None,
            plan_seconds=now - self.wait_tracker.planned_at,
            cpu=step.room.cpu,
            mem_mb=step.room.mem_mb,
            gpu=step.room.gpu,
            workers=len(wait.workers),
            with_room=len(wait.with_room),
            able=len(wait.able),
            allowed=len(wait.allowed),
            **inputs_of(wait, reason),
            **_command_fields(item.command, now),
        )
        return len(wait.workers)


def _waited(job: Job, step: StepRun, now: float) -> float:
    """Return for how long a step's oldest waiting task has waited; 0 without one."""
    if not step.open or job.state.final:
        return 0.0
    known = step.tasks.known()
    times = [task.ready_since for task in known if task.phase is Phase.WAITING]
    if len(step.tasks) - step.done > len(known):
        times.append(step.opened_at)
    return now - min(times, default=now)


def _largest_rooms(workers: Iterable[WorkerState]) -> list[Room]:
    """Return the free rooms that are not covered by another one."""
    free = {(w.free_cpu, w.free_mem, w.free_gpu) for w in workers}
    largest: list[Room] = []
    for cpu, mem_mb, gpu in sorted(free, reverse=True):
        if not any(room.mem_mb >= mem_mb and room.gpu >= gpu for room in largest):
            largest.append(Room(cpu, mem_mb, gpu))
    return largest


def _has_room(pools: dict[str, list[Room]], step: StepRun) -> bool:
    """Return whether any worker of a step's pool has room for one of its tasks."""
    need = step.room
    return any(
        room.cpu >= need.cpu and room.mem_mb >= need.mem_mb and room.gpu >= need.gpu
        for room in pools.get(step.job.policy.service, ())
    )


def _command_fields(command: _PendingCommand | None, now: float) -> dict[str, LogValue]:
    """Return the log fields of an overdue command."""
    if command is None:
        return {}
    task = command.task
    worker = task.worker
    stopped_at = task.stop_acknowledged_at
    return {
        "order_task": encode_task(task.name),
        "order_phase": task.phase.value,
        "order_seconds": now - command.since,
        "order_run": task.run,
        "order_worker": worker.id if worker is not None else None,
        "order_sent": task.sent,
        "stop_acknowledged": stopped_at is not None,
        "acknowledged_seconds": now - stopped_at if stopped_at is not None else None,
        "worker_heard_seconds": now - worker.reported_at
        if worker is not None
        else None,
    }
