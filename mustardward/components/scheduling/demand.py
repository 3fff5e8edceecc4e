"""Measure the resources that each pool's work uses and requests."""

from __future__ import annotations

import math
from collections import Counter, defaultdict
from dataclasses import dataclass, field

from ...helpers.logging import get_logger
from ...platform.models import Room
from ..pool_sizing.const import CELL_SECONDS
from ..pool_sizing.work_profile import WorkProfile
from .crashes import isolated_tasks
from .inflow import Amount
from .models import Job, StepRun, reserved_room
from .placement import count_fitting, is_operational, room_after_short_tasks
from .scheduler_state import SchedulerState

_LOGGER = get_logger(__name__)


@dataclass(slots=True)
class PoolLoad:
    """Hold a pool's load.

    :param workers: number of workers that report, are not cordoned and usable.
    :param capacity: their processors, in thousandths of a core.
    :param memory: their memory, in MB.
    :param long_running: resources used or requested by long-running tasks.
    :param running: resources used by all other tasks.
    :param waiting: resources requested by short tasks that are ready to start.
    :param backlog: ``waiting`` times the expected run time, in seconds.
    :param remaining: resources times seconds of all short tasks that are not done,
        whether they run, are ready, or wait for earlier steps.
    :param inflow: resources that keep up with the recent arrivals.
    :param profile: what short tasks use over the next seconds, including later steps
        and expected jobs.
    :param spread_workers: workers that a step needs to respect its limit of tasks per
        worker.
    :param empty_workers: workers without long-running tasks that waiting tasks need
        because they fit beside those on no present worker.
    :param isolation_workers: workers that suspected jobs need for themselves.
    """

    workers: int = 0
    capacity: int = 0
    memory: int = 0
    long_running: Amount = field(default_factory=Amount)
    running: Amount = field(default_factory=Amount)
    waiting: Amount = field(default_factory=Amount)
    backlog: Amount = field(default_factory=Amount)
    remaining: Amount = field(default_factory=Amount)
    inflow: Amount = field(default_factory=Amount)
    profile: WorkProfile = field(default_factory=WorkProfile)
    spread_workers: int = 0
    empty_workers: int = 0
    isolation_workers: int = 0


def log_loads(state: SchedulerState, now: float) -> None:
    """Log each pool's load."""
    for service, load in measure(state, now).items():
        need = state.pool_needs.get(service)
        _LOGGER.info(
            "pool_load",
            service=service,
            workers=load.workers,
            capacity=load.capacity,
            memory=load.memory,
            lasting=load.long_running.cpu,
            lasting_mb=load.long_running.mem_mb,
            running=load.running.cpu,
            running_mb=load.running.mem_mb,
            waiting=load.waiting.cpu,
            backlog=load.backlog.cpu,
            left=load.remaining.cpu,
            inflow=load.inflow.cpu,
            spread=load.spread_workers,
            isolation_workers=load.isolation_workers,
            ordered=need.ordered if need is not None else 0,
            kept=need.kept if need is not None else 0,
            reason=need.reason if need is not None else "",
        )


