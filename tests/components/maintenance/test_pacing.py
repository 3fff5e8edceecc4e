"""Pace waves by the weights and the jobs that run."""

from __future__ import annotations

from mustardward.components.maintenance.const import PACE_SECONDS, TASKS_SECONDS
from mustardward.components.maintenance.planned_pacing import PlannedPacing
from mustardward.state.models.jobs import Job
from mustardward.state.models.templates import PlanWeights
from mustardward.state.work import WorkState
from tests.components.maintenance.site import FIRST, SECOND, Site

MOVES_FIRST = PlanWeights(buffer=1.0, rollout=1.0, moves=8.0)


def build_pacing(site: Site, work: WorkState | None = None) -> PlannedPacing:
    return PlannedPacing("dc1", lambda: site.driver.state, lambda: work, site.timers)


def build_job(job_id: str, worker: str, seconds: float = 600.0) -> Job:
    job = Job(job_id, "dairy", "s", "etching", "", b"", True, 1, 1, 0, seconds, 1)
    job.worker = worker
    job.status = "running"
    return job


def test_paces_stay_the_same_while_a_wave_goes_on() -> None:
    site = Site(size=8)
    site.driver.run_wave()
    pacing = build_pacing(site)
    before = pacing.concurrency("etching")
    site.driver.take(FIRST)
    site.timers.pause(PACE_SECONDS + 1)
    assert pacing.concurrency("etching") == before == 3


def test_without_a_wave_one_instance_at_a_time_and_no_patience() -> None:
    pacing = build_pacing(Site())
    assert (pacing.concurrency("etching"), pacing.patience("etching")) == (1, 0.0)


def test_users_who_weigh_moves_get_patience() -> None:
    site = Site(size=8, minimum_available=0.75, weights=MOVES_FIRST)
    site.driver.run_wave()
    work = WorkState()
    for number in range(8):
        name = f"dc1-etching-{number:03d}"
        work.jobs[name] = build_job(name, name)
    assert build_pacing(site, work).patience("etching") > 0.0


def test_the_burden_is_what_runs_now() -> None:
    site = Site()
    site.driver.run_wave()
    work = WorkState()
    work.jobs["j"] = build_job("j", FIRST)
    pacing = build_pacing(site, work)
    instances = site.driver.state.instances
    assert pacing.burden(instances[FIRST]) == 1.0
    work.jobs["j"].worker = SECOND
    site.timers.pause(TASKS_SECONDS)
    assert pacing.burden(instances[FIRST]) == 0.0
    assert pacing.burden(instances[SECOND]) == 1.0
