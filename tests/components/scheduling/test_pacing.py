"""Test that filling tasks are throttled in favour of serving tasks on their worker."""

from __future__ import annotations

from mustardward.components.ledger.ledger import LedgerJob
from mustardward.components.ledger.models import JobState, Progress
from mustardward.components.scheduling.commands import Pace
from mustardward.components.scheduling.models import Task
from mustardward.platform.models import Room

from .builders import SchedulerBench, a_job, a_row, a_step, an_entry

OTHER = "00000000000000bb"


def serving_and_filling() -> tuple[SchedulerBench, Task, Task]:
    """Return a bench with a serving and a filling task that run on one worker."""
    bench = SchedulerBench()
    bench.worker("w1", capacity=Room(cpu=8000, mem_mb=8000))
    serving = a_step(count=1, long_running=True, target_ms=100)
    bench.add(a_job(serving))
    bench.add(a_job(a_step(count=1, long_running=True, fills=True), job=OTHER))
    bench.plan_starts()
    return bench, bench.task(0), bench.task(0, job=OTHER)


def report(bench: SchedulerBench, serving: Task, filling: Task, tail_ms: float) -> None:
    """Report the tail latency of the serving task."""
    serving.figure = tail_ms
    bench.hold("w1", running=[a_row(serving, 100.0), a_row(filling, 100.0)])


def paces(bench: SchedulerBench) -> list[int]:
    """Plan, and return the commanded paces in per cent."""
    return [c.percent for c in bench.plan() if isinstance(c, Pace)]


def test_filling_task_is_throttled_until_the_serving_task_meets_its_target() -> None:
    """A filling task keeps a serving task above its target latency for seconds."""
    bench, serving, filling = serving_and_filling()
    commanded: list[int] = []
    for _ in range(5):
        bench.now += 0.7
        report(bench, serving, filling, 150.0)
        commanded.extend(paces(bench))
    assert commanded == [50, 25, 0]


def test_throttle_is_raised_slowly_once_there_is_headroom() -> None:
    bench, serving, filling = serving_and_filling()
    bench.now += 0.7
    report(bench, serving, filling, 150.0)
    assert paces(bench) == [50]
    commanded: list[int] = []
    for _ in range(6):
        bench.now += 1.0
        report(bench, serving, filling, 30.0)
        commanded.extend(paces(bench))
    assert commanded == [75, 100]


def test_serving_task_within_its_target_throttles_nothing() -> None:
    bench, serving, filling = serving_and_filling()
    bench.now += 0.7
    report(bench, serving, filling, 60.0)
    assert paces(bench) == []


def test_run_that_a_previous_owner_throttled_gets_its_pace_again() -> None:
    """Guards against a filling task that stays paused, as only its last owner knew."""
    first, serving, filling = serving_and_filling()
    for _ in range(3):
        first.now += 0.7
        report(first, serving, filling, 150.0)
        assert paces(first)
    serving.figure = 80.0
    rows = [a_row(serving, 100.0), a_row(filling, 40.0)]
    second = SchedulerBench(epoch=2)
    for job in (serving.step.job, filling.step.job):
        second.add(LedgerJob(job.record, Progress(JobState.RUNNING)))
    second.scheduler.update_worker("w1", an_entry(), second.now)
    second.hold("w1", running=rows)
    assert paces(second) == [100]
    second.now += 0.7
    second.hold("w1", running=rows)
    assert paces(second) == []
