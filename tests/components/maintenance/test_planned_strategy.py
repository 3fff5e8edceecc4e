"""Test the rollout limits derived from weights and running jobs."""

from __future__ import annotations

from mustardward.components.maintenance.const import (
    LIMITS_TTL_SECONDS,
    RUNNING_TASKS_TTL_SECONDS,
)
from mustardward.components.maintenance.planned_strategy import PlannedRolloutStrategy
from mustardward.state.models.jobs import Job
from mustardward.state.models.templates import PlanWeights
from mustardward.state.work import WorkState
from tests.components.maintenance.harness import FIRST, SECOND, MaintenanceHarness

MOVES_FIRST = PlanWeights(buffer=1.0, rollout=1.0, moves=8.0)


def build_strategy(
    harness: MaintenanceHarness, work: WorkState | None = None
) -> PlannedRolloutStrategy:
    return PlannedRolloutStrategy(
        "dc1", lambda: harness.driver.state, lambda: work, harness.timers
    )


def build_job(job_id: str, worker: str, seconds: float = 600.0) -> Job:
    job = Job(job_id, "dairy", "s", "etching", "", b"", True, 1, 1, 0, seconds, 1)
    job.worker = worker
    job.status = "running"
    return job


def test_limits_stay_constant_during_a_wave() -> None:
    harness = MaintenanceHarness(size=8)
    harness.driver.run_wave()
    strategy = build_strategy(harness)
    before = strategy.concurrency("etching")
    harness.driver.take(FIRST)
    harness.timers.pause(LIMITS_TTL_SECONDS + 1)
    assert strategy.concurrency("etching") == before == 3


def test_default_limits_apply_without_a_wave() -> None:
    strategy = build_strategy(MaintenanceHarness())
    assert (strategy.concurrency("etching"), strategy.grace_seconds("etching")) == (
        1,
        0.0,
    )


def test_high_weight_of_moves_gives_a_grace_period() -> None:
    harness = MaintenanceHarness(size=8, minimum_available=0.75, weights=MOVES_FIRST)
    harness.driver.run_wave()
    work = WorkState()
    for number in range(8):
        name = f"dc1-etching-{number:03d}"
        work.jobs[name] = build_job(name, name)
    assert build_strategy(harness, work).grace_seconds("etching") > 0.0


def test_drain_cost_follows_the_running_jobs() -> None:
    harness = MaintenanceHarness()
    harness.driver.run_wave()
    work = WorkState()
    work.jobs["j"] = build_job("j", FIRST)
    strategy = build_strategy(harness, work)
    instances = harness.driver.state.instances
    assert strategy.drain_cost(instances[FIRST]) == 1.0
    work.jobs["j"].worker = SECOND
    harness.timers.pause(RUNNING_TASKS_TTL_SECONDS)
    assert strategy.drain_cost(instances[FIRST]) == 0.0
    assert strategy.drain_cost(instances[SECOND]) == 1.0
