"""Simulate one pool on a day's jobs, with a fixed size or scaled by threshold; pure."""

from __future__ import annotations

import heapq
import math
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Final

from .day_models import Resources
from .workload import JobTrace, StepTrace

INSTANCE_START_SECONDS: Final = 1.9
"""Time from the request for an instance until it takes its first task."""

UTILISATION_THRESHOLD: Final = 0.85
IDLE_SECONDS: Final = 2.5


@dataclass(slots=True)
class _JobProgress:
    """Hold a job's progress: remaining tasks of each step, and the started steps."""

    remaining: list[int]
    started: set[int] = field(default_factory=set)

    def start_ready_steps(self, steps: Sequence[StepTrace]) -> list[int]:
        """Return the steps that have become ready, and mark them as started."""
        ready = [
            number
            for number, trace in enumerate(steps)
            if number not in self.started
            and not any(self.remaining[n] for n in trace.after)
        ]
        self.started.update(ready)
        return ready


@dataclass(frozen=True, slots=True, order=True)
class _Task:
    """Hold one waiting or running task."""

    job: int
    number: int
    seconds: float
    resources: Resources = field(compare=False)


@dataclass(slots=True)
class PoolSimulation:
    """Simulate one pool that places tasks in order of arrival.

    :param size: resources of one instance.
    :param instance_count: current number of instances.
    """

    jobs: Sequence[JobTrace]
    size: Resources
    instance_count: int
    autoscales: bool
    in_time: int = 0
    moves: int = 0
    _next: int = 0
    _used: Resources = field(default_factory=Resources)
    _waiting: deque[_Task] = field(default_factory=deque)
    _running: list[tuple[float, _Task]] = field(default_factory=list)
    _progress: dict[int, _JobProgress] = field(default_factory=dict)
    _starting: deque[float] = field(default_factory=deque)
    _idle_since: float | None = None

    def step(self, now: float, long_running: Resources) -> int:
        """Advance the simulation to now, and return the number of instances."""
        while self._starting and self._starting[0] <= now:
            self._starting.popleft()
            self.instance_count += 1
        while self._running and self._running[0][0] <= now:
            end, task = heapq.heappop(self._running)
            self._used -= task.resources
            self._finish_task(task, end)
        while self._next < len(self.jobs):
            trace = self.jobs[self._next]
            if trace.submitted_at > now:
                break
            self._progress[self._next] = _JobProgress(
                [len(p.seconds) for p in trace.steps]
            )
            self._enqueue_ready_steps(self._next)
            self._next += 1
        capacity = self.size * self.instance_count - long_running
        while self._waiting and (self._used + self._waiting[0].resources).fits(
            capacity
        ):
            task = self._waiting.popleft()
            self._used += task.resources
            heapq.heappush(self._running, (now + task.seconds, task))
        if self.autoscales:
            self._autoscale(now, long_running)
        return self.instance_count

    def _enqueue_ready_steps(self, job: int) -> None:
        steps = self.jobs[job].steps
        for number in self._progress[job].start_ready_steps(steps):
            trace = steps[number]
            for seconds in trace.seconds:
                self._waiting.append(_Task(job, number, seconds, trace.resources))

    def _finish_task(self, task: _Task, end: float) -> None:
        trace = self.jobs[task.job]
        progress = self._progress[task.job]
        progress.remaining[task.number] -= 1
        if not progress.remaining[task.number]:
            self._enqueue_ready_steps(task.job)
        if not any(progress.remaining):
            self.in_time += end - trace.submitted_at <= trace.objective_seconds

    def _autoscale(self, now: float, long_running: Resources) -> None:
        waiting = sum((task.resources for task in self._waiting), Resources())
        required = (long_running + self._used + waiting).share_of(self.size)
        target = math.ceil(required / UTILISATION_THRESHOLD)
        missing = target - self.instance_count - len(self._starting)
        for _ in range(missing):
            self._starting.append(now + INSTANCE_START_SECONDS)
            self.moves += 1
        if (
            required > (self.instance_count - 1) * UTILISATION_THRESHOLD
            or self.instance_count <= 1
        ):
            self._idle_since = None
        elif self._idle_since is None:
            self._idle_since = now
        elif now - self._idle_since >= IDLE_SECONDS:
            self.instance_count -= 1
            self.moves += 1