def measure(state: SchedulerState, now: float) -> dict[str, PoolLoad]:
    """Return the load of each pool that has workers or work."""
    loads: defaultdict[str, PoolLoad] = defaultdict(PoolLoad)
    steps: dict[int, StepRun] = {}
    ends: dict[int, float] = {}
    occupied: set[str] = set()
    starts: defaultdict[tuple[str, int], list[float]] = defaultdict(list)
    for worker in state.workers.values():
        load = loads[worker.service]
        is_usable = not worker.cordoned and worker.id not in state.unusable_workers
        is_known = worker.confirmed or worker.listing_ends
        if is_known and is_usable and not worker.absent:
            load.workers += 1
            load.capacity += worker.capacity.cpu
            load.memory += worker.capacity.mem_mb
        for task in worker.tasks.values():
            key = id(task.step)
            steps[key] = task.step
            if task.step.spec.long_running:
                load.long_running.add(task.step.room)
                occupied.add(worker.id)
            else:
                starts[worker.service, key].append(task.started_at)
    for (service, key), started in starts.items():
        longest = _add_running(loads[service], steps[key], started, state, now)
        ends[key] = max(ends.get(key, 0.0), longest)
    _add_remaining(loads, state)
    _add_later_steps(loads, state, ends)
    shares = _shares_that_may_start(state)
    for step in state.ready.values():
        steps[id(step)] = step
        load = loads[step.job.policy.service]
        count = len(step.waiting) * shares.get(step.job.organisation, 1.0)
        if step.spec.long_running:
            load.long_running.add(step.room, count)
        else:
            load.waiting.add(step.room, count)
            seconds = state.estimates.mean_seconds(step)
            load.backlog.add(step.room, count * seconds)
            load.profile.add(step.room, seconds, count)
    _add_backlogs(loads, state, shares)
    for step in steps.values():
        load = loads[step.job.policy.service]
        load.spread_workers = max(load.spread_workers, _workers_to_spread(step))
    _add_isolation_workers(loads, state)
    _add_empty_workers(loads, state, occupied)
    for service, load in loads.items():
        load.inflow = state.inflow.rate(service, now)
        state.inflow.add_expected(service, load.profile, now)
    return dict(loads)


def _add_running(
    load: PoolLoad,
    step: StepRun,
    started: list[float],
    state: SchedulerState,
    now: float,
) -> float:
    """Add the running tasks of a step; return seconds until all of them have ended.

    Tasks that end in the same cell are added at once, since a pool has thousands.

    :param started: when each task started.
    """
    seconds = state.estimates.seconds(step)
    remaining = [seconds - (now - at) for at in started]
    load.running.add(step.room, len(started))
    load.remaining.add(step.room, sum(max(0.0, value) for value in remaining))
    counts = Counter(round(abs(value) / CELL_SECONDS) for value in remaining)
    for cells, count in counts.items():
        load.profile.add(step.room, cells * CELL_SECONDS, count)
    return max(map(abs, remaining))


def _shares_that_may_start(state: SchedulerState) -> dict[str, float]:
    """Return the share of its waiting work that each organisation's quota admits.

    Instances for work that a quota holds back would be idle.
    """
    waiting: dict[str, Amount] = {}
    for step in state.ready.values():
        if step.job.organisation:
            amount = waiting.setdefault(step.job.organisation, Amount())
            amount.add(step.requested, len(step.waiting))
    for job in state.jobs.values():
        if job.backlog and job.organisation and not job.state.final:
            amount = waiting.setdefault(job.organisation, Amount())
            for spec in job.record.steps:
                if not spec.after:
                    amount.add(spec.requested_resources, spec.count * job.backlog)
    return {
        organisation: state.quotas.share_that_may_start(organisation, amount)
        for organisation, amount in waiting.items()
    }


def _add_remaining(loads: defaultdict[str, PoolLoad], state: SchedulerState) -> None:
    """Add the work of tasks that have not started."""
    for job in state.jobs.values():
        if job.state.final:
            continue
        load = loads[job.policy.service]
        for step in job.steps.values():
            if not step.spec.long_running:
                count = len(step.tasks) - step.done - step.active
                load.remaining.add(
                    step.room, count * state.estimates.mean_seconds(step)
                )


def _add_later_steps(
    loads: defaultdict[str, PoolLoad], state: SchedulerState, ends: dict[int, float]
) -> None:
    """Add the steps that start once earlier ones are complete to the profiles.

    :param ends: seconds until the running tasks of a step have ended, by object id.
    """
    for job in state.jobs.values():
        if job.state.final or len(job.steps) < 2:
            continue
        end_of: dict[tuple[int, int], float] = {}
        for (occurrence, number), step in job.steps.items():
            if step.complete or step.spec.long_running:
                continue
            seconds = state.estimates.mean_seconds(step)
            start = max(
                (end_of.get((occurrence, n), 0.0) for n in step.spec.after),
                default=0.0,
            )
            end = start + seconds if step.waiting else ends.get(id(step), 0.0)
            end_of[(occurrence, number)] = end
            if not step.open:
                loads[job.policy.service].profile.add(
                    step.room, seconds, len(step.waiting), start
                )


