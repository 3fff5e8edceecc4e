"""Test that the log tells which owner acknowledged an end."""

from __future__ import annotations

import pytest

from mustardward.components.dispatch.acknowledgement_logger import (
    AcknowledgementLogger,
)
from mustardward.helpers.log_pairs import read_pairs
from mustardward.helpers.logging import MAX_NAMES_PER_LINE
from mustardward.platform.exceptions import CallUnknownError
from mustardward.platform.workers import EndedTask, TaskName, WorkerReport

from ..scheduling.builders import JOB
from .test_session import WORKER, a_harness

pytestmark = pytest.mark.anyio


def lines(caplog: pytest.LogCaptureFixture) -> list[dict[str, str]]:
    """Return the fields of the lines about acknowledged ends."""
    return [
        read_pairs(record.getMessage())
        for record in caplog.records
        if "event=ends_acknowledged " in record.getMessage()
    ]


def test_acknowledgements_within_a_second_share_lines(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against a line per poll, which would use up the log's rate limit."""
    caplog.set_level("INFO", "absl")
    logger = AcknowledgementLogger(3)
    logger.record("w1", 5, 0, 1)
    logger.log_due(10.0)
    for number in range(1, 9):
        logger.record("w1", 5, number, number + 1)
        logger.log_due(10.0 + number / 10)
    logger.log_due(11.0)
    assert [line["workers"] for line in lines(caplog)] == ["w1/5:0-1", "w1/5:1-9"]
    assert {line["epoch"] for line in lines(caplog)} == {"3"}


def test_line_names_a_limited_number_of_workers(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level("INFO", "absl")
    logger = AcknowledgementLogger(3)
    for number in range(MAX_NAMES_PER_LINE + 1):
        logger.record(f"w{number}", 5, 0, 1)
    logger.flush()
    assert [line["count"] for line in lines(caplog)] == ["32", "1"]


@pytest.mark.parametrize("answered", [False, True])
async def test_acknowledgement_is_logged_even_if_its_answer_is_lost(
    caplog: pytest.LogCaptureFixture, answered: bool
) -> None:
    """Guards against an end that no owner seems to have acknowledged."""
    caplog.set_level("INFO", "absl")
    async with a_harness() as harness:
        ended = EndedTask(4, TaskName(JOB, 0, 0, 0), 7, "done", "")
        harness.client.answer = WorkerReport(5000.0, [], [ended])
        harness.update_entry()
        await harness.async_advance_time(0.1)
        session = harness.dispatcher.sessions[WORKER]
        session.acknowledge(session.received_upto)
        harness.client.failure = None if answered else CallUnknownError("timeout")
        session.wake()
        await harness.async_advance_time(1.0)
        harness.dispatcher.acknowledgements.flush()
    assert 4 in harness.client.acknowledged
    assert [line["workers"] for line in lines(caplog)] == [f"{WORKER}/0:0-4"]


async def test_end_of_a_task_that_is_not_known_is_logged_once(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against ends that are acknowledged and that no line names.

    A worker lists an end with each poll until it is acknowledged.
    """
    caplog.set_level("INFO", "absl")
    async with a_harness() as harness:
        ended = EndedTask(4, TaskName(JOB, 0, 0, 0), 7, "done", "")
        harness.client.answer = WorkerReport(5000.0, [], [ended])
        harness.update_entry()
        await harness.async_advance_time(1.0)
        session = harness.dispatcher.sessions[WORKER]
        session.acknowledge(0)
        await harness.async_advance_time(1.0)
        harness.scheduler.reports.run_logger.flush()
    assert len(harness.client.acknowledged) > 1
    (line,) = [
        read_pairs(record.getMessage())
        for record in caplog.records
        if "event=ends_ignored " in record.getMessage()
    ]
    assert (line["job"], line["runs"]) == (JOB, f"0.0.0:7@{WORKER}=done")
    assert line["numbers"] == "4"
