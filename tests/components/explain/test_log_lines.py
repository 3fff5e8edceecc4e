"""Tell from the entries' logs why a job waits."""

from __future__ import annotations

import json
from pathlib import Path

import pytest
from click.testing import CliRunner

from mustardward.cli.main import main
from mustardward.components.explain.log_lines import read_story, waits_of
from mustardward.components.scheduling.wait_tracker import Reason

from ..scheduling.builders import JOB
from ..scheduling.test_wait_tracker import (
    OTHER,
    SCENARIOS,
    plan_for,
    plan_unanswered_starts,
)


def written(caplog: pytest.LogCaptureFixture, at: float = 1000.0) -> list[str]:
    """Return what was logged, a second apart, as an entry writes it."""
    return [
        f"time={at + number:.3f} level=info {record.getMessage()}\n"
        for number, record in enumerate(caplog.records)
    ]


def waiting(reason: Reason, caplog: pytest.LogCaptureFixture) -> list[str]:
    """Return the lines of a bench whose job waits for a reason."""
    caplog.set_level("INFO", "absl")
    caplog.clear()
    bench, _ = SCENARIOS[reason]()
    bench.scheduler.wait_logger.log_due(bench.now)
    return written(caplog)


def line(at: float, event: str, **pairs: object) -> str:
    text = " ".join(f"{name}={value}" for name, value in pairs.items())
    return f"time={at} level=info event={event} part=x {text}\n"


@pytest.mark.parametrize("reason", list(Reason), ids=lambda reason: reason.value)
def test_explain_says_the_reason_of_the_line(
    reason: Reason, caplog: pytest.LogCaptureFixture, tmp_path: Path
) -> None:
    """Guards against a reason that the scheduler has and the command does not tell."""
    (tmp_path / "entry-1.log").write_text("".join(waiting(reason, caplog)))
    result = CliRunner().invoke(main, ["explain", "job", JOB, "--logs", str(tmp_path)])
    assert result.exit_code == 0, result.output
    last = result.output.splitlines()[-1]
    assert last.startswith(f"waits step=0.0 reason={reason.value} seconds=")


def test_the_lines_of_all_entries_are_told_in_the_order_of_their_times(
    tmp_path: Path,
) -> None:
    (tmp_path / "b").mkdir()
    first = line(5.0, "task_waiting", job=JOB, step="0.1", reason="quota", seconds=4)
    (tmp_path / "b" / "entry-2.log").write_text(first + "time=6.0 event=task_w")
    (tmp_path / "entry-1.log").write_text(
        line(4.0, "job_submitted", job=JOB, outcome="stored")
        + line(5.5, "job_submitted", job=OTHER, outcome="stored")
        + line(9.0, "task_waiting", job=JOB, step="0.1", reason="not-stored", seconds=8)
    )
    arguments = ["explain", "job", JOB, "--logs", str(tmp_path)]
    *told, waits = CliRunner().invoke(main, arguments).output.splitlines()
    assert [text.split()[2] for text in told] == [
        "job_submitted",
        "task_waiting",
        "task_waiting",
    ]
    assert "by=entry-1 cause=stored" in told[0]
    assert "by=entry-2 cause=quota" in told[1]
    assert waits == (
        "waits step=0.1 reason=not-stored seconds=8 told_at=1970-01-01T00:00:09"
    )
    data = CliRunner().invoke(main, [*arguments, "--output", "json"]).stdout
    assert json.loads(data)["waits"][0]["reason"] == "not-stored"


def test_a_step_of_which_something_started_since_is_told_as_having_waited() -> None:
    lines = [
        line(1.0, "task_waiting", job=JOB, step="0.1", reason="quota", seconds=4),
        line(2.0, "task_waiting", job=JOB, step="0.2", reason="quota", seconds=4),
        line(3.0, "runs_started", job=JOB, count=1, runs="0.1.0:7@w1+4.2~1.0"),
    ]
    waits = waits_of(read_story((("n", text) for text in lines), JOB))
    assert [(wait.step, wait.over) for wait in waits] == [("0.1", True), ("0.2", False)]


def test_a_job_that_is_over_waits_for_nothing() -> None:
    lines = [
        line(1.0, "task_waiting", job=JOB, step="0.1", reason="quota", seconds=4),
        line(3.0, "job_ended", job=JOB, state="done"),
    ]
    assert waits_of(read_story((("n", text) for text in lines), JOB)) == []


def test_a_job_for_which_a_worker_is_kept_does_not_wait_by_that(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Its story has the line of the other job, which names it, and which it is.

    Its own task has no line, since no worker has room for it.
    """
    lines = [("n", text) for text in waiting(Reason.RESERVED_FOR_OTHERS, caplog)]
    keeper = f"{1:016x}"
    story = read_story(lines, keeper)
    told = [item for item in story.lines if f"job={JOB}" in item.inputs]
    assert [item.cause for item in told] == ["workers-kept-for-others"]
    assert waits_of(story) == []
    own = line(
        5000.0, "task_waiting", job=keeper, step="0.0", reason="quota", seconds=4
    )
    story = read_story([*lines, ("n", own)], keeper)
    assert [wait.reason for wait in waits_of(story)] == ["quota"]


def test_only_jobs_are_told_from_logs(tmp_path: Path) -> None:
    arguments = ["explain", "wave", "w", "--logs", str(tmp_path)]
    result = CliRunner().invoke(main, arguments)
    assert result.exit_code == 2
    assert "--logs tells of jobs only" in result.output


def test_a_job_that_no_line_names_is_said_to_be_unknown(tmp_path: Path) -> None:
    arguments = ["explain", "job", JOB, "--logs", str(tmp_path)]
    assert CliRunner().invoke(main, arguments).output == f"nothing known of job {JOB}\n"


def test_runs_of_a_job_are_in_its_story(caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level("INFO", "absl")
    bench, _ = SCENARIOS[Reason.STARTS_USED_UP]()
    for start in plan_unanswered_starts(bench):
        bench.accept(start)
    plan_for(bench, 0.5)
    story = read_story((("n", text) for text in written(caplog)), JOB)
    (started,) = [item for item in story.lines if item.happening == "runs_started"]
    assert "count=2" in started.inputs
