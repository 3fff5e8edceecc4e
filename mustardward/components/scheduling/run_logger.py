"""Log starts and ends of runs, in one line per job and plan.

A line per task would use most of an entry node's log rate limit: in a demand peak lines
would be dropped, and an on-call engineer could not follow the tasks of a job.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from typing import Final

from ...helpers.logging import LogValue, get_logger
from ...platform.workers import EndedTask, RunningTask
from .models import Task
from .sent_starts import SentStart
from .worker_state import WorkerState

_LOGGER = get_logger(__name__)

MAX_RUNS_PER_LINE: Final = 32
"""Most runs in one log line, which makes about 1,300 characters."""

RENEWAL_AGES: Final = "renewal_ages"
"""Field with the age of the renewal under which each run of a line was sent."""

NUMBERS: Final = "numbers"
"""Field with the number that the worker gave each end of a line."""

WORKER_CLOCKS: Final = "clocks_ms"
"""Field with the clock of each worker at the report that listed a run."""

_DETAIL_FIELDS: Final = {
    "runs_ended": NUMBERS,
    "ends_ignored": NUMBERS,
    "runs_unexpected": WORKER_CLOCKS,
}

Key = tuple[str, str]


@dataclass(slots=True)
class RunLogger:
    """Collect starts and ends of runs by event and job.

    :param epoch: the owner's fencing token.
    :param started_count: total number of recorded starts.
    :param ended_count: total number of recorded ends of current runs.
    """

    epoch: int = 0
    started_count: int = 0
    ended_count: int = 0
    _gathered: dict[Key, list[str]] = field(default_factory=lambda: defaultdict(list))
    _details: dict[Key, list[str]] = field(default_factory=lambda: defaultdict(list))
    _estimates: dict[str, dict[str, float]] = field(default_factory=dict)

    def record_start(
        self,
        task: Task,
        worker: WorkerState,
        waited: float,
        expected: float,
        sent: SentStart | None = None,
    ) -> None:
        """Record a start, with the task's wait and its expected run time in seconds."""
        self.started_count += 1
        text = f"{run_key(task)}:{task.run}@{worker.id}+{waited:.3f}~{expected:.2f}"
        key = ("runs_started", task.step.job.record.id)
        self._gathered[key].append(text)
        self._details[key].append(_age_text(sent))

    def record_overtaken_start(self, task: Task, sent: SentStart) -> None:
        """Record a start that was answered after a report or a newer run."""
        key = ("starts_overtaken", task.step.job.record.id)
        self._gathered[key].append(f"{run_key(task)}:{sent.run}@{sent.worker}")
        self._details[key].append(_age_text(sent))

    def record_end(
        self, worker: WorkerState, ended: EndedTask, is_current: bool
    ) -> None:
        """Record an end, marked as stray unless it is the task's current run."""
        self.ended_count += is_current
        text = _end_text(worker, ended) + ("" if is_current else "/stray")
        key = ("runs_ended", ended.task.job)
        self._gathered[key].append(text)
        self._details[key].append(str(ended.number))

    def record_ignored_end(self, worker: WorkerState, ended: EndedTask) -> None:
        """Record an end of an unknown task or of one that is done."""
        key = ("ends_ignored", ended.task.job)
        self._gathered[key].append(_end_text(worker, ended))
        self._details[key].append(str(ended.number))

    def record_unexpected_run(self, worker: WorkerState, row: RunningTask) -> None:
        """Record a run that a worker lists though its task is not to run there."""
        name = row.task
        run = f"{name.occurrence}.{name.step}.{name.index}:{row.run}"
        key = ("runs_unexpected", name.job)
        self._gathered[key].append(f"{run}@{worker.incarnation}={row.percent:.0f}%")
        self._details[key].append(f"{worker.clock_ms:.0f}")

    def record_estimate(self, task: Task, seconds: float) -> None:
        """Record the run time expected of a step's tasks after a run was completed.

        It shows whether a long run was slow or its declared run time was wrong.
        """
        step = task.step
        estimates = self._estimates.setdefault(step.job.record.id, {})
        estimates[f"{step.occurrence}.{step.number}"] = seconds

    def flush(self) -> None:
        """Log the collected runs, by event and job."""
        for (event, job), runs in self._gathered.items():
            fields: dict[str, LogValue] = {"epoch": self.epoch}
            details = self._details.get((event, job), [])
            detail = _DETAIL_FIELDS.get(event, RENEWAL_AGES)
            if event == "runs_ended" and job in self._estimates:
                fields["expected"] = ",".join(
                    f"{step}~{seconds:.2f}"
                    for step, seconds in self._estimates[job].items()
                )
            for first in range(0, len(runs), MAX_RUNS_PER_LINE):
                last = first + MAX_RUNS_PER_LINE
                part = runs[first:last]
                more: dict[str, LogValue] = {"runs": ",".join(part)}
                more[detail] = ",".join(details[first:last])
                _LOGGER.info(event, job=job, count=len(part), **fields, **more)
        self._gathered.clear()
        self._details.clear()
        self._estimates.clear()


def run_key(task: Task) -> str:
    """Return a task's occurrence, step and index as log lines name them."""
    return f"{task.step.occurrence}.{task.step.number}.{task.index}"


def _end_text(worker: WorkerState, ended: EndedTask) -> str:
    name = ended.task
    run = f"{name.occurrence}.{name.step}.{name.index}:{ended.run}"
    return f"{run}@{worker.id}={ended.how}"


def _age_text(sent: SentStart | None) -> str:
    return "-" if sent is None else f"{sent.renewal_age_seconds:.2f}"
