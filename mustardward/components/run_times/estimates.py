"""Learn how long tasks run, since declared run times are often far off."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field

from ...helpers.policies import switchable
from ..scheduling.models import Job, StepRun, Task
from .const import (
    ESTIMATE_CEILING,
    ESTIMATE_FLOOR,
    ESTIMATE_WEIGHT,
    UNKNOWN_ESTIMATE_SECONDS,
)


def _keep_declared_times(
    estimates: Estimates, /, step: StepRun, seconds: float
) -> None:
    """Keep to the declared run times."""


@dataclass(slots=True)
class Estimates:
    """Hold, for each queue, the learned ratio of run time to declared run time.

    Ratios are averaged as logarithms: declared times are off by factors, and one run of
    ten times its declared length must not dominate the average.
    """

    _log_ratio: dict[str, float] = field(default_factory=dict)
    _ratio: dict[str, float] = field(default_factory=dict)

    def ratio(self, queue: str) -> float:
        """Return the learned ratio of a queue."""
        return self._ratio.get(queue, 1.0)

    @switchable(
        "learned-run-times",
        "job order and pool sizes follow actual run times, not declared ones",
        without=_keep_declared_times,
    )
    def learn(self, step: StepRun, seconds: float) -> None:
        """Update a queue's ratio with a completed run."""
        declared = step.spec.estimate_ms / 1000
        if declared <= 0 or seconds <= 0:
            return
        observed = min(ESTIMATE_CEILING, max(ESTIMATE_FLOOR, seconds / declared))
        queue = step.job.record.queue
        old = self._log_ratio.get(queue, 0.0)
        learned = old + ESTIMATE_WEIGHT * (math.log(observed) - old)
        self._log_ratio[queue] = learned
        self._ratio[queue] = math.exp(learned)

    def seconds(self, step: StepRun) -> float:
        """Return the expected run time of one task of a step, in seconds."""
        declared = step.spec.estimate_ms / 1000
        if declared <= 0:
            return UNKNOWN_ESTIMATE_SECONDS
        return declared * self.ratio(step.job.record.queue)

    def mean_seconds(self, step: StepRun) -> float:
        """Return the mean run time of one task of a step, in seconds.

        For sums of work: the mean of a skewed distribution exceeds its median.
        """
        return self.seconds(step)

    def high_seconds(self, step: StepRun) -> float:
        """Return a run time that few tasks of a step exceed, in seconds."""
        return self.seconds(step)

    def remaining_seconds_at(self, now: float) -> Callable[[Task], float]:
        """Return a function that returns the expected remaining seconds of a task.

        A task that exceeds its estimate is expected to run on for as long again as it
        has exceeded it.
        """
        return lambda task: abs(self.remaining_seconds(task, now))

    def remaining_seconds(self, task: Task, now: float) -> float:
        """Return what is left of a task's estimate; negative once it is exceeded."""
        return self.seconds(task.step) - (now - task.started_at)

    def remaining_work(self, job: Job) -> float:
        """Return a job's work that has not started, in core seconds."""
        ratio = self.ratio(job.record.queue)
        total = 0.0
        for number, spec in enumerate(job.record.steps):
            if spec.long_running:
                continue
            step = job.steps.get((0, number))
            begun = step.done + step.active if step is not None else 0
            declared = spec.estimate_ms / 1000 or UNKNOWN_ESTIMATE_SECONDS
            total += (spec.count - begun) * spec.cpu / 1000 * declared * ratio
        return total

    def critical_path(self, job: Job, only_remaining: bool) -> float:
        """Return the length of a job's critical path, in seconds.

        :param only_remaining: whether to leave out the steps that are complete.
        """
        ratio = self.ratio(job.record.queue)
        ends: list[float] = []
        for number, spec in enumerate(job.record.steps):
            declared = spec.estimate_ms / 1000 or UNKNOWN_ESTIMATE_SECONDS
            step = job.steps.get((0, number))
            is_complete = only_remaining and step is not None and step.complete
            length = 0.0 if is_complete or spec.long_running else declared * ratio
            begin = max((ends[earlier] for earlier in spec.after), default=0.0)
            ends.append(begin + length)
        return max(ends, default=0.0)
