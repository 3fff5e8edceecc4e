"""Pace waves by the weights and the jobs that run."""

from __future__ import annotations

from mustardward.components.maintenance.const import (
    LIMITS_TTL_SECONDS,
    TASK_COUNT_TTL_SECONDS,
)
from mustardward.components.maintenance.planned_pacing import PlannedRolloutStrategy
from mustardward.state.models.jobs import Job
from mustardward.state.models.templates import PlanWeights
from mustardward.state.work import WorkState
from tests.components.maintenance.site import FIRST, SECOND, MaintenanceHarness

MOVES_FIRST = PlanWeights(buffer=1.0, rollout=1.0, moves=8.0)


def build_pacing(
    site: MaintenanceHarness, work: WorkState | None = None
) -> PlannedRolloutStrategy:
    return PlannedRolloutStrategy(
        "dc1", lambda: site.driver.state, lambda: work, site.timers
    )


def build_job(job_id: str, worker: str, seconds: float = 600.0) -> Job:
    job = Job(job_id, "dairy", "s", "etching", "", b"", True, 1, 1, 0, seconds, 1)
    job.worker = worker
    job.status = "running"
    return job


def test_paces_stay_the_same_while_a_wave_goes_on() -> None:
    site = MaintenanceHarness(size=8)
    site.driver.run_wave()
    pacing = build_pacing(site)
    before = pacing.concurrency("etching")
    site.driver.take(FIRST)
    site.timers.pause(LIMITS_TTL_SECONDS + 1)
    assert pacing.concurrency("etching") == before == 3


def test_without_a_wave_one_instance_at_a_time_and_no_patience() -> None:
    pacing = build_pacing(MaintenanceHarness())
    assert (pacing.concurrency("etching"), pacing.grace_seconds("etching")) == (1, 0.0)


def test_users_who_weigh_moves_get_patience() -> None:
    site = MaintenanceHarness(size=8, minimum_available=0.75, weights=MOVES_FIRST)
    site.driver.run_wave()
    work = WorkState()
    for number in range(8):
        name = f"dc1-etching-{number:03d}"
        work.jobs[name] = build_job(name, name)
    assert build_pacing(site, work).grace_seconds("etching") > 0.0


def test_the_burden_is_what_runs_now() -> None:
    site = MaintenanceHarness()
    site.driver.run_wave()
    work = WorkState()
    work.jobs["j"] = build_job("j", FIRST)
    pacing = build_pacing(site, work)
    instances = site.driver.state.instances
    assert pacing.drain_cost(instances[FIRST]) == 1.0
    work.jobs["j"].worker = SECOND
    site.timers.pause(TASK_COUNT_TTL_SECONDS)
    assert pacing.drain_cost(instances[FIRST]) == 0.0
    assert pacing.drain_cost(instances[SECOND]) == 1.0
