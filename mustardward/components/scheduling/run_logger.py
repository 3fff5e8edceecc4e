"""Tell what becomes of runs, in one line for each job and look.

A line for each task took most of what an entry may write a second: in the peak of a
turn lines were left out, some of them the only ones that told of a job, and an on-call
engineer could not follow any job's tasks.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from typing import Final

from ...helpers.logging import get_logger
from ...platform.workers import EndedTask
from .models import Task
from .worker_state import WorkerState

_LOGGER = get_logger(__name__)

MAX_RUNS_PER_LINE: Final = 32
"""Runs that one line tells of: some 1,300 characters."""

Key = tuple[str, str]


@dataclass(slots=True)
class RunLogger:
    """Gather what is to be told, by event and job.

    :param started_count: runs that were told as started, since the begin.
    :param ended_count: the same of those that ended.
    """

    started_count: int = 0
    ended_count: int = 0
    _gathered: dict[Key, list[str]] = field(default_factory=lambda: defaultdict(list))

    def record_start(
        self, task: Task, worker: WorkerState, waited: float, expected: float
    ) -> None:
        """Take in a start; how long the task waited, and should run, in seconds."""
        self.started_count += 1
        text = f"{_run_key(task)}:{task.run}@{worker.id}+{waited:.3f}~{expected:.2f}"
        self._gathered["runs_started", task.step.job.record.id].append(text)

    def record_end(
        self, worker: WorkerState, ended: EndedTask, is_current: bool
    ) -> None:
        """Take in an end; a run that was not the task's newest is marked as stray."""
        self.ended_count += is_current
        name = ended.task
        text = f"{name.occurrence}.{name.step}.{name.index}:{ended.run}@{worker.id}"
        text += f"={ended.how}" + ("" if is_current else "/stray")
        self._gathered["runs_ended", name.job].append(text)

    def flush(self) -> None:
        """Write a line for each event and job."""
        for (event, job), runs in self._gathered.items():
            for first in range(0, len(runs), MAX_RUNS_PER_LINE):
                part = runs[first : first + MAX_RUNS_PER_LINE]
                _LOGGER.info(event, job=job, count=len(part), runs=",".join(part))
        self._gathered.clear()


def _run_key(task: Task) -> str:
    return f"{task.step.occurrence}.{task.step.number}.{task.index}"
