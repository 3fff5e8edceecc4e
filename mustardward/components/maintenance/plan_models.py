"""Define the inputs and results of maintenance planning."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from ...state.budget_counters import Budget
from ...state.models.templates import Parameters


class PoolUnit(NamedTuple):
    """Identify the part of a pool in one data centre."""

    pool: str
    data_centre: str


class PlanTask(NamedTuple):
    """Describe a long-running task by its remaining and total duration in seconds.

    Further tasks are assumed to be queued, so that a task of the same duration follows
    on the same instance.
    """

    remaining: float
    duration: float

    def remaining_at(self, now: float) -> float:
        """Return the remaining seconds of the task that runs at a time."""
        if now < self.remaining:
            return self.remaining - now
        return self.duration - (now - self.remaining) % self.duration


@dataclass(frozen=True, slots=True)
class PlanInstance:
    """Describe an instance with its long-running tasks at the start of the wave."""

    instance_id: str
    unit: PoolUnit
    rack: str
    tasks: tuple[PlanTask, ...] = ()
    slots: int = 8
    available: bool = True


@dataclass(frozen=True, slots=True)
class PlanInput:
    """Hold the inputs of the planner.

    ``due`` contains the ids of the instances to maintain; all others only serve.
    ``users`` maps each pool to the parameters of the organisations that use it.
    """

    instances: tuple[PlanInstance, ...]
    due: frozenset[str]
    users: dict[str, dict[str, Parameters]]
    canary: int = 1
    reboot_seconds: float = 180.0
    drain_seconds: float = 5.0
    unreachable_data_centres: frozenset[str] = frozenset()

    @property
    def cycle_seconds(self) -> float:
        """Return the minimum time for which a maintained instance is unavailable."""
        return self.reboot_seconds + self.drain_seconds


@dataclass(frozen=True, slots=True)
class RolloutLimits:
    """Hold the concurrency and drain grace period of a unit.

    ``concurrency`` is the maximum number of claimed instances; ``grace_seconds`` is the
    time for which a drain waits for work to complete before it moves the rest.
    """

    concurrency: int
    grace_seconds: float


@dataclass(frozen=True, slots=True)
class PlanStep:
    """Hold the maintenance of one instance, timed from the start of the wave."""

    instance_id: str
    unit: PoolUnit
    start_seconds: float
    end_seconds: float
    moves: int


@dataclass(frozen=True, slots=True)
class PlanMetrics:
    """Hold the metrics of a plan.

    ``buffer`` is the sum over all units of the maximum number of instances that are
    unavailable at once, which is the required spare capacity; ``moves`` is the number
    of moved tasks.
    """

    buffer: int
    rollout_seconds: float
    moves: int


@dataclass(frozen=True, slots=True)
class Plan:
    """Hold the steps of a plan in order, its metrics and its tightest budgets.

    ``binding`` is the tightest budget of each unit before the wave; ``blocked``
    contains the ids of the instances that the budgets never allow to be claimed.
    """

    steps: tuple[PlanStep, ...]
    metrics: PlanMetrics
    binding: dict[PoolUnit, Budget] = field(default_factory=dict)
    blocked: tuple[str, ...] = ()
