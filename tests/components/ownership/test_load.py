"""Test the log lines about an owner's load."""

from __future__ import annotations

import anyio
import pytest
from click.testing import CliRunner

from mustardward.cli.report import command
from mustardward.components.dispatch.call_queue import CallQueue
from mustardward.components.dispatch.start_window import INITIAL_STARTS, StartWindow
from mustardward.components.ownership.const import SELF_CHECK_SECONDS
from mustardward.components.ownership.load import OwnerLoad
from mustardward.components.reports.day_lines import read_day
from mustardward.components.reports.day_models import OwnerSample
from mustardward.components.scheduling.run_logger import RunLogger

from ..reports.test_day import build_day_lines, format_line

pytestmark = pytest.mark.anyio


async def test_maximum_load_of_each_interval_is_logged(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guard against jobs that wait despite free capacity without an explaining log."""
    async with anyio.create_task_group() as tasks:
        caplog.set_level("INFO", "absl")
        run_logger = RunLogger()
        load = OwnerLoad("n-1", CallQueue(tasks), StartWindow(), run_logger)
        load.sample(10.0)
        load.log(10.0)
        run_logger.started_count = 300
        run_logger.ended_count = 100
        load.sample(10.0 + SELF_CHECK_SECONDS + 0.7)
        load.sample(10.0 + 2 * SELF_CHECK_SECONDS + 0.7)
        load.log(12.0)
    text = caplog.text
    assert "event=owner_load" in text
    for pair in ("lag_seconds=0.7", "starts_a_second=150", "ends_a_second=50"):
        assert pair in text
    assert f"start_window={INITIAL_STARTS}" in text


def test_day_report_includes_the_owners_maximum_load() -> None:
    lines = [
        format_line(
            at,
            "owner_load",
            node=f"n-{at}",
            lag_seconds=lag,
            under_way=20,
            waiting=0,
            starts_a_second=at,
            ends_a_second=5,
        )
        for at, lag in ((1, 0.2), (2, 0.9))
    ]
    day = read_day(lines)
    assert day.owners[0] == OwnerSample(1.0, "n-1", 0.2, 20, 1, 5)
    result = CliRunner().invoke(
        command, ["day", "-"], input="".join([*build_day_lines(), *lines])
    )
    assert "owners=n-1,n-2 lag_seconds=0.900 calls_under_way=20" in result.output
    assert "submit to first start: half within 0.100 s" in result.output
    assert "takeover_seconds=3.00" in result.output
