"""Determine which tasks could start, from the model alone and not an owner's state."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field

from mustardward.components.ledger.ledger import LedgerJob
from mustardward.platform.models import Room, SubmittedStep
from mustardward.platform.workers import TaskName

from .liveness_jobs import POLICIES
from .liveness_world import ModelWorker, World, fits, room_of, step_key

SUSPECT_CRASHES = 2


@dataclass
class RunnableTasks:
    """Find the tasks that could run now but do not.

    :param done: the tasks that are known to be done.
    :param double_room: whether a task counts only if there is twice the room that it
        needs and less than half of its pool is in use, which is the condition under
        which the requirements guarantee a start; otherwise its own room suffices.
    """

    world: World
    done: set[TaskName]
    double_room: bool
    _running: set[TaskName] = field(default_factory=set)
    _runs: Counter[str] = field(default_factory=Counter)

    def __post_init__(self) -> None:
        """Collect the current runs."""
        for _, run in self.world.all_runs():
            self._running.add(run.name)
            self._runs[run.name.job] += 1

    def tasks(self) -> Iterator[TaskName]:
        """Yield the tasks that could run but do not."""
        for job in self.world.jobs.values():
            if job.state.final:
                continue
            for occurrence in range(max(1, job.record.times)):
                due = job.record.start_at_ms + occurrence * job.record.interval_ms
                if job.record.times and 1000 * self.world.now < due + 100:
                    continue
                for number in range(len(job.record.steps)):
                    yield from self._of_step(job, occurrence, number)

    def _of_step(
        self, job: LedgerJob, occurrence: int, number: int
    ) -> Iterator[TaskName]:
        step = job.record.steps[number]
        if not all(
            TaskName(job.record.id, occurrence, earlier, index) in self.done
            for earlier in step.after
            for index in range(job.record.steps[earlier].count)
        ):
            return
        if not step.long_running and self._runs[job.record.id]:
            return
        names = [
            TaskName(job.record.id, occurrence, number, index)
            for index in range(step.count)
        ]
        waiting = [n for n in names if n not in self.done and n not in self._running]
        if waiting and self._could_run(job, step, waiting):
            yield from waiting

    def _could_run(
        self, job: LedgerJob, step: SubmittedStep, waiting: list[TaskName]
    ) -> bool:
        service = POLICIES[job.record.queue].service
        pool = [w for w in self.world.workers.values() if w.service == service]
        if self.double_room and not _is_half_free(pool):
            return False
        count = len(waiting) if step.gang else 1
        if not self._within_quota(job.record.organisation, step, count):
            return False
        able = [w for w in pool if self._may_run(w, job, step, waiting[0])]
        if any(self.world.crashes.get(name, 0) >= SUSPECT_CRASHES for name in waiting):
            able = [w for w in able if self.double_room or _is_alone(w, job.record.id)]
        return (
            self._count_places(able, step, waiting[0], 2 if self.double_room else 1)
            >= count
        )

    def _may_run(
        self,
        worker: ModelWorker,
        job: LedgerJob,
        step: SubmittedStep,
        name: TaskName,
    ) -> bool:
        if not self._is_available(worker):
            return False
        if step.required_label and step.required_label not in worker.labels:
            return False
        if POLICIES[job.record.queue].advice:
            return self.world.allows(step_key(name), worker)
        return True

    def _is_available(self, worker: ModelWorker) -> bool:
        """Return whether a worker may get any task."""
        return not (worker.unreachable or worker.draining or worker.cordoned)

    def _count_places(
        self, able: list[ModelWorker], step: SubmittedStep, name: TaskName, times: int
    ) -> int:
        """Return how many of a step's tasks there is room for."""
        room = room_of(step)
        places = 0
        for worker in able:
            here = sum(step_key(run) == step_key(name) for run in worker.runs)
            limit = (step.max_per_server or step.count) - here
            free = worker.free()
            while limit > 0 and fits(free, room, times):
                limit -= 1
                places += 1
                free = Room(
                    free.cpu - times * room.cpu,
                    free.mem_mb - times * room.mem_mb,
                    free.gpu - times * room.gpu,
                )
        return places

    def _within_quota(self, organisation: str, step: SubmittedStep, count: int) -> bool:
        quota = self.world.quotas.get(organisation)
        if quota is None:
            return True
        jobs = self.world.jobs
        used = sum(
            run.step.cpu
            for _, run in self.world.all_runs()
            if jobs[run.name.job].record.organisation == organisation
        )
        if count == 1 and not used:
            return True
        return used + count * step.cpu <= quota.cpu


def _is_half_free(pool: list[ModelWorker]) -> bool:
    cpu = sum(worker.capacity.cpu for worker in pool)
    mem = sum(worker.capacity.mem_mb for worker in pool)
    free = [worker.free() for worker in pool]
    return (
        2 * sum(room.cpu for room in free) > cpu
        and 2 * sum(room.mem_mb for room in free) > mem
    )


def _is_alone(worker: ModelWorker, job: str) -> bool:
    return all(run.job == job for run in worker.runs)
