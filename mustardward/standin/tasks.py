"""Run leased tasks on a stand-in worker: progress, checkpoints, fencing, lapses.

Pure but for the time that each call is given.
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
    """Report a task that the worker never saw, or forgot in a reboot."""

    code = "task-unknown"


class TaskProgram(msgspec.Struct, frozen=True):
    """Say what a task does; it is the order's payload in JSON.

    Any other payload runs one second and is done.
    """

    run_seconds: float = 1.0
    fails: bool = False
    result: str = "done"


@dataclass(frozen=True, slots=True)
class TaskRun:
    """Record one run of a task, for checking histories; times in seconds."""

    task_id: str
    generation: int
    organisation: str
    start: float
    end: float
    outcome: str


@dataclass(slots=True, eq=False)
class _Task:
    """Hold one task; ``advanced`` is when its progress was last worked out."""

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
    """Hold the tasks of one worker."""

    def __init__(self) -> None:
        self._tasks: dict[str, _Task] = {}
        self._generations: dict[str, int] = {}
        self._past: list[TaskRun] = []

    def running(self, now: float) -> int:
        """Return how many tasks hold a slot."""
        self._advance_all(now)
        return sum(t.state is TaskState.RUNNING for t in self._tasks.values())

    def active(self, now: float) -> int:
        """Return how many tasks are not at their end."""
        self._advance_all(now)
        return sum(task.state in _ACTIVE for task in self._tasks.values())

    def holds(self, order: TaskOrder) -> bool:
        """Tell whether the order's very attempt was started before."""
        return self._generations.get(order.task_id) == order.generation

    def check(self, task_id: str, generation: int) -> None:
        """Refuse a call under an older lease.

        :raises StaleGenerationError: if a newer generation was seen.
        """
        # A holder that was paused comes back believing in its lease. Without the
        # fence it would stop or renew what now belongs to its successor, which one
        # would see as a task that ends without its holder's wish.
        seen = self._generations.get(task_id, 0)
        if generation < seen:
            raise StaleGenerationError(f"seen={seen} got={generation}")

    def start(self, order: TaskOrder, now: float, fails: bool = False) -> TaskReport:
        """Start a task, or return the report of the attempt that runs already."""
        self.check(order.task_id, order.generation)
        if self.holds(order) and order.task_id in self._tasks:
            return self.report(order.task_id, now)
        self._end(order.task_id, TaskState.STOPPED, now, "superseded")
        program = _program(order.payload)
        if fails:
            program = TaskProgram(run_seconds=0.0, fails=True)
        self._generations[order.task_id] = order.generation
        self._tasks[order.task_id] = _Task(
            order=order,
            program=program,
            state=TaskState.RUNNING,
            progress=_progress(order.checkpoint),
            checkpoint=order.checkpoint,
            started=now,
            advanced=now,
            lease_end=now + order.lease_seconds,
        )
        return self.report(order.task_id, now)

    def report(self, task_id: str, now: float) -> TaskReport:
        """Return the state of a task.

        :raises UnknownTaskError: if there is none.
        """
        task = self._find(task_id)
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
        """Prolong a lease that has not lapsed."""
        task = self._held(task_id, generation, now)
        if task.state in _ACTIVE:
            task.lease_end = now + lease_seconds
        return self.report(task_id, now)

    def checkpoint(self, task_id: str, generation: int, now: float) -> TaskReport:
        """Write a checkpoint and stop there."""
        task = self._held(task_id, generation, now)
        if task.state in _ACTIVE:
            task.checkpoint = f"{task.progress:.9f}"
            self._end(task_id, TaskState.STOPPED, now, "checkpointed")
        return self.report(task_id, now)

    def throttle(self, task_id: str, generation: int, now: float) -> TaskReport:
        """Let a task run slowly without a slot."""
        task = self._held(task_id, generation, now)
        if task.state is TaskState.RUNNING:
            task.state = TaskState.THROTTLED
        return self.report(task_id, now)

    def stop(self, task_id: str, generation: int, now: float) -> TaskReport:
        """Stop a task without a checkpoint."""
        self._held(task_id, generation, now)
        self._end(task_id, TaskState.STOPPED, now, "stopped")
        return self.report(task_id, now)

    def reboot(self, now: float) -> None:
        """Cut and forget every task; the fencing generations stay."""
        self._advance_all(now)
        for task_id in list(self._tasks):
            self._end(task_id, TaskState.LAPSED, now, "cut")
        self._tasks.clear()

    def runs(self, now: float) -> list[TaskRun]:
        """Return all runs, those in progress too."""
        self._advance_all(now)
        current = [_run(t, now) for t in self._tasks.values() if t.state in _ACTIVE]
        return self._past + current

    def _find(self, task_id: str) -> _Task:
        task = self._tasks.get(task_id)
        if task is None:
            raise UnknownTaskError(task_id)
        return task

    def _held(self, task_id: str, generation: int, now: float) -> _Task:
        task = self._find(task_id)
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
        left = (1.0 - task.progress) * task.program.run_seconds / speed
        finish = task.advanced + left
        until = min(now, finish, task.lease_end)
        if task.program.run_seconds > 0:
            gained = (until - task.advanced) * speed / task.program.run_seconds
            task.progress = min(1.0, task.progress + gained)
        task.advanced = until
        if finish <= min(now, task.lease_end):
            task.progress = 1.0
            state = TaskState.FAILED if task.program.fails else TaskState.DONE
            self._close(task, state, finish, "failed" if task.program.fails else "")
        elif task.lease_end <= now:
            self._close(task, TaskState.LAPSED, task.lease_end, "lease-lapsed")

    def _end(self, task_id: str, state: TaskState, now: float, reason: str) -> None:
        task = self._tasks.get(task_id)
        if task is not None and task.state in _ACTIVE:
            self._close(task, state, now, reason)

    def _close(self, task: _Task, state: TaskState, ended: float, reason: str) -> None:
        task.state = state
        task.ended = ended
        task.reason = reason
        self._past.append(_run(task, ended))


def _run(task: _Task, end: float) -> TaskRun:
    return TaskRun(
        task_id=task.order.task_id,
        generation=task.order.generation,
        organisation=task.order.organisation,
        start=task.started,
        end=end,
        outcome=task.reason or str(task.state),
    )


def _program(payload: bytes) -> TaskProgram:
    try:
        return msgspec.json.decode(payload, type=TaskProgram)
    except msgspec.MsgspecError:
        return TaskProgram()


def _progress(checkpoint: str) -> float:
    try:
        return min(1.0, max(0.0, float(checkpoint)))
    except ValueError:
        return 0.0