def _add_backlogs(
    loads: defaultdict[str, PoolLoad], state: SchedulerState, shares: dict[str, float]
) -> None:
    """Add the due occurrences that are not open yet.

    :param shares: share of its waiting work that each organisation's quota admits.
    """
    for job in state.jobs.values():
        if job.backlog and not job.state.final:
            share = shares.get(job.organisation, 1.0)
            _add_backlog(loads[job.policy.service], job, state, share)


def _add_backlog(load: PoolLoad, job: Job, state: SchedulerState, share: float) -> None:
    ends: list[float] = []
    for number, spec in enumerate(job.record.steps):
        start = max((ends[earlier] for earlier in spec.after), default=0.0)
        if spec.long_running:
            ends.append(start)
            if not spec.after:
                load.long_running.add(reserved_room(spec), spec.count * job.backlog)
            continue
        room = reserved_room(spec)
        seconds = state.estimates.mean_seconds_of(job, number)
        ends.append(start + seconds)
        count = spec.count * job.backlog
        load.remaining.add(room, count * seconds)
        if not spec.after:
            load.waiting.add(room, count * share)
            load.backlog.add(room, count * share * seconds)
        load.profile.add(room, seconds, count * share, start)


def _add_isolation_workers(
    loads: defaultdict[str, PoolLoad], state: SchedulerState
) -> None:
    """Add the workers that suspected jobs need for themselves."""
    for job in state.suspects.values():
        if isolated_tasks(job):
            loads[job.policy.service].isolation_workers += 1


def _add_empty_workers(
    loads: defaultdict[str, PoolLoad], state: SchedulerState, occupied: set[str]
) -> None:
    """Add the workers for waiting tasks that fit beside no long-running ones.

    Long-running tasks leave some room on each worker, which may be enough in total.

    :param occupied: the workers with long-running tasks.
    """
    usable = [
        worker
        for worker in state.workers.values()
        if is_operational(worker)
        and worker.id not in state.unusable_workers
        and worker.id not in state.needed_hosts
    ]
    has_empty = {worker.service for worker in usable if worker.id not in occupied}
    rooms: defaultdict[str, list[tuple[Room, Room]]] = defaultdict(list)
    for worker in usable:
        if worker.service not in has_empty:
            pair = (worker.capacity, room_after_short_tasks(worker))
            rooms[worker.service].append(pair)
    for step in state.ready.values():
        if step.waiting:
            load = loads[step.job.policy.service]
            load.empty_workers += _empty_workers(
                step, rooms.get(step.job.policy.service, []), len(step.waiting)
            )
    for step in _steps_to_move(state):
        # One more worker is enough for tasks that move one after the other.
        load = loads[step.job.policy.service]
        pool = rooms.get(step.job.policy.service, [])
        load.empty_workers = max(load.empty_workers, _empty_workers(step, pool, 1))


def _empty_workers(step: StepRun, pool: list[tuple[Room, Room]], count: int) -> int:
    """Return how many empty workers tasks need that have room on no present one.

    :param pool: capacities of the present workers, and their room after short tasks.
    """
    if any(count_fitting(left, step.room) for _, left in pool):
        return 0
    most = max((count_fitting(size, step.room) for size, _ in pool), default=0)
    return math.ceil(count / most) if most else 0


def _steps_to_move(state: SchedulerState) -> list[StepRun]:
    """Return the long-running steps that can't leave a worker to be drained."""
    workers = (state.workers.get(worker_id) for worker_id in state.needed_hosts)
    steps = {
        id(task.step): task.step
        for worker in workers
        if worker is not None
        for task in worker.tasks.values()
        if task.step.spec.long_running
    }
    return list(steps.values())


def _workers_to_spread(step: StepRun) -> int:
    limit = step.spec.max_per_server
    if not limit or step.job.state.final:
        return 0
    return math.ceil((len(step.tasks) - step.done) / limit)
