"""Order the steps that compete for a pool's resources.

A bursty queue may demand five times its mean for some seconds, more than its pool can
run, and a twentieth of its mean in between. In order of arrival, every job would wait
as long as the backlog lasts, and nearly all would miss their objective. Work that can
still meet its objective therefore goes first, and work that can't waits for the next
trough.

If the pool can complete all work in time, the job with the least slack goes first. If
it can't, ordering by slack would start every job a little too late, so the smallest
jobs go first, and a few large ones are late instead of many small ones.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import IntEnum
from typing import Final

from ...helpers.policies import switchable
from ..run_times.estimates import Estimates
from .models import Job, StepRun
from .worker_state import WorkerState

Rank = tuple[int, int, bool, float]


@dataclass(frozen=True, slots=True)
class RemainingWork:
    """Hold a job's remaining critical path (s) and its remaining work (core s)."""

    critical_path: float
    work: float


INCOMING_SECONDS: Final = 1.0
"""Expected time until an instance that is half started accepts work."""

JobOrder = Callable[[Job, RemainingWork], float]

ShareJudge = Callable[[Iterable[Job], Iterable[Job]], None]
"""Takes the jobs that wait for a pool, and those of them that are on time."""

ORDERS: Final[dict[str, JobOrder]] = {}

HORIZON_SECONDS: Final = 2.5
"""A pool that needs more than this time for its work counts as overloaded. With 1.5 and
4 s, a replay of demand peaks earned 0.05 and 0.02 less in one of its three loads."""


class DeadlineClass(IntEnum):
    """Rank steps by whether they can still meet their objective."""

    LONG_RUNNING = 0
    IN_TIME = 1
    LATE = 2
    OVERDUE = 3


def register(name: str) -> Callable[[JobOrder], JobOrder]:
    """Register an order of the work that can still meet its objective."""

    def add(order: JobOrder) -> JobOrder:
        ORDERS[name] = order
        return order

    return add


@register("slack")
def by_slack(job: Job, remaining: RemainingWork) -> float:
    """Return the latest time from which a job must run without interruption."""
    return job.objective_at - remaining.critical_path


@register("arrival")
def by_arrival(job: Job, remaining: RemainingWork) -> float:
    """Return when a job was accepted."""
    return job.accepted_at


@register("chain")
def by_critical_path(job: Job, remaining: RemainingWork) -> float:
    """Return the shortest remaining time in which a job can complete."""
    return remaining.critical_path


@register("work")
def by_work(job: Job, remaining: RemainingWork) -> float:
    """Return a job's work that has not started."""
    return remaining.work


@dataclass(frozen=True, slots=True)
class Capacity:
    """Hold a pool's processing capacity, in cores.

    :param available: cores of its present workers.
    :param begun: remaining work of the tasks that run, in core seconds.
    :param incoming: cores of instances that were ordered for it.
    :param incoming_after_seconds: expected time until these accept work.
    """

    available: float
    begun: float = 0.0
    incoming: float = 0.0
    incoming_after_seconds: float = 0.0

    def until(self, seconds: float) -> float:
        """Return the core seconds available for new work within a time."""
        incoming_seconds = max(0.0, seconds - self.incoming_after_seconds)
        return (
            self.available * max(0.0, seconds)
            + self.incoming * incoming_seconds
            - self.begun
        )


def capacity_of(
    workers: Iterable[WorkerState], incoming: int, estimates: Estimates, now: float
) -> Capacity:
    """Return the capacity of some workers and of ordered instances.

    :param incoming: processors of ordered instances, in thousandths of a core.
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
    "the smallest jobs first while a pool can't complete all in time",
    without=_choose_by_slack,
)
def choose_order(demand: float, capacity: Capacity) -> JobOrder:
    """Return how to order work that can still meet its objective.

    :param demand: work that is requested of the pool, in core seconds.
    """
    return by_work if demand > capacity.until(HORIZON_SECONDS) else by_slack


def _judge_nothing(jobs: Iterable[Job], on_time: Iterable[Job]) -> None:
    """Leave all jobs within the share of their organisation."""


def _is_on_time(job: Job, remaining: RemainingWork, now: float) -> bool:
    return now + remaining.critical_path <= job.objective_at


def order_steps(
    steps: Iterable[StepRun],
    now: float,
    estimates: Estimates,
    capacity: Capacity,
    order: JobOrder | None = None,
    judge: ShareJudge = _judge_nothing,
) -> list[StepRun]:
    """Return steps in the order in which they are to be placed.

    :param order: an order to use regardless of the load.
    :param judge: sets which jobs are beyond their organisation's share.
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
    judge(
        jobs.values(),
        [job for name, job in jobs.items() if _is_on_time(job, remaining[name], now)],
    )
    demand = sum(
        remaining[name].work
        for name, job in jobs.items()
        if job.objective_at > now and not job.beyond_share
    )
    within_share = order if order is not None else choose_order(demand, capacity)
    # What is beyond the shares is by definition more than the pool can do on time.
    beyond_share = order if order is not None else by_work
    return sorted(
        steps,
        key=lambda step: rank(
            step,
            now,
            remaining[step.job.record.id],
            beyond_share if step.job.beyond_share else within_share,
        ),
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
    if _is_on_time(job, remaining, now):
        return (
            DeadlineClass.IN_TIME,
            policy.priority,
            job.beyond_share,
            order(job, remaining),
        )
    if now + remaining.critical_path <= job.late_at:
        size = remaining.critical_path * len(step.tasks)
        return (DeadlineClass.LATE, policy.priority, job.beyond_share, size)
    return (DeadlineClass.OVERDUE, policy.priority, job.beyond_share, job.accepted_at)
