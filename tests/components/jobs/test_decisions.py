"""Test placement, victim choice, run time estimates and worker quarantine."""

from __future__ import annotations

from random import Random
from typing import Any

from mustardward.components.jobs.models import Need, total_capacity
from mustardward.components.jobs.placement import (
    Candidate,
    PoolView,
    plan_placements,
)
from mustardward.components.jobs.preemption import Victim, choose_victims
from mustardward.components.jobs.run_times import RunTimes
from mustardward.components.jobs.worker_quarantine import (
    PROBATION_SECONDS,
    WorkerQuarantine,
)
from mustardward.state.models.pools import Instance


def build_view(workers: int, slots_left: int = 99) -> PoolView:
    capacities = [
        total_capacity(Instance(f"w{n}", "dc-1", "rack", "address", "casting", 1))
        for n in range(workers)
    ]
    return PoolView(capacities, slots_left)


def build_candidate(job_id: str, waited: float = 0.0, **fields: Any) -> Candidate:
    values: dict[str, Any] = {"organisation": "derwent", "need": Need(1, 1, 0)}
    return Candidate(job_id, waited_seconds=waited, **(values | fields))


def placed(view: PoolView, *candidates: Candidate) -> list[tuple[str, str]]:
    plan = plan_placements(view, candidates, 64, Random(1))
    return [(item.job_id, capacity.instance.instance_id) for item, capacity in plan]


def test_small_jobs_fill_one_worker_before_the_next_is_used() -> None:
    jobs = [build_candidate(f"job-{n}") for n in range(8)]
    workers = {worker for _, worker in placed(build_view(4), *jobs)}
    assert len(workers) == 1


def test_the_organisation_with_the_smaller_share_goes_first_until_others_age() -> None:
    view = build_view(4, slots_left=1)
    view.running = {"derwent": 5, "hvelvlogikk": 1}
    small = build_candidate("small", organisation="hvelvlogikk")
    assert placed(view, build_candidate("big"), small)[0][0] == "small"
    view = build_view(4, slots_left=1)
    view.running = {"derwent": 5, "hvelvlogikk": 1}
    assert placed(view, build_candidate("big", waited=300.0), small)[0][0] == "big"


def test_a_larger_weight_lets_an_organisation_run_more_jobs() -> None:
    view = build_view(4, slots_left=1)
    view.running = {"derwent": 5, "hvelvlogikk": 1}
    view.weights = {"derwent": 10.0, "hvelvlogikk": 1.0}
    small = build_candidate("small", organisation="hvelvlogikk")
    assert placed(view, build_candidate("big"), small)[0][0] == "big"


def test_a_worker_is_reserved_for_a_job_that_waited_long() -> None:
    view = build_view(2)
    for capacity in view.capacities:
        capacity.reserve(Need(20, 1, 0))
    large = build_candidate("large", waited=600.0, need=Need(32, 1, 0))
    small = [build_candidate(f"small-{n}", need=Need(4, 1, 0)) for n in range(6)]
    workers = {worker for _, worker in placed(view, large, *small)}
    assert len(workers) == 1 and view.reserved_worker not in workers


def test_workers_on_which_a_job_failed_are_excluded() -> None:
    job = build_candidate("job", excluded=frozenset({"w0", "w1"}))
    assert placed(build_view(3), job) == [("job", "w2")]
    assert placed(build_view(2), job) == []


def test_victims_are_the_tasks_that_lose_least_progress() -> None:
    def victim(name: str, **fields: Any) -> Victim:
        values: dict[str, Any] = {
            "began_at": 0.0,
            "progress": 0.1,
            "preemptions": 0,
            "idempotent": True,
            "throttled": False,
        }
        return Victim(name, **(values | fields))

    tasks = [
        victim("preempted-often", preemptions=3),
        victim("nearly-done", progress=0.95),
        victim("old", began_at=1.0),
        victim("young", began_at=9.0),
        victim("throttled", throttled=True),
    ]
    chosen = [item.job_id for item in choose_victims(tasks, 9)]
    assert chosen == ["young", "old", "nearly-done", "preempted-often"]


def test_declared_run_times_are_used_until_there_are_samples() -> None:
    times = RunTimes()
    assert times.estimate("plans", 60.0, 0.5) == 60.0
    assert times.estimate("plans", 60.0, 0.99) > 500.0
    for seconds in (6.0, 600.0, 610.0, 590.0, 605.0):
        times.record("plans", seconds)
    assert times.estimate("plans", 60.0, 0.5) == 600.0
    assert times.estimate("plans", 60.0, 0.99) == 610.0


def test_one_bad_job_makes_no_worker_suspect_and_few_are_quarantined() -> None:
    quarantine = WorkerQuarantine()
    names = [f"w{n}" for n in range(8)]
    for _ in range(9):
        quarantine.record_failure("w0", "bad-job", 0.0)
    assert not quarantine.is_suspect("w0")
    for number, name in enumerate(names[:4]):
        for job in ("a", "b", "c"):
            quarantine.record_failure(name, job, float(number))
    assert quarantine.quarantined(names, 5.0) == {"w2", "w3"}
    assert quarantine.quarantined(names, 5.0 + PROBATION_SECONDS) == frozenset()
    quarantine.record_finished("w3")
    assert not quarantine.is_suspect("w3")
