"""Test what a run of a step shows about the steps on which it depends."""

from __future__ import annotations

import pytest

from mustardward.components.ledger.bitset import pack_indices
from mustardward.components.ledger.ledger import LedgerJob
from mustardward.components.ledger.models import (
    JobState,
    Progress,
    StepProgress,
    TaskProgress,
)
from mustardward.components.scheduling.models import Phase
from mustardward.platform.models import SubmittedStep
from mustardward.platform.workers import EndedTask, RunningTask, TaskName

from .builders import JOB, SchedulerBench, a_job, a_row, a_step, an_entry, count_calls

OLD_RUN = 1048577


def a_taken_over(
    *steps: SubmittedStep, progress: Progress | None = None, **changes: object
) -> SchedulerBench:
    """Return a new owner of a job that the previous owner had started.

    :param progress: what the previous owner stored of it; by default no end.
    :param changes: fields of the job.
    """
    bench = SchedulerBench(epoch=2)
    job: LedgerJob = a_job(*steps, **changes)
    job.progress = progress or Progress(JobState.RUNNING)
    bench.add(job)
    bench.scheduler.update_worker("w1", an_entry(), bench.now)
    return bench


def a_chain(length: int, **changes: object) -> list[SubmittedStep]:
    """Return steps of which each depends on the one before."""
    return [
        a_step(after=[number - 1] if number else [], **changes)
        for number in range(length)
    ]


def a_run(step: int, index: int = 0, occurrence: int = 0) -> RunningTask:
    """Return a report's row of a run that the previous owner started."""
    return RunningTask(TaskName(JOB, occurrence, step, index), OLD_RUN, "", 10.0, 0.0)


def an_end(step: int, how: str, index: int = 0) -> EndedTask:
    """Return a report's row of an ended run that the previous owner started."""
    return EndedTask(1, TaskName(JOB, 0, step, index), OLD_RUN, how, "")


def phases(bench: SchedulerBench, step: int, occurrence: int = 0) -> set[Phase]:
    """Return the phases of a step's tasks."""
    job = bench.scheduler.state.jobs[JOB]
    return {task.phase for task in job.steps[occurrence, step].tasks}


def started(bench: SchedulerBench) -> set[tuple[int, int]]:
    """Plan, and return the steps and indices of the tasks that start."""
    return {(s.task.step.number, s.task.index) for s in bench.plan_starts()}


def test_a_step_does_not_start_again_while_a_later_one_runs() -> None:
    """Guards against tasks that run twice after their unstored ends were lost.

    The store is away while a step ends and the next one starts. Then all entries lose
    power, and the worker that holds the ends crashes.
    """
    before = SchedulerBench()
    before.worker("w1")
    before.add(a_job(*a_chain(2)))
    for start in before.plan_starts():
        before.end(start.task, "done")
    runs = [start.task for start in before.plan_starts()]
    assert {task.step.number for task in runs} == {1}
    after = a_taken_over(*a_chain(2))
    after.hold("w1", running=[a_row(task, 10.0) for task in runs])
    assert started(after) == set()
    assert phases(after, 0) == {Phase.DONE}
    for index in range(2):
        after.end(after.task(index, step=1), "done")
    assert after.scheduler.state.jobs[JOB].state is JobState.DONE


@pytest.mark.parametrize("how", ["done", "failed", "stopped", "lapsed"])
def test_an_end_of_a_later_step_shows_that_the_earlier_ones_are_done(how: str) -> None:
    """Guards against tasks that run twice though the next step has ended already."""
    bench = a_taken_over(*a_chain(3))
    bench.hold("w1", ended=[an_end(2, how)])
    assert phases(bench, 0) == phases(bench, 1) == {Phase.DONE}
    waiting = {(2, 1)} if how == "done" else {(2, 0), (2, 1)}
    assert started(bench) == waiting


def test_steps_that_no_run_depends_on_start() -> None:
    """Guards against a step that is taken for done as an unrelated one runs."""
    steps = [a_step(), a_step(), a_step(after=[0]), a_step(after=[1, 2])]
    bench = a_taken_over(*steps)
    bench.hold("w1", running=[a_run(2)])
    assert started(bench) == {(1, 0), (1, 1), (2, 1)}


def test_each_occurrence_is_judged_by_its_own_runs() -> None:
    """Guards against an occurrence taken for done as another one has got further."""
    bench = a_taken_over(*a_chain(2), times=3, start_at_ms=0.0, interval_ms=1000.0)
    bench.hold("w1", running=[a_run(1, occurrence=1)])
    bench.plan_starts()
    assert phases(bench, 0, occurrence=1) == {Phase.DONE}
    assert Phase.DONE not in phases(bench, 0, occurrence=0)
    assert Phase.DONE not in phases(bench, 0, occurrence=2)


STORED = [
    Progress(JobState.RUNNING, [StepProgress(0, 1, pack_indices([0]))]),
    Progress(JobState.RUNNING, tasks=[TaskProgress(0, 1, 0, (OLD_RUN,))]),
    Progress(JobState.RUNNING, tasks=[TaskProgress(0, 1, 0, (), "c")]),
    Progress(JobState.RUNNING, tasks=[TaskProgress(0, 1, 0, (), "", ("w9",))]),
]


