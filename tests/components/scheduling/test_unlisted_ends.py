"""Test runs that ended and are not yet listed, as one report has room for 500 ends."""

from __future__ import annotations

from mustardward.components.scheduling.commands import Stop
from mustardward.components.scheduling.const import STUCK_SECONDS
from mustardward.platform.models import ENDED_DONE
from mustardward.platform.workers import MAX_LISTED_ENDS, EndedTask, TaskName

from .builders import SchedulerBench, a_job, a_row, a_step

OTHER = "00000000000000bb"
CYCLES = 40
CYCLE_SECONDS = 0.5


def a_full_list(first: int) -> list[EndedTask]:
    """Return as many ends of another job as one report may list."""
    return [
        EndedTask(number, TaskName(OTHER, 0, 0, number), 1, ENDED_DONE, "")
        for number in range(first, first + MAX_LISTED_ENDS)
    ]


def test_run_whose_end_is_not_listed_yet_does_not_count_as_stuck() -> None:
    """Guard against workers that count as faulty while a store takes their ends."""
    bench = SchedulerBench()
    bench.worker("w1")
    bench.add(a_job(a_step(count=1)))
    bench.plan_starts()
    bench.hold("w1", running=[a_row(bench.task(0), 50.0)])
    for cycle in range(CYCLES):
        bench.now += CYCLE_SECONDS
        bench.clock_ms += 1000 * CYCLE_SECONDS
        bench.hold("w1", ended=a_full_list(1 + cycle * MAX_LISTED_ENDS))
        assert not [c for c in bench.plan() if isinstance(c, Stop)]
    assert CYCLES * CYCLE_SECONDS > 2 * STUCK_SECONDS


def test_run_whose_end_is_not_listed_yet_does_not_count_as_serving() -> None:
    """Guard against an evacuation that relies on a task that is no longer at work."""
    bench = SchedulerBench()
    bench.worker("w1")
    bench.add(a_job(a_step(count=1, long_running=True)))
    bench.plan_starts()
    bench.report_serving(bench.task(0))
    assert bench.task(0).is_serving
    bench.now += CYCLE_SECONDS
    bench.hold("w1", ended=a_full_list(1))
    assert not bench.task(0).is_serving
