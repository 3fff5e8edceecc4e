"""Test the tasks of steps, and what jobs of many tasks cost before they start."""

from __future__ import annotations

import random
import tracemalloc

import pytest

from mustardward.components.ledger.bitset import missing_ranges, pack_indices
from mustardward.components.scheduling.models import Phase, StepRun, Task

from .builders import JOB, SchedulerBench, a_job, a_step

STEPS = 20
COUNT = 100_000
MAX_BYTES = 8_000_000
"""Bound for a job of two million tasks, of which some hundred are started."""


def a_step_run(count: int) -> StepRun:
    """Return a step of a job that has been added."""
    bench = SchedulerBench()
    bench.add(a_job(a_step(count=count)))
    return bench.scheduler.state.jobs[JOB].steps[(0, 0)]


def a_large_job(bench: SchedulerBench) -> None:
    """Submit a job of two million tasks."""
    bench.add(a_job(*[a_step(count=COUNT, mem_mb=64, estimate_ms=500)] * STEPS))


def test_job_of_many_tasks_takes_memory_for_started_ones_only() -> None:
    """Guard against a job whose unstarted tasks exceed the memory of each owner."""
    bench = SchedulerBench()
    for number in range(8):
        bench.worker(f"w{number}")
    tracemalloc.start()
    a_large_job(bench)
    for _ in range(20):
        starts = bench.plan_starts()
        assert starts
        for start in starts:
            bench.end(start.task, "done")
        bench.store()
    successor = SchedulerBench(epoch=2)
    job = a_job(*[a_step(count=COUNT, mem_mb=64, estimate_ms=500)] * STEPS)
    job.progress = bench.stored[JOB]
    successor.add(job)
    peak_bytes = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    assert peak_bytes < MAX_BYTES
    state = successor.scheduler.state
    done = sum(step.done for step in state.jobs[JOB].steps.values())
    assert done == 20 * 64


def test_end_of_a_job_of_many_tasks_creates_none() -> None:
    """Guard against the memory of all tasks while a large job is cancelled."""
    bench = SchedulerBench()
    bench.worker("w1")
    a_large_job(bench)
    bench.plan_starts()
    bench.scheduler.cancel_job(JOB)
    stops = bench.plan_stops()
    steps = bench.scheduler.state.jobs[JOB].steps.values()
    assert len(stops) == 8
    assert sum(len(step.tasks.known()) for step in steps) <= 9


def test_gang_without_room_creates_no_tasks() -> None:
    """Guard against plans that try each member of a gang that fits nowhere."""
    bench = SchedulerBench()
    bench.worker("w1")
    bench.add(a_job(a_step(count=COUNT, gang=True)))
    assert not bench.plan_starts()
    (step,) = bench.scheduler.state.jobs[JOB].steps.values()
    assert not step.tasks.known()


def test_gang_of_too_many_members_waits_though_it_needs_no_room() -> None:
    """Guard against a start of so many members that the owner loses its authority."""
    bench = SchedulerBench()
    bench.worker("w1")
    bench.add(a_job(a_step(count=COUNT, cpu=0, mem_mb=0, gang=True)))
    assert not bench.plan_starts()
    (step,) = bench.scheduler.state.jobs[JOB].steps.values()
    assert not step.tasks.known()


def test_done_tasks_are_not_kept_and_stay_done() -> None:
    step = a_step_run(3)
    task = step.tasks[1]
    step.waiting.remove(task)
    step.record_done(task)
    assert step.tasks.known() == []
    assert step.tasks[1].phase is Phase.DONE
    assert step.tasks.known() == []
    assert [other.index for other in step.waiting] == [0, 2]


def test_phases_are_counted_without_creating_tasks() -> None:
    step = a_step_run(COUNT)
    step.restore_done(range(10, 30))
    step.waiting.popleft().phase = Phase.RUNNING
    assert len(step.tasks.known()) == 1
    assert step.count_phases() == {
        Phase.RUNNING: 1,
        Phase.DONE: 20,
        Phase.WAITING: COUNT - 21,
    }


@pytest.mark.parametrize("count", [1, 7, 8, 9, 64])
def test_all_tasks_may_be_done_at_once(count: int) -> None:
    step = a_step_run(count)
    step.record_all_done()
    assert step.complete
    assert bytes(step.done_bits) == pack_indices(range(count))


@pytest.mark.parametrize("seed", range(20))
def test_missing_ranges_are_the_indices_that_a_bit_set_lacks(seed: int) -> None:
    rng = random.Random(seed)
    count = rng.randint(1, 40)
    indices = {rng.randrange(50) for _ in range(rng.randint(0, 40))}
    ranges = missing_ranges(pack_indices(indices), count)
    assert all(ranges)
    expected = [index for index in range(count) if index not in indices]
    assert [index for indices in ranges for index in indices] == expected


@pytest.mark.parametrize("seed", range(50))
def test_any_order_of_events_leaves_the_queue_of_a_list_of_tasks(seed: int) -> None:
    """Guard against tasks that are lost or queued twice."""
    rng = random.Random(seed)
    step = a_step_run(rng.randint(1, 12))
    queue = step.waiting
    model = list(range(len(step.tasks)))
    taken: list[Task] = []
    for _ in range(60):
        kind = rng.randrange(6)
        if kind == 0 and model:
            taken.append(queue.popleft())
            assert taken[-1].index == model.pop(0)
        elif kind == 1 and model:
            assert queue.first().index == model[0]
        elif kind == 2 and taken:
            task = taken.pop(rng.randrange(len(taken)))
            queue.append(task)
            model.append(task.index)
        elif kind == 3 and model:
            task = step.tasks[rng.choice(model)]
            assert task in queue
            queue.remove(task)
            model.remove(task.index)
            taken.append(task)
        elif kind == 4:
            chosen = {rng.randrange(len(step.tasks)) for _ in range(2)}
            found = queue.take(lambda task: task.index in chosen)  # noqa: B023
            taken.extend(found)
            for task in found:
                model.remove(task.index)
        else:
            assert all(task not in queue for task in taken)
        assert len(queue) == len(model)
    assert [task.index for task in queue] == model
