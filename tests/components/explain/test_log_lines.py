"""Test reading from the logs of entries why a job waits."""

from __future__ import annotations

import json
from pathlib import Path

import pytest
from click.testing import CliRunner

from mustardward.cli.main import main
from mustardward.components.explain.log_lines import get_latest_waits, read_history
from mustardward.components.scheduling.wait_tracker import Reason

from ..scheduling.builders import JOB
from ..scheduling.test_wait_tracker import (
    OTHER,
    SCENARIOS,
    plan_for,
    plan_unanswered_starts,
)


def format_log(caplog: pytest.LogCaptureFixture, at: float = 1000.0) -> list[str]:
    """Return the logged messages as an entry writes them, one second apart."""
    return [
        f"time={at + number:.3f} level=info {record.getMessage()}\n"
        for number, record in enumerate(caplog.records)
    ]


def log_wait(reason: Reason, caplog: pytest.LogCaptureFixture) -> list[str]:
    """Return the log lines of a scheduler whose job waits for a reason."""
    caplog.set_level("INFO", "absl")
    caplog.clear()
    bench, _ = SCENARIOS[reason]()
    bench.scheduler.wait_logger.log_due(bench.now)
    return format_log(caplog)


def format_line(at: float, event: str, **pairs: object) -> str:
    text = " ".join(f"{name}={value}" for name, value in pairs.items())
    return f"time={at} level=info event={event} part=x {text}\n"


@pytest.mark.parametrize("reason", list(Reason), ids=lambda reason: reason.value)
def test_explain_prints_the_logged_reason(
    reason: Reason, caplog: pytest.LogCaptureFixture, tmp_path: Path
) -> None:
    """Guard against a reason of the scheduler that the command does not print."""
    (tmp_path / "entry-1.log").write_text("".join(log_wait(reason, caplog)))
    result = CliRunner().invoke(main, ["explain", "job", JOB, "--logs", str(tmp_path)])
    assert result.exit_code == 0, result.output
    last = result.output.splitlines()[-1]
    assert last.startswith(f"waits step=0.0 reason={reason.value} seconds=")


def test_lines_of_all_entries_are_printed_in_order_of_time(
    tmp_path: Path,
) -> None:
    (tmp_path / "b").mkdir()
    first = format_line(
        5.0, "task_waiting", job=JOB, step="0.1", reason="quota", seconds=4
    )
    (tmp_path / "b" / "entry-2.log").write_text(first + "time=6.0 event=task_w")
    (tmp_path / "entry-1.log").write_text(
        format_line(4.0, "job_submitted", job=JOB, outcome="stored")
        + format_line(5.5, "job_submitted", job=OTHER, outcome="stored")
        + format_line(
            9.0, "task_waiting", job=JOB, step="0.1", reason="not-stored", seconds=8
        )
    )
    arguments = ["explain", "job", JOB, "--logs", str(tmp_path)]
    *events, waits = CliRunner().invoke(main, arguments).output.splitlines()
    assert [text.split()[2] for text in events] == [
        "job_submitted",
        "task_waiting",
        "task_waiting",
    ]
    assert "by=entry-1 cause=stored" in events[0]
    assert "by=entry-2 cause=quota" in events[1]
    assert waits == (
        "waits step=0.1 reason=not-stored seconds=8 told_at=1970-01-01T00:00:09"
    )
    data = CliRunner().invoke(main, [*arguments, "--output", "json"]).stdout
    assert json.loads(data)["waits"][0]["reason"] == "not-stored"


def test_wait_is_over_once_a_run_of_the_step_has_started() -> None:
    lines = [
        format_line(
            1.0, "task_waiting", job=JOB, step="0.1", reason="quota", seconds=4
        ),
        format_line(
            2.0, "task_waiting", job=JOB, step="0.2", reason="quota", seconds=4
        ),
        format_line(3.0, "runs_started", job=JOB, count=1, runs="0.1.0:7@w1+4.2~1.0"),
    ]
    waits = get_latest_waits(read_history((("n", text) for text in lines), JOB))
    assert [(wait.step, wait.over) for wait in waits] == [("0.1", True), ("0.2", False)]


def test_ended_job_has_no_waits() -> None:
    lines = [
        format_line(
            1.0, "task_waiting", job=JOB, step="0.1", reason="quota", seconds=4
        ),
        format_line(3.0, "job_ended", job=JOB, state="done"),
    ]
    assert get_latest_waits(read_history((("n", text) for text in lines), JOB)) == []


def test_job_with_a_reserved_worker_is_not_reported_as_waiting_for_it(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guard against attributing another job's wait to the job that it names.

    The waiting job's line names the job that workers are reserved for, so it is part
    of that job's history. The latter has no line of its own, because no worker has
    capacity for its task.
    """
    lines = [("n", text) for text in log_wait(Reason.RESERVED_FOR_OTHERS, caplog)]
    reserving_job = f"{1:016x}"
    history = read_history(lines, reserving_job)
    waits_of_other = [item for item in history.lines if f"job={JOB}" in item.inputs]
    assert [item.cause for item in waits_of_other] == ["workers-kept-for-others"]
    assert get_latest_waits(history) == []
    own = format_line(
        5000.0, "task_waiting", job=reserving_job, step="0.0", reason="quota", seconds=4
    )
    history = read_history([*lines, ("n", own)], reserving_job)
    assert [wait.reason for wait in get_latest_waits(history)] == ["quota"]


def test_logs_option_requires_a_job(tmp_path: Path) -> None:
    arguments = ["explain", "wave", "w", "--logs", str(tmp_path)]
    result = CliRunner().invoke(main, arguments)
    assert result.exit_code == 2
    assert "--logs tells of jobs only" in result.output


def test_job_without_log_lines_is_reported_as_unknown(tmp_path: Path) -> None:
    arguments = ["explain", "job", JOB, "--logs", str(tmp_path)]
    assert CliRunner().invoke(main, arguments).output == f"nothing known of job {JOB}\n"


def test_history_of_a_job_includes_its_runs(caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level("INFO", "absl")
    bench, _ = SCENARIOS[Reason.STARTS_USED_UP]()
    for start in plan_unanswered_starts(bench):
        bench.accept(start)
    plan_for(bench, 0.5)
    history = read_history((("n", text) for text in format_log(caplog)), JOB)
    (started,) = [item for item in history.lines if item.happening == "runs_started"]
    assert "count=2" in started.inputs
