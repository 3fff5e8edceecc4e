"""Estimate run times, since declared run times are often far off."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import astuple, dataclass, field

from ...helpers.policies import switchable
from ..ledger.models import RunTimesRecord
from ..scheduling.models import Job, StepRun, Task
from .const import (
    ESTIMATE_CEILING,
    ESTIMATE_FLOOR,
    ESTIMATE_WEIGHT,
    MAX_QUEUE_BYTES,
    MAX_QUEUES,
    MIN_GROWTH,
    MIN_STORED_CHANGE,
    STEPS_PER_CHANGE,
    UNKNOWN_ESTIMATE_SECONDS,
)
from .declared import declared_seconds
from .models import StepEstimate
from .reliability import FIGURES_COUNT, Figures, QueueReliability, Reliability


def _keep_declared_times(
    estimates: Estimates, /, step: StepRun, seconds: float
) -> None:
    """Keep to the declared run times."""


@dataclass(slots=True)
class Estimates:
    """Estimate run times from declared ones, queues' past jobs and jobs' own runs.

    Until enough steps of a queue are complete, the declared times are multiplied by the
    learned ratio of run time to declared run time. Ratios are averaged as logarithms:
    declared times are off by factors, and one run of ten times its declared length must
    not dominate the average.
    """

    _log_ratio: dict[str, float] = field(default_factory=dict)
    _ratio: dict[str, float] = field(default_factory=dict)
    _runs: Counter[str] = field(default_factory=Counter)
    _queues: dict[str, QueueReliability] = field(default_factory=dict)

    def ratio(self, queue: str) -> float:
        """Return the learned ratio of a queue."""
        return self._ratio.get(queue, 1.0)

    @switchable(
        "learned-run-times",
        "job order and pool sizes follow actual run times, not declared ones",
        without=_keep_declared_times,
    )
    def learn(self, step: StepRun, seconds: float) -> None:
        """Learn from a completed run, which must be representative of its step."""
        declared = declared_seconds(step.spec)
        if declared <= 0 or seconds <= 0:
            return
        observed = min(ESTIMATE_CEILING, max(ESTIMATE_FLOOR, seconds / declared))
        queue = step.job.record.queue
        old = self._log_ratio.get(queue, 0.0)
        learned = old + ESTIMATE_WEIGHT * (math.log(observed) - old)
        self._log_ratio[queue] = learned
        self._ratio[queue] = math.exp(learned)
        self._runs[queue] += 1
        if not step.spec.long_running:
            job = step.job.run_times
            job.step(step.number).add(math.log(seconds))
            job.changes += 1

    def learn_step(self, step: StepRun) -> None:
        """Learn from a completed step how reliable its queue's declarations are."""
        job = step.job.run_times
        runs = job.steps.get(step.number)
        if runs is None or not runs.count or runs.error is not None:
            return
        queue = self._queue(step.job.record.queue)
        declared = math.log(declared_seconds(step.spec))
        queue.learn(declared, runs, job, step.job.organisation)

    def observe_running(self, task: Task, now: float) -> bool:
        """Observe a run in progress; return whether estimates of its job changed.

        A run that exceeds its estimate shows that its siblings are longer, too.
        """
        step = task.step
        seconds = now - task.started_at
        if seconds <= self.seconds(step) or step.spec.long_running:
            return False
        if not self.is_known(step.job.record.queue):
            return False
        job = step.job.run_times
        runs = job.step(step.number)
        value = math.log(seconds)
        if runs.running is not None and value < runs.running + MIN_GROWTH:
            return False
        runs.running = value
        job.changes += 1
        return True

    def is_known(self, queue: str) -> bool:
        """Return whether the reliability of a queue's declarations is known."""
        known = self._queues.get(queue)
        return known is not None and known.known is not None

    def seconds(self, step: StepRun) -> float:
        """Return the median run time of one task of a step, in seconds."""
        return self._of(step.job)[step.number].median

    def mean_seconds(self, step: StepRun) -> float:
        """Return the mean run time of one task of a step, in seconds.

        For sums of work: the mean of a skewed distribution exceeds its median.
        """
        return self.mean_seconds_of(step.job, step.number)

    def mean_seconds_of(self, job: Job, number: int) -> float:
        """Return the mean run time of one task of a job's step, in seconds."""
        return self._of(job)[number].mean

    def high_seconds(self, step: StepRun) -> float:
        """Return a run time that few tasks of a step exceed, in seconds."""
        return self._of(step.job)[step.number].high

    def confidence(self, step: StepRun) -> float:
        """Return how much a run's time shows about its worker, not its step; 0 to 1."""
        return self._of(step.job)[step.number].confidence

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
        """Return a job's work that is due and has not started, in core seconds.

        Of a job without any open occurrence, it is the work of one.
        """
        estimates = self._of(job)
        total = 0.0
        for step in job.steps.values():
            spec = step.spec
            if not spec.long_running:
                count = len(step.tasks) - step.done - step.active
                total += count * spec.cpu * estimates[step.number].mean
        unopened = job.backlog if job.steps else 1
        for number, spec in enumerate(job.record.steps if unopened else ()):
            if not spec.long_running:
                total += unopened * spec.count * spec.cpu * estimates[number].mean
        return total / 1000

    def critical_path(self, job: Job, only_remaining: bool) -> float:
        """Return the length of a job's critical path, in seconds.

        :param only_remaining: whether to leave out the steps that are complete.
        """
        estimates = self._of(job)
        if only_remaining:
            return self._critical_path(job, estimates, only_remaining)
        runs = job.run_times
        if runs.critical_path is None:
            runs.critical_path = self._critical_path(job, estimates, only_remaining)
        return runs.critical_path

    def _critical_path(
        self, job: Job, estimates: tuple[StepEstimate, ...], only_remaining: bool
    ) -> float:
        ends: list[float] = []
        for number, spec in enumerate(job.record.steps):
            step = job.steps.get((0, number))
            is_complete = only_remaining and step is not None and step.complete
            length = (
                0.0 if is_complete or spec.long_running else estimates[number].median
            )
            begin = max((ends[earlier] for earlier in spec.after), default=0.0)
            ends.append(begin + length)
        return max(ends, default=0.0)

    def export(self) -> dict[str, RunTimesRecord]:
        """Return what was learned of each queue, with the best known queues first."""
        queues = sorted(self._queues.items(), key=lambda item: -item[1].figures.steps)
        return {
            name: RunTimesRecord(astuple(queue.figures), dict(queue.offsets))
            for name, queue in queues[:MAX_QUEUES]
            if queue.known is not None and len(name.encode()) <= MAX_QUEUE_BYTES
        }

    def changed_since(
        self, stored: Mapping[str, RunTimesRecord]
    ) -> list[tuple[str, RunTimesRecord]]:
        """Return the exported records that differ noticeably from the stored ones."""
        return [
            (name, record)
            for name, record in self.export().items()
            if name not in stored or _differ(record, stored[name])
        ]

    def restore(self, queue: str, record: RunTimesRecord) -> None:
        """Restore what a previous owner learned of a queue; ignore unusable figures."""
        if len(record.figures) < FIGURES_COUNT:
            return
        restored = QueueReliability(Figures(*record.figures[:FIGURES_COUNT]))
        if not restored.figures.are_plausible():
            return
        restored.restore_offsets(record.organisations)
        restored.update()
        if restored.known is not None:
            self._queues[queue] = restored

    def _queue(self, name: str) -> QueueReliability:
        queue = self._queues.get(name)
        if queue is None:
            queue = self._queues[name] = QueueReliability(Figures())
        return queue

    def _of(self, job: Job) -> tuple[StepEstimate, ...]:
        """Return the estimates of a job's steps, computed again if necessary."""
        name = job.record.queue
        queue = self._queues.get(name)
        if queue is None or queue.known is None:
            version = -1 - self._runs.get(name, 0)
        else:
            version = queue.version
        runs = job.run_times
        if runs.version == version and not runs.changes and runs.estimates:
            return runs.estimates
        return self._update(job, queue, version)

    def _update(
        self, job: Job, queue: QueueReliability | None, version: int
    ) -> tuple[StepEstimate, ...]:
        """Return a job's estimates after changes.

        Those of a job with thousands of steps are computed after several changes.
        """
        runs = job.run_times
        changes = runs.changes + abs(version - runs.version)
        is_same_source = (version > 0) == (runs.version > 0)
        is_recent = changes * STEPS_PER_CHANGE < len(job.record.steps)
        if runs.estimates and is_same_source and is_recent:
            return runs.estimates
        estimates = self._from_ratio(job)
        if queue is not None and queue.known is not None:
            offset = queue.offsets.get(job.organisation, 0.0)
            estimates = _from_reliability(job, queue.known, offset, estimates)
        runs.set_estimates(estimates, version)
        return estimates

    def _from_ratio(self, job: Job) -> tuple[StepEstimate, ...]:
        """Return the declared times of a job's steps times the queue's ratio."""
        ratio = self.ratio(job.record.queue)
        lengths = [
            declared_seconds(spec) * ratio or UNKNOWN_ESTIMATE_SECONDS
            for spec in job.record.steps
        ]
        return tuple(StepEstimate(seconds, seconds, seconds) for seconds in lengths)


def _from_reliability(
    job: Job, known: Reliability, offset: float, by_ratio: tuple[StepEstimate, ...]
) -> tuple[StepEstimate, ...]:
    """Return the estimates of a job's steps by the reliability of its declarations.

    :param offset: the organisation's mean error, as a logarithm.
    :param by_ratio: the estimates of steps that have no end.
    """
    steps = job.record.steps
    declared = [
        None
        if spec.long_running or spec.estimate_ms <= 0
        else math.log(declared_seconds(spec)) + offset
        for spec in steps
    ]
    estimates = known.estimate(declared, job.run_times)
    return tuple(
        by_ratio[number] if spec.long_running else estimates[number]
        for number, spec in enumerate(steps)
    )


def _differ(new: RunTimesRecord, old: RunTimesRecord) -> bool:
    if len(old.figures) < len(new.figures) or new.organisations.keys() - (
        old.organisations.keys()
    ):
        return True
    changes = [a - b for a, b in zip(new.figures, old.figures, strict=False)]
    changes += [
        offset - old.organisations[name] for name, offset in new.organisations.items()
    ]
    return any(abs(change) > MIN_STORED_CHANGE for change in changes)
