"""Define the commands that the scheduler issues."""

from __future__ import annotations

from dataclasses import dataclass

from ...platform.workers import TaskName
from .models import StepRun, Task


@dataclass(frozen=True, slots=True)
class Start:
    """Start a task on a worker."""

    task: Task
    worker: str
    run: int


@dataclass(frozen=True, slots=True)
class Stop:
    """Stop a run on a worker; ``task`` is None for an orphan run."""

    name: TaskName
    worker: str
    run: int
    task: Task | None


@dataclass(frozen=True, slots=True)
class Pace:
    """Throttle a run to a percentage of its full speed."""

    task: Task
    worker: str
    run: int
    percent: int


@dataclass(frozen=True, slots=True)
class RequestAdvice:
    """Request advice on which workers may run a step.

    :param sent_at: when it was planned, in monotonic seconds.
    :param expected_seconds: how long the call takes by the queue's timings.
    :param due_at: when it should have been answered; until then no other call is sent.
    :param timeout_seconds: when it is given up. Until then a late answer still counts.
    """

    step: StepRun
    workers: tuple[str, ...]
    sent_at: float
    expected_seconds: float
    due_at: float
    timeout_seconds: float


Command = Start | Stop | Pace | RequestAdvice
