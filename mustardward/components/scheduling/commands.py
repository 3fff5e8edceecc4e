"""Hold what the scheduler orders."""

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
    """Stop a run on a worker; ``task`` is None for a run that nobody owns."""

    name: TaskName
    worker: str
    run: int
    task: Task | None


@dataclass(frozen=True, slots=True)
class Pace:
    """Let a run work at a share of its speed, in percent."""

    task: Task
    worker: str
    run: int
    percent: int


@dataclass(frozen=True, slots=True)
class RequestAdvice:
    """Ask which workers may run a step."""

    step: StepRun
    workers: tuple[str, ...]


Command = Start | Stop | Pace | RequestAdvice
