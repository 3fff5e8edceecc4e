"""Decide which step comes first when more is ready than a pool holds.

Load pattern: a queue asks five times its mean for some seconds, more than its pool
holds, and a twentieth of it in between. Taking work in the order of its arrival lets
every job wait as long as the backlog is, so that near all miss their objective. Work
that can still meet its objective goes first; what can't any more waits for the trough,
and is not lost.

As long as the pool can do all of it, the job with the least slack comes first. When it
can't, that order gives every job its room a little too late: then the smallest come
first, and few large ones are late instead of many small ones.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import IntEnum
from typing import Final

from ...helpers.policies import switchable
from .estimates import Estimates
from .models import Job, StepRun
from .worker_state import WorkerState

Rank = tuple[int, int, bool, float]


@dataclass(frozen=True, slots=True)
class RemainingWork:
    """Hold what is left of a job: its longest chain (s) and its work (core s)."""

    critical_path: float
    work: float


INCOMING_SECONDS: Final = 1.0
"""Until an instance that is on its way takes work, from half of its way on."""

JobOrder = Callable[[Job, RemainingWork], float]

ORDERS: Final[dict[str, JobOrder]] = {}
HORIZON_SECONDS: Final = 2.5
"""Work of more than so much of its pool's time is more than can be in time; with 1.5
and 4 s a replay of turns earned 0.05 and 0.02 less in one of its three loads."""


class DeadlineClass(IntEnum):
    """Order steps by what a start now is worth."""

    LONG_RUNNING = 0
    IN_TIME = 1
    LATE = 2
    OVERDUE = 3


def register(name: str) -> Callable[[JobOrder], JobOrder]:
    """File an order of the work that can still be in time."""

    def add(order: JobOrder) -> JobOrder:
        ORDERS[name] = order
        return order

    return add


@register("slack")
def by_slack(job: Job, remaining: RemainingWork) -> float:
    """Return when a job has to be at work without a pause."""
    return job.objective_at - remaining.critical_path


@register("arrival")
def by_arrival(job: Job, remaining: RemainingWork) -> float:
    """Return when a job came."""
    return job.accepted_at


@register("chain")
def by_critical_path(job: Job, remaining: RemainingWork) -> float:
    """Return the seconds that a job takes at least from now on."""
    return remaining.critical_path


@register("work")
def by_work(job: Job, remaining: RemainingWork) -> float:
    """Return what has not begun of a job's work."""
    return remaining.work


@dataclass(frozen=True, slots=True)
class Capacity:
    """Hold what a pool can do from now on, in cores.

    :param begun: what is left of the work that has begun, in core seconds.
    :param incoming: of instances that are on their way to it.
    :param incoming_after_seconds: until they are there, in seconds.
    """

    now: float
    begun: float = 0.0
    incoming: float = 0.0
    incoming_after_seconds: float = 0.0

    def until(self, seconds: float) -> float:
        """Return the core seconds that it can do within a time."""
        incoming_seconds = max(0.0, seconds - self.incoming_after_seconds)
        return (
            self.now * max(0.0, seconds) + self.incoming * incoming_seconds - self.begun
        )


def capacity_of(
    workers: Iterable[WorkerState], incoming: int, estimates: Estimates, now: float
) -> Capacity:
    """Return what some workers can do.

    :param incoming: processor of instances on their way, in thousandths of a core.
    """
    available = begun = 0.0
    for worker in workers:
        available += worker.capacity.cpu
        for task in worker.tasks.values():
            if not task.step.spec.long_running:
                remaining = max(0.0, estimates.remaining_seconds(task, now))
                begun += task.step.room.cpu * remaining
    return Capacity(available / 1000, begun / 1000, incoming / 1000, INCOMING_SECONDS)


def _choose_by_slack(demand: float, capacity: Capacity) -> JobOrder:
    return by_slack


@switchable(
    "order-by-load",
    "the smallest jobs first once a pool can't do all in time",
    without=_choose_by_slack,
)
def choose_order(demand: float, capacity: Capacity) -> JobOrder:
    """Return how to order work that can still be in time.

    :param demand: what is asked of the pool, in core seconds.
    """
    return by_work if demand > capacity.until(HORIZON_SECONDS) else by_slack


def order_steps(
    steps: Iterable[StepRun],
    now: float,
    estimates: Estimates,
    capacity: Capacity,
    order: JobOrder | None = None,
) -> list[StepRun]:
    """Return steps, the first to be placed first.

    :param order: an order to keep to, whatever the load.
    """
    steps = list(steps)
    jobs = {step.job.record.id: step.job for step in steps}
    remaining = {
        name: RemainingWork(
            estimates.critical_path(job, only_remaining=True),
            estimates.remaining_work(job),
        )
        for name, job in jobs.items()
    }
    demand = sum(
        remaining[name].work
        for name, job in jobs.items()
        if job.objective_at > now and not job.over_rate
    )
    chosen = order if order is not None else choose_order(demand, capacity)
    return sorted(
        steps, key=lambda step: rank(step, now, remaining[step.job.record.id], chosen)
    )


def rank(step: StepRun, now: float, remaining: RemainingWork, order: JobOrder) -> Rank:
    """Return the sort key of a step; the smallest comes first."""
    job = step.job
    policy = job.policy
    if step.spec.long_running:
        return (
            DeadlineClass.LONG_RUNNING,
            policy.priority,
            False,
            float(step.spec.fills),
        )
    if now + remaining.critical_path <= job.objective_at:
        return (
            DeadlineClass.IN_TIME,
            policy.priority,
            job.over_rate,
            order(job, remaining),
        )
    if now + remaining.critical_path <= job.late_at:
        size = remaining.critical_path * len(step.tasks)
        return (DeadlineClass.LATE, policy.priority, job.over_rate, size)
    return (DeadlineClass.OVERDUE, policy.priority, job.over_rate, job.accepted_at)
