"""Test the lines that tell how busy an owner is."""

from __future__ import annotations

import anyio
import pytest
from click.testing import CliRunner

from mustardward.cli.report import command
from mustardward.components.dispatch.lanes import Lanes
from mustardward.components.dispatch.window import FIRST_STARTS, StartWindow
from mustardward.components.ownership.const import WATCH_OWN_SECONDS
from mustardward.components.ownership.load import OwnerLoad
from mustardward.components.reports.day_lines import read_day
from mustardward.components.reports.stories import OwnerLook
from mustardward.components.scheduling.run_logger import RunLogger

from ..reports.test_day import a_day, line

pytestmark = pytest.mark.anyio


async def test_the_worst_of_each_second_is_told(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Symptom: jobs wait though there is room, and no line says why."""
    async with anyio.create_task_group() as tasks:
        caplog.set_level("INFO", "absl")
        lines = RunLogger()
        load = OwnerLoad("n-1", Lanes(tasks), StartWindow(), lines)
        load.look(10.0)
        load.tell(10.0)
        lines.started_count = 300
        lines.ended_count = 100
        load.look(10.0 + WATCH_OWN_SECONDS + 0.7)
        load.look(10.0 + 2 * WATCH_OWN_SECONDS + 0.7)
        load.tell(12.0)
    text = caplog.text
    assert "event=owner_load" in text
    for pair in ("lag_seconds=0.7", "starts_a_second=150", "ends_a_second=50"):
        assert pair in text
    assert f"start_window={FIRST_STARTS}" in text


def test_the_report_of_a_day_has_the_owners_worst() -> None:
    told = [
        line(
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
    day = read_day(told)
    assert day.owners[0] == OwnerLook(1.0, "n-1", 0.2, 20, 1, 5)
    result = CliRunner().invoke(command, ["day", "-"], input="".join([*a_day(), *told]))
    assert "owners=n-1,n-2 lag_seconds=0.900 calls_under_way=20" in result.output
    assert "submit to first start: half within 0.100 s" in result.output
    assert "takeover_seconds=3.00" in result.output
