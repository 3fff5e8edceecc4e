"""Test that RankedWorkers places tasks where a full scan of all workers would."""

from __future__ import annotations

from collections.abc import Iterable

from hypothesis import given
from hypothesis import strategies as st

from mustardward.components.scheduling.models import Task
from mustardward.components.scheduling.placement import (
    RankedWorkers,
    choose_home_rack,
    fits,
    may_run,
    placement_score,
)
from mustardward.components.scheduling.worker_state import WorkerState

from .builders import JOB, SchedulerBench, a_job, a_step

ROOMS = st.tuples(st.integers(0, 6), st.integers(1, 3), st.sampled_from([0.5, 1.0]))
STEPS = st.fixed_dictionaries(
    {
        "count": st.integers(1, 12),
        "cpu": st.integers(1, 4).map(lambda cores: 1000 * cores),
        "long_running": st.booleans(),
        "may_miss": st.integers(0, 3),
        "max_per_server": st.integers(0, 2),
        "data_rack": st.sampled_from(["", "r1", "r2"]),
    }
)


def best_by_full_scan(workers: Iterable[WorkerState], task: Task) -> WorkerState | None:
    """Return the first of the workers with the best score for a task."""
    step = task.step
    able = [w for w in workers if fits(w, step.room) and may_run(w, step)]
    return min(
        able, key=lambda w: placement_score(w, step, task.avoided_workers), default=None
    )


@given(st.lists(ROOMS, max_size=8), STEPS, st.lists(st.integers(0, 9), max_size=6))
def test_ranking_chooses_the_same_worker_as_a_full_scan(
    rooms: list[tuple[int, int, float]], step: dict[str, object], avoiding: list[int]
) -> None:
    bench = SchedulerBench()
    for number, (cores, rack, speed) in enumerate(rooms):
        worker = bench.worker(f"w{number}", labels=["a", f"r{rack}"])
        worker.free_cpu = 1000 * cores
        worker.speed = speed
    bench.add(a_job(a_step(**step)), stored=False)
    state = bench.scheduler.state
    run = state.jobs[JOB].steps[(0, 0)]
    for index, worker_number in enumerate(avoiding):
        if index < len(run.tasks):
            run.tasks[index].avoided_workers.add(f"w{worker_number}")
    workers = list(state.workers.values())
    run.job.home_rack = choose_home_rack(workers)
    for task in list(run.waiting):
        ranked_workers = RankedWorkers(workers, run, task.avoided_workers)
        expected = best_by_full_scan(workers, task)
        assert ranked_workers.best() is expected
        if expected is None:
            break
        run.waiting.remove(task)
        state.assign(task, expected, state.next_run_number(), bench.now)
        ranked_workers.update_best()
        following = next(iter(run.waiting), None)
        if following is not None and following.avoided_workers == task.avoided_workers:
            assert ranked_workers.best() is best_by_full_scan(workers, following)
