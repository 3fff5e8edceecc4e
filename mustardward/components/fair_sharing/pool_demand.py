"""Measure what each organisation demands of a pool, by its scarcest resource."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from ...platform.models import Room
from ..run_times.estimates import Estimates
from ..scheduling.models import Job, StepRun, Task, reserved_room
from ..scheduling.placement import room_after_short_tasks
from ..scheduling.worker_state import WorkerState


@dataclass(slots=True)
class PoolDemand:
    """Hold the demand of each organisation, in seconds of the whole pool.

    A task's demand is the largest share of the pool that it takes of any resource,
    times its run time.

    :param used: share of the pool that each organisation's running tasks take.
    :param demands: work of the tasks that run, and of jobs that wait and are on time.
    :param waiting: work that has not started, of each of these jobs by id.
    """

    used: dict[str, float] = field(default_factory=dict)
    demands: dict[str, float] = field(default_factory=dict)
    waiting: dict[str, float] = field(default_factory=dict)


def measure_demand(
    workers: Iterable[WorkerState],
    jobs: Iterable[Job],
    estimates: Estimates,
    now: float,
) -> PoolDemand:
    """Return the demand of the tasks that run on some workers and of some jobs.

    Long-running tasks don't count: they precede all shares, and have no end.
    """
    found = PoolDemand()
    workers = list(workers)
    capacity = _total_capacity(workers)
    remaining_seconds = estimates.remaining_seconds_at(now)
    for step, tasks in _running_by_step(workers):
        name = step.job.organisation
        share = dominant_share(step.room, capacity)
        work = share * sum(map(remaining_seconds, tasks))
        found.used[name] = found.used.get(name, 0.0) + len(tasks) * share
        found.demands[name] = found.demands.get(name, 0.0) + work
    for job in jobs:
        work = found.waiting[job.record.id] = _waiting_work(job, capacity, estimates)
        name = job.organisation
        found.demands[name] = found.demands.get(name, 0.0) + work
    return found


def _running_by_step(
    workers: Iterable[WorkerState],
) -> Iterable[tuple[StepRun, list[Task]]]:
    """Return the running tasks by step, except long-running ones."""
    found: dict[int, tuple[StepRun, list[Task]]] = {}
    for worker in workers:
        for task in worker.tasks.values():
            step = task.step
            known = found.get(id(step))
            if known is not None:
                known[1].append(task)
            elif not step.spec.long_running:
                found[id(step)] = (step, [task])
    return found.values()


def dominant_share(room: Room, capacity: Room) -> float:
    """Return the largest share that a room takes of any resource of a capacity."""
    return max(
        room.cpu / capacity.cpu if capacity.cpu else 0.0,
        room.mem_mb / capacity.mem_mb if capacity.mem_mb else 0.0,
        room.gpu / capacity.gpu if capacity.gpu else 0.0,
    )


def _total_capacity(workers: Iterable[WorkerState]) -> Room:
    """Return the capacity that long-running tasks leave to all others."""
    cpu = mem_mb = gpu = 0
    for worker in workers:
        room = room_after_short_tasks(worker)
        cpu += max(0, room.cpu)
        mem_mb += max(0, room.mem_mb)
        gpu += max(0, room.gpu)
    return Room(cpu, mem_mb, gpu)


def _waiting_work(job: Job, capacity: Room, estimates: Estimates) -> float:
    """Return the work of a job's tasks that have not started, in all its steps."""
    work = 0.0
    for step in job.steps.values():
        count = len(step.tasks) - step.done - step.active
        if count and not step.spec.long_running:
            share = dominant_share(step.room, capacity)
            work += count * share * estimates.mean_seconds(step)
    for number, spec in enumerate(job.record.steps if job.backlog else ()):
        if not spec.long_running:
            share = dominant_share(reserved_room(spec), capacity)
            seconds = estimates.mean_seconds_of(job, number)
            work += job.backlog * spec.count * share * seconds
    return work
