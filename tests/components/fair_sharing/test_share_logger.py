"""Test the log lines and the metric of how organisations share a pool."""

from __future__ import annotations

from dataclasses import replace

import pytest

from mustardward.components.fair_sharing import share_logger
from mustardward.components.fair_sharing.share_logger import MAX_LOGGED_ORGANISATIONS
from mustardward.components.scheduling.scheduler import Scheduler
from mustardward.helpers.instruments import BEYOND_SHARE

from ..scheduling.builders import SchedulerBench, a_job, a_step

Line = dict[str, object]


@pytest.fixture
def lines(monkeypatch: pytest.MonkeyPatch) -> list[Line]:
    """Return the fields of all lines that are logged."""
    found: list[Line] = []
    monkeypatch.setattr(
        share_logger._LOGGER, "info", lambda event, **fields: found.append(fields)
    )
    return found


def a_bench(weight: float = 2.0) -> SchedulerBench:
    """Return a bench with one worker whose organisations have equal weights."""
    bench = SchedulerBench()
    bench.scheduler = Scheduler(
        1, lambda queue: bench.policy, rate_of=lambda name: weight
    )
    bench.worker("w0")
    return bench


def add_jobs(bench: SchedulerBench, organisation: str, jobs: int) -> None:
    """Submit jobs of eight tasks each."""
    for number in range(jobs):
        name = f"{organisation}{number:012x}".rjust(16, "0")
        step = a_step(count=8, estimate_ms=500)
        job = a_job(step, job=name, organisation=organisation, accepted_at=bench.now)
        bench.add(job)


def plan_for(bench: SchedulerBench, seconds: float) -> None:
    """Plan ten times a second."""
    for _ in range(round(10 * seconds)):
        bench.plan_starts()
        bench.now += 0.1


def count_seconds(organisation: str) -> float:
    """Return the metric of an organisation."""
    return BEYOND_SHARE.labels(organisation)._value.get()


def test_a_full_pool_is_logged_once_a_second(lines: list[Line]) -> None:
    bench = a_bench()
    bench.policy = replace(bench.policy, target_seconds=60.0)
    seconds = count_seconds("hot")
    add_jobs(bench, "hot", 20)
    add_jobs(bench, "calm", 2)
    plan_for(bench, 2.95)
    assert len(lines) == 3
    assert count_seconds("hot") == seconds + 3
    assert lines[0]["service"] == bench.policy.service
    assert lines[0]["organisations"] == 2
    assert lines[0]["beyond"] == "hot"
    assert lines[0]["beyond_jobs"] == 15
    assert lines[0]["shares"] == "hot:0.000/0.500/10.000,calm:0.000/0.500/1.000"


def test_a_full_pool_is_logged_also_if_no_job_exceeds_a_rate(
    lines: list[Line],
) -> None:
    bench = a_bench()
    add_jobs(bench, "hot", 4)
    plan_for(bench, 0.5)
    assert [line["beyond"] for line in lines] == [""]


@pytest.mark.parametrize(("weight", "jobs"), [(2.0, 1), (0.0, 20)])
def test_nothing_is_logged_with_room_or_without_weights(
    lines: list[Line], weight: float, jobs: int
) -> None:
    bench = a_bench(weight)
    add_jobs(bench, "hot", jobs)
    plan_for(bench, 2.0)
    assert lines == []


def test_a_line_is_bounded(lines: list[Line]) -> None:
    """Guards against a line that grows with the number of organisations."""
    bench = a_bench()
    for number in range(40):
        add_jobs(bench, f"o{number:02d}", 1)
    plan_for(bench, 0.1)
    shares = str(lines[0]["shares"]).split(",")
    assert lines[0]["organisations"] == 40
    assert len(shares) == MAX_LOGGED_ORGANISATIONS