@pytest.mark.parametrize("progress", STORED, ids=["done", "failed", "saved", "crashed"])
def test_stored_progress_of_a_later_step_shows_that_the_earlier_one_is_done(
    progress: Progress,
) -> None:
    """Guards against tasks that run twice after two losses of the owner in a row."""
    bench = a_taken_over(*a_chain(2), progress=progress)
    bench.hold("w1")
    assert {step for step, _ in started(bench)} == {1}
    bench.store()
    (stored,) = (s for s in bench.stored[JOB].steps if s.step == 0)
    assert stored.done == pack_indices(range(2))


def test_a_job_whose_last_step_is_stored_as_done_is_done() -> None:
    """Guards against a job that stays unfinished though all its steps are done."""
    done = StepProgress(0, 1, pack_indices(range(2)))
    bench = a_taken_over(*a_chain(2), progress=Progress(JobState.RUNNING, [done]))
    bench.hold("w1")
    assert started(bench) == set()
    bench.store()
    assert bench.stored[JOB].state is JobState.DONE


def test_runs_that_were_started_again_are_stopped_and_keep_their_room() -> None:
    """Guards against a worker that gets more tasks than it has room for.

    The worker that runs the later step answers only after the takeover.
    """
    bench = a_taken_over(*a_chain(2, cpu=4000))
    bench.hold("w1")
    assert started(bench) == {(0, 0), (0, 1)}
    again = [bench.task(index) for index in range(2)]
    rows = [a_row(task, 10.0) for task in again]
    runs = {(task.name, task.run) for task in again}
    bench.scheduler.update_worker("w2", an_entry(), bench.now)
    bench.hold("w2", running=[a_run(1)])
    commands = bench.plan_stops()
    assert {(stop.name, stop.run) for stop in commands} == runs
    worker = bench.scheduler.state.workers["w1"]
    assert worker.free_cpu == 0
    bench.hold("w1", running=rows)
    assert worker.free_cpu == 0
    ends = [EndedTask(n, *run, "stopped", "") for n, run in enumerate(runs, 1)]
    bench.hold("w1", ended=ends)
    assert worker.free_cpu == worker.capacity.cpu
    assert phases(bench, 0) == {Phase.DONE}


def test_members_of_an_earlier_gang_are_done_together() -> None:
    bench = a_taken_over(a_step(count=3, gang=True), a_step(after=[0]))
    bench.hold("w1", running=[a_run(1)])
    assert started(bench) == {(1, 1)}
    assert phases(bench, 0) == {Phase.DONE}


def test_long_running_tasks_are_never_taken_for_done() -> None:
    """Guards against a long-running task that is not restarted."""
    bench = a_taken_over(a_step(long_running=True), a_step(after=[0]))
    bench.hold("w1", running=[a_run(1)])
    assert started(bench) == {(0, 0), (0, 1)}


def test_runs_of_a_cancelled_job_open_no_step() -> None:
    """Guards against tasks of a cancelled job that start."""
    bench = a_taken_over(*a_chain(3))
    bench.scheduler.cancel_job(JOB)
    bench.hold("w1", running=[a_run(1)], ended=[an_end(1, "failed", 1)])
    assert started(bench) == set()
    bench.store()
    assert bench.stored[JOB].state is JobState.CANCELLED


def test_failures_of_an_earlier_task_do_not_end_its_job() -> None:
    """Guards against a job that fails by attempts of a task that was done after them.

    The attempts were counted while no configuration was known.
    """
    configured = False
    bench = SchedulerBench(epoch=2)
    bench.scheduler.state.is_configured = lambda: configured
    job = a_job(*a_chain(2))
    failed = TaskProgress(0, 0, 0, (1, 2, 3))
    job.progress = Progress(JobState.RUNNING, tasks=[failed])
    bench.add(job)
    bench.scheduler.update_worker("w1", an_entry(), bench.now)
    bench.hold("w1", running=[a_run(1)])
    configured = True
    bench.scheduler.update_policies()
    assert not bench.scheduler.state.jobs[JOB].state.final


WIDE = [a_step(count=20_000), a_step(count=20_000, after=[0])]
LONG = a_chain(5000, count=1)


@pytest.mark.parametrize("steps", [WIDE, LONG], ids=["wide", "long"])
def test_the_earlier_steps_are_judged_once(steps: list[SubmittedStep]) -> None:
    """Guards against an owner that is blocked by the reports of a large job."""
    bench = a_taken_over(*steps)
    last = len(steps) - 1
    earlier = sum(step.count for step in steps[:last])
    rows = [a_run(last, index) for index in range(min(4, steps[last].count))]
    first = count_calls(lambda: bench.hold("w1", running=rows))
    again = count_calls(lambda: bench.hold("w1", running=rows))
    assert first < 20 * earlier
    assert again < 200
