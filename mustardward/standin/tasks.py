"""Simulate leased tasks on a worker: progress, checkpoints, fencing, lease expiry.

Reads no clock: callers pass the time.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

import msgspec

from ..exceptions import PlatformRefusedError, StaleGenerationError
from .protocol.models import TaskOrder, TaskReport, TaskState

THROTTLED_SPEED: Final = 0.1
_ACTIVE: Final = (TaskState.RUNNING, TaskState.THROTTLED)


class UnknownTaskError(PlatformRefusedError):
    """Raised for a task that the worker does not have, for example after a reboot."""

    code = "task-unknown"


class TaskProgram(msgspec.Struct, frozen=True):
    """Behaviour of a task, decoded from the JSON payload of its order.

    A task with any other payload succeeds after one second.
    """

    run_seconds: float = 1.0
    fails: bool = False
    result: str = "done"


@dataclass(frozen=True, slots=True)
class TaskRun:
    """One run of a task, for checks of histories; times in seconds."""

    task_id: str
    generation: int
    organisation: str
    start: float
    end: float
    outcome: str


@dataclass(slots=True, eq=False)
class _Task:
    """A task; ``advanced`` is the time of its latest progress update."""

    order: TaskOrder
    program: TaskProgram
    state: TaskState
    progress: float
    checkpoint: str
    started: float
    advanced: float
    lease_end: float
    ended: float = 0.0
    reason: str = ""


class TaskTable:
    """Tasks of one worker."""

    def __init__(self) -> None:
        self._tasks: dict[str, _Task] = {}
        self._generations: dict[str, int] = {}
        self._finished_runs: list[TaskRun] = []

    def running(self, now: float) -> int:
        """Return the number of tasks that occupy a slot."""
        self._advance_all(now)
        return sum(t.state is TaskState.RUNNING for t in self._tasks.values())

    def active(self, now: float) -> int:
        """Return the number of unfinished tasks."""
        self._advance_all(now)
        return sum(task.state in _ACTIVE for task in self._tasks.values())

    def has_attempt(self, order: TaskOrder) -> bool:
        """Return whether the same attempt was started before."""
        return self._generations.get(order.task_id) == order.generation

    def check(self, task_id: str, generation: int) -> None:
        """Reject a call under an older lease.

        :raises StaleGenerationError: if a newer generation is known.
        """
        # A holder that resumes after a pause still assumes that it has the lease.
        # Without fencing it would stop or renew the task of its successor,
        # which shows as a task that ends although its holder did not stop it.
        newest = self._generations.get(task_id, 0)
        if generation < newest:
            raise StaleGenerationError(f"seen={newest} got={generation}")

    def start(self, order: TaskOrder, now: float, fails: bool = False) -> TaskReport:
        """Start a task, or return the report if the same attempt is running."""
        self.check(order.task_id, order.generation)
        if self.has_attempt(order) and order.task_id in self._tasks:
            return self.report(order.task_id, now)
        self._end(order.task_id, TaskState.STOPPED, now, "superseded")
        program = _parse_program(order.payload)
        if fails:
            program = TaskProgram(run_seconds=0.0, fails=True)
        self._generations[order.task_id] = order.generation
        self._tasks[order.task_id] = _Task(
            order=order,
            program=program,
            state=TaskState.RUNNING,
            progress=_parse_progress(order.checkpoint),
            checkpoint=order.checkpoint,
            started=now,
            advanced=now,
            lease_end=now + order.lease_seconds,
        )
        return self.report(order.task_id, now)

    def report(self, task_id: str, now: float) -> TaskReport:
        """Return the state of a task.

        :raises UnknownTaskError: if there is no such task.
        """
        task = self._get_task(task_id)
        self._advance(task, now)
        done = task.state is TaskState.DONE
        return TaskReport(
            task_id=task_id,
            generation=task.order.generation,
            state=task.state,
            progress=task.progress,
            checkpoint=task.checkpoint,
            result=task.program.result.encode() if done else b"",
            reason=task.reason,
        )

    def renew(
        self, task_id: str, generation: int, lease_seconds: float, now: float
    ) -> TaskReport:
        """Extend a lease that has not expired."""
        task = self._get_leased_task(task_id, generation, now)
        if task.state in _ACTIVE:
            task.lease_end = now + lease_seconds
        return self.report(task_id, now)

    def checkpoint(self, task_id: str, generation: int, now: float) -> TaskReport:
        """Write a checkpoint and stop the task."""
        task = self._get_leased_task(task_id, generation, now)
        if task.state in _ACTIVE:
            task.checkpoint = f"{task.progress:.9f}"
            self._end(task_id, TaskState.STOPPED, now, "checkpointed")
        return self.report(task_id, now)

    def throttle(self, task_id: str, generation: int, now: float) -> TaskReport:
        """Reduce the speed of a task and free its slot."""
        task = self._get_leased_task(task_id, generation, now)
        if task.state is TaskState.RUNNING:
            task.state = TaskState.THROTTLED
        return self.report(task_id, now)

    def stop(self, task_id: str, generation: int, now: float) -> TaskReport:
        """Stop a task without a checkpoint."""
        self._get_leased_task(task_id, generation, now)
        self._end(task_id, TaskState.STOPPED, now, "stopped")
        return self.report(task_id, now)

    def reboot(self, now: float) -> None:
        """Interrupt and drop all tasks; the fencing generations persist."""
        self._advance_all(now)
        for task_id in list(self._tasks):
            self._end(task_id, TaskState.LAPSED, now, "cut")
        self._tasks.clear()

    def runs(self, now: float) -> list[TaskRun]:
        """Return all runs, including those in progress."""
        self._advance_all(now)
        current = [
            _build_run(t, now) for t in self._tasks.values() if t.state in _ACTIVE
        ]
        return self._finished_runs + current

    def _get_task(self, task_id: str) -> _Task:
        task = self._tasks.get(task_id)
        if task is None:
            raise UnknownTaskError(task_id)
        return task

    def _get_leased_task(self, task_id: str, generation: int, now: float) -> _Task:
        task = self._get_task(task_id)
        self.check(task_id, generation)
        if generation > task.order.generation:
            raise StaleGenerationError(f"have={task.order.generation}")
        self._advance(task, now)
        return task

    def _advance_all(self, now: float) -> None:
        for task in self._tasks.values():
            self._advance(task, now)

    def _advance(self, task: _Task, now: float) -> None:
        if task.state not in _ACTIVE:
            return
        speed = 1.0 if task.state is TaskState.RUNNING else THROTTLED_SPEED
        remaining = (1.0 - task.progress) * task.program.run_seconds / speed
        finish = task.advanced + remaining
        advance_to = min(now, finish, task.lease_end)
        if task.program.run_seconds > 0:
            progress_gain = (
                (advance_to - task.advanced) * speed / task.program.run_seconds
            )
            task.progress = min(1.0, task.progress + progress_gain)
        task.advanced = advance_to
        if finish <= min(now, task.lease_end):
            task.progress = 1.0
            state = TaskState.FAILED if task.program.fails else TaskState.DONE
            self._finish(task, state, finish, "failed" if task.program.fails else "")
        elif task.lease_end <= now:
            self._finish(task, TaskState.LAPSED, task.lease_end, "lease-lapsed")

    def _end(self, task_id: str, state: TaskState, now: float, reason: str) -> None:
        task = self._tasks.get(task_id)
        if task is not None and task.state in _ACTIVE:
            self._finish(task, state, now, reason)

    def _finish(self, task: _Task, state: TaskState, ended: float, reason: str) -> None:
        task.state = state
        task.ended = ended
        task.reason = reason
        self._finished_runs.append(_build_run(task, ended))


def _build_run(task: _Task, end: float) -> TaskRun:
    return TaskRun(
        task_id=task.order.task_id,
        generation=task.order.generation,
        organisation=task.order.organisation,
        start=task.started,
        end=end,
        outcome=task.reason or str(task.state),
    )


def _parse_program(payload: bytes) -> TaskProgram:
    try:
        return msgspec.json.decode(payload, type=TaskProgram)
    except msgspec.MsgspecError:
        return TaskProgram()


def _parse_progress(checkpoint: str) -> float:
    try:
        return min(1.0, max(0.0, float(checkpoint)))
    except ValueError:
        return 0.0
