"""Keep tasks from a second worker while a start may reach the first one."""

from __future__ import annotations

import math
from collections.abc import Callable, Container, Iterator
from dataclasses import dataclass, field, replace

from ...platform.workers import TaskName
from .models import StepRun, Task


@dataclass(frozen=True, slots=True)
class HeldStart:
    """Hold a start that got no response.

    :param worker: id of the worker that it was sent to.
    :param until: when a run that it began is over at the latest, in monotonic seconds.
    :param elsewhere_at: from when the task may start on other workers all the same, in
        monotonic seconds.
    :param count: how often it was sent.
    :param is_after_end: whether that time counts from the end of the worker, of which
        no incarnation has reported since.
    """

    worker: str
    run: int
    until: float
    elsewhere_at: float = math.inf
    count: int = 1
    is_after_end: bool = False

    def is_active(self, now: float) -> bool:
        """Return whether the task may start on this worker only."""
        return now < self.until and now < self.elsewhere_at

    @property
    def awaits_worker(self) -> bool:
        """Return whether the task waits until the worker reports or has ended."""
        return self.elsewhere_at == math.inf

    def covers(self, run: int, sent_at: float) -> bool:
        """Return whether a start of the same task and worker needs no hold of its own.

        :param sent_at: when it was decided on, in monotonic seconds.
        """
        return run <= self.run or sent_at < self.elsewhere_at


