"""Test that each run of a demand peak is logged without a line of its own."""

from __future__ import annotations

import re

import pytest

from mustardward.components.scheduling.commands import Start
from mustardward.components.scheduling.models import Phase
from mustardward.components.scheduling.run_logger import MAX_RUNS_PER_LINE
from mustardward.helpers.bounded_output import MAX_LINES_PER_SECOND
from mustardward.helpers.log_pairs import read_pairs
from mustardward.platform.workers import REFUSED_ROOM, EndedTask, RunningTask

from .builders import SchedulerBench, a_job, a_step

RUN = re.compile(r"(\d+\.\d+\.\d+):(\d+)@(\S+?)[+=]")


def lines_of(caplog: pytest.LogCaptureFixture, event: str) -> list[str]:
    """Return the lines of an event."""
    return [r.getMessage() for r in caplog.records if f"event={event} " in r.message]


def test_all_runs_of_a_burst_are_logged_within_the_rate_limit(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against missing log lines of a job's tasks in a demand peak.

    60 jobs of eight tasks each start and end within a second, and the log keeps only
    160 lines of a kind per second.
    """
    caplog.set_level("INFO", "absl")
    bench = SchedulerBench()
    for number in range(60):
        bench.worker(f"w{number}")
    for number in range(60):
        bench.add(a_job(a_step(count=8), job=f"{number:016x}"))
    starts = bench.plan_starts()
    bench.plan()
    started = lines_of(caplog, "runs_started")
    logged_runs = [match for line in started for match in RUN.findall(line)]
    assert len(logged_runs) == len(starts) == 480
    assert len(started) == 60 <= MAX_LINES_PER_SECOND * 0.4
    for start in starts:
        bench.end(start.task, "done")
    bench.plan()
    ended = lines_of(caplog, "runs_ended")
    assert sum(line.count("=done") for line in ended) == 480
    assert len(ended) == 60


def test_line_names_a_limited_number_of_runs(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level("INFO", "absl")
    bench = SchedulerBench()
    for number in range(20):
        bench.worker(f"w{number}")
    bench.add(a_job(a_step(count=MAX_RUNS_PER_LINE + 1)))
    bench.plan_starts()
    bench.plan()
    lines = lines_of(caplog, "runs_started")
    assert [len(RUN.findall(line)) for line in lines] == [MAX_RUNS_PER_LINE, 1]


def test_start_is_logged_with_epoch_and_age_of_its_renewal(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against a second start whose owner and authority no line tells."""
    caplog.set_level("INFO", "absl")
    bench = SchedulerBench(epoch=3)
    reports = bench.scheduler.reports
    reports.sent_starts.clock = lambda: 12.0
    reports.sent_starts.renewed_at = lambda: 10.5
    bench.worker("w1")
    bench.add(a_job(a_step(count=1)))
    (start,) = [c for c in bench.plan() if isinstance(c, Start)]
    reports.start_sent(start.task, start.run)
    reports.start_answered(start.task, start.run, "", bench.now)
    bench.plan()
    (line,) = lines_of(caplog, "runs_started")
    pairs = read_pairs(line)
    assert (pairs["epoch"], pairs["renewal_ages"]) == ("3", "1.50")


def test_start_answered_after_a_report_of_its_run_is_logged(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against runs without a line, as a poll was answered before the start."""
    caplog.set_level("INFO", "absl")
    bench = SchedulerBench()
    reports = bench.scheduler.reports
    bench.worker("w1")
    bench.add(a_job(a_step(count=1)))
    (start,) = [c for c in bench.plan() if isinstance(c, Start)]
    reports.start_sent(start.task, start.run)
    start.task.phase = Phase.RUNNING
    reports.start_answered(start.task, start.run, "", bench.now)
    bench.plan()
    (line,) = lines_of(caplog, "starts_overtaken")
    assert read_pairs(line)["runs"] == f"0.0.0:{start.run}@w1"


def test_end_is_logged_with_its_number(caplog: pytest.LogCaptureFixture) -> None:
    """Guards against an acknowledged number that can't be joined with a task."""
    caplog.set_level("INFO", "absl")
    bench = SchedulerBench()
    bench.worker("w1")
    bench.add(a_job(a_step(count=2)))
    starts = bench.plan_starts()
    ended = [
        EndedTask(number, start.task.name, start.run, "done", "")
        for number, start in enumerate(starts, start=5)
    ]
    bench.hold("w1", ended=ended)
    bench.plan()
    (line,) = lines_of(caplog, "runs_ended")
    pairs = read_pairs(line)
    runs = [f"0.0.{end.task.index}:{end.run}@w1=done" for end in ended]
    assert pairs["runs"].split(",") == runs
    assert pairs["numbers"] == "5,6"


def test_rejected_start_is_logged_with_its_task(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against a rejection that can't be joined with the task's other run."""
    caplog.set_level("INFO", "absl")
    bench = SchedulerBench()
    bench.worker("w1")
    bench.add(a_job(a_step(count=1)))
    (start,) = [c for c in bench.plan() if isinstance(c, Start)]
    reports = bench.scheduler.reports
    reports.start_answered(start.task, start.run, REFUSED_ROOM, bench.now)
    (line,) = lines_of(caplog, "start_rejected")
    pairs = read_pairs(line)
    assert (pairs["job"], pairs["task"]) == (start.task.name.job, "0.0.0")


def test_run_of_an_earlier_call_is_logged_with_its_incarnation(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against a run without a trace that a restarted worker began unasked."""
    caplog.set_level("INFO", "absl")
    bench = SchedulerBench()
    bench.worker("w1")
    bench.worker("w2", born=1_700_000_000_000)
    bench.add(a_job(a_step(count=1)))
    (start,) = bench.plan_starts()
    other = "w2" if start.worker == "w1" else "w1"
    row = RunningTask(start.task.name, 7, "", 40.0, 0.0)
    bench.hold(other, running=[row])
    bench.plan()
    (line,) = lines_of(caplog, "runs_unexpected")
    incarnation = bench.scheduler.state.workers[other].incarnation
    assert read_pairs(line)["runs"] == f"0.0.0:7@{incarnation}=40%"
