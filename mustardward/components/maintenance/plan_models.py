"""Model what a maintenance plan is made from and what it promises."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from ...state.budget_counters import Budget
from ...state.models.templates import Parameters


class PoolUnit(NamedTuple):
    """Name the instances that a pool has in one data centre."""

    pool: str
    data_centre: str


class PlanTask(NamedTuple):
    """Hold one long task: what it still runs, and how long such work runs, in seconds.

    Long work waits its turn, so that another like it follows on the same instance.
    """

    remaining: float
    duration: float

    def remaining_at(self, now: float) -> float:
        """Return how long the task that runs then still has to go."""
        if now < self.remaining:
            return self.remaining - now
        return self.duration - (now - self.remaining) % self.duration


@dataclass(frozen=True, slots=True)
class PlanInstance:
    """Hold one instance with the long tasks that it runs as the wave begins."""

    instance_id: str
    unit: PoolUnit
    rack: str
    tasks: tuple[PlanTask, ...] = ()
    slots: int = 8
    available: bool = True


@dataclass(frozen=True, slots=True)
class PlanInput:
    """Hold a wave as the planner sees it.

    ``due`` names the instances to maintain; all others only serve. ``users`` holds the
    parameters of the organisations on each pool. Times are in seconds.
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
        """Return the least time for which an instance is out."""
        return self.reboot_seconds + self.drain_seconds


@dataclass(frozen=True, slots=True)
class RolloutLimits:
    """Say how a unit is taken: how many at once, and how long work may end by itself.

    ``patience`` is in seconds.
    """

    concurrency: int
    grace_seconds: float


@dataclass(frozen=True, slots=True)
class PlanStep:
    """Hold one instance's turn, in seconds from the start of the wave."""

    instance_id: str
    unit: PoolUnit
    start_seconds: float
    end_seconds: float
    moves: int


@dataclass(frozen=True, slots=True)
class PlanMetrics:
    """Hold the three measures of a plan.

    ``buffer`` is the sum over all units of the most instances out at once, which is
    the spare capacity that has to be held; ``moves`` counts relocated tasks.
    """

    buffer: int
    rollout_seconds: float
    moves: int


@dataclass(frozen=True, slots=True)
class Plan:
    """Hold the turns in order, their measures, and what binds.

    ``binding`` is the tightest budget of each unit before the wave; ``never`` names
    the instances that no budget lets go.
    """

    steps: tuple[PlanStep, ...]
    metrics: PlanMetrics
    binding: dict[PoolUnit, Budget] = field(default_factory=dict)
    blocked: tuple[str, ...] = ()