@dataclass(slots=True, eq=False)
class HeldStarts:
    """Hold the unanswered starts by task and worker.

    A start without a response may be executed seconds later. The worker's present
    incarnation rejects it once the run was stopped or has ended there, and the next one
    once it has seen a newer fencing token. If the worker restarts under its id, the
    next one may execute the start before that; the task must not run elsewhere then.
    """

    _starts: dict[TaskName, dict[str, HeldStart]] = field(default_factory=dict)
    _names_by_job: dict[str, dict[TaskName, None]] = field(default_factory=dict)

    def __len__(self) -> int:
        """Return the number of tasks with unanswered starts."""
        return len(self._starts)

    def add(self, name: TaskName, start: HeldStart, sent_at: float) -> None:
        """Hold a task for an unanswered start; a repeated one is counted.

        The time from which the task may start elsewhere stays, unless the start was
        sent after it: the worker may answer everything but starts.

        :param sent_at: when the start was decided on, in monotonic seconds.
        """
        starts = self._starts.setdefault(name, {})
        self._names_by_job.setdefault(name.job, {})[name] = None
        known = starts.get(start.worker)
        if known is None or not known.covers(start.run, sent_at):
            starts[start.worker] = start
            return
        starts[start.worker] = replace(
            known,
            run=max(known.run, start.run),
            until=max(known.until, start.until),
            count=known.count + 1,
        )

    def items(self) -> Iterator[tuple[TaskName, HeldStart]]:
        """Yield the unanswered starts by task."""
        for name, starts in self._starts.items():
            for start in starts.values():
                yield name, start

    def get(self, name: TaskName, worker_id: str) -> HeldStart | None:
        """Return the unanswered start of a task on a worker, if there is one."""
        return self._starts.get(name, {}).get(worker_id)

    def cover(self, task: Task, worker_id: str) -> bool:
        """Return whether a task's present start needs no hold of its own."""
        start = self.get(task.name, worker_id)
        return start is not None and start.covers(task.run, task.started_at)

    def include(self, worker_id: str) -> bool:
        """Return whether a worker left a start unanswered."""
        return any(worker_id in starts for starts in self._starts.values())

    def await_worker(self, worker_id: str) -> bool:
        """Return whether tasks wait for a worker until it reports or has ended."""
        return any(start.awaits_worker for _, start in self._starts_of(worker_id))

    def workers(self) -> set[str]:
        """Return the workers that left starts unanswered."""
        return {start.worker for _, start in self.items()}

    def awaited_workers(self) -> set[str]:
        """Return the workers for which tasks wait until they report or have ended."""
        return {start.worker for _, start in self.items() if start.awaits_worker}

    def record_executed(self, name: TaskName, worker_id: str, run: int) -> None:
        """Drop a start whose only call is known to have been executed."""
        start = self.get(name, worker_id)
        if start is not None and start.run == run and start.count == 1:
            self._remove(name, worker_id)

    def release(self, worker_id: str) -> None:
        """Drop the starts of a worker that none of them can reach any more."""
        for name in [name for name, s in self._starts.items() if worker_id in s]:
            self._remove(name, worker_id)

    def extend(
        self,
        worker_id: str,
        now: float,
        tasks: Container[TaskName],
        until: float | None = None,
    ) -> None:
        """Let tasks wait for a worker whose present incarnation is not known.

        Tasks that may start elsewhere already are not held again, unless the worker had
        room for them: its next incarnation may still execute the start.

        :param tasks: the tasks that the worker had.
        :param until: when its last lease ends at the latest, if that is later.
        """
        for name, start in self._starts_of(worker_id):
            if start.is_after_end and name not in tasks:
                # It is the same end, seen once more.
                continue
            is_held = now < start.elsewhere_at or name in tasks
            self._starts[name][worker_id] = replace(
                start,
                until=start.until if until is None else max(start.until, until),
                elsewhere_at=math.inf if is_held else now,
                is_after_end=False,
            )

    def limit(
        self,
        worker_id: str,
        elsewhere_at: float,
        applies: Callable[[TaskName], bool] = lambda name: True,
    ) -> None:
        """Let tasks start elsewhere from a time on, unless they may do so before.

        Call this after a report of the worker.
        """
        for name, start in self._starts_of(worker_id):
            self._starts[name][worker_id] = replace(start, is_after_end=False)
            if applies(name):
                self.limit_task(name, worker_id, elsewhere_at)

    def limit_after_end(self, worker_id: str, elsewhere_at: float) -> None:
        """Let tasks start elsewhere from a time after the end of their worker."""
        for name, start in self._starts_of(worker_id):
            if elsewhere_at < start.elsewhere_at:
                self._starts[name][worker_id] = replace(
                    start, elsewhere_at=elsewhere_at, is_after_end=True
                )

    def limit_task(self, name: TaskName, worker_id: str, elsewhere_at: float) -> None:
        """Let one task start elsewhere from a time on, unless it may do so before."""
        start = self.get(name, worker_id)
        if start is not None and elsewhere_at < start.elsewhere_at:
            self._starts[name][worker_id] = replace(start, elsewhere_at=elsewhere_at)

    def expire(self, now: float, is_needed: Callable[[TaskName], bool]) -> None:
        """Drop the starts whose runs are over, and those that are not needed."""
        for name, starts in list(self._starts.items()):
            is_over = not is_needed(name)
            for worker_id, start in list(starts.items()):
                if is_over or now >= start.until:
                    self._remove(name, worker_id)

    def take_held_tasks(self, step: StepRun, now: float) -> list[Task]:
        """Remove the tasks that may not start on any worker from a step's queue.

        :param now: until when no other owner can have renewed leases.
        :return: the tasks, which the caller returns to the queue.
        """
        names = self._names_by_job.get(step.job.record.id)
        if names is None:
            return []
        for name in names:
            is_of_step = (name.occurrence, name.step) == (step.occurrence, step.number)
            if is_of_step and name.index < len(step.tasks):
                # Tasks that the previous owner started have no state of their own.
                step.tasks[name.index]
        return step.waiting.take(lambda task: self._is_held(task.name, now))

    def allowed_worker(self, name: TaskName, now: float) -> str:
        """Return the id of the only worker on which a held task may start, or ""."""
        starts = self._starts.get(name, {}).values()
        workers = {start.worker for start in starts if start.is_active(now)}
        return workers.pop() if len(workers) == 1 else ""

    def _is_held(self, name: TaskName, now: float) -> bool:
        starts = self._starts.get(name)
        return starts is not None and any(s.is_active(now) for s in starts.values())

    def _starts_of(self, worker_id: str) -> list[tuple[TaskName, HeldStart]]:
        return [
            (name, starts[worker_id])
            for name, starts in self._starts.items()
            if worker_id in starts
        ]

    def _remove(self, name: TaskName, worker_id: str) -> None:
        starts = self._starts[name]
        del starts[worker_id]
        if starts:
            return
        del self._starts[name]
        names = self._names_by_job[name.job]
        del names[name]
        if not names:
            del self._names_by_job[name.job]
