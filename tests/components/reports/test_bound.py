"""Test the comparison of a day with a bound and with simple planners."""

from __future__ import annotations

import logging
from pathlib import Path

import pytest
from click.testing import CliRunner

from mustardward.cli.report import command
from mustardward.components.reports.bound import (
    BRIDGE_SECONDS,
    Planned,
    compare,
    keep_over_gaps,
)
from mustardward.components.reports.day_lines import read_day
from mustardward.components.reports.replayed import (
    GRID_SECONDS,
    StepShape,
    parse_shape,
)
from mustardward.components.reports.stories import Amount

from .test_day import line

GAP = round(BRIDGE_SECONDS / GRID_SECONDS)


def a_job(name: str, at: float, took: float = 1.0, late: bool = False) -> list[str]:
    """Return the lines of a job: four tasks of two cores, then one more."""
    first = ",".join(f"0.0.{n}:{n}@w+0.0~1.0" for n in range(4))
    ends = ",".join(f"0.0.{n}:{n}@w=done" for n in range(4))
    shape = "4x2x0;1x2x0<0"
    return [
        line(at, "job_submitted", job=name, service="p", shape=shape, outcome="stored"),
        line(at, "runs_started", job=name, runs=first),
        line(at + took, "runs_ended", job=name, runs=ends),
        line(at + took, "runs_started", job=name, runs="0.1.0:9@w+0.0~1.0"),
        line(at + 2 * took, "runs_ended", job=name, runs="0.1.0:9@w=done"),
        line(
            at + 2 * took,
            "job_ended",
            job=name,
            state="done",
            seconds=2 * took,
            objective_seconds=1.0 if late else 4.0,
        ),
    ]


def a_day() -> list[str]:
    """Return ten seconds of a pool of five instances of four cores."""
    looks = [
        line(at, "pool_load", service="p", workers=5, capacity=20000, lasting=1000)
        for at in range(100, 111)
    ]
    moved = line(101, "move_begun", machine="m", pool="p")
    return [*looks, moved, *a_job("a", 102), *a_job("b", 102, late=True)]


def by_name(lines: list[str]) -> dict[str, Planned]:
    return {row.name: row for row in compare(read_day(lines))}


def test_shapes_are_read_as_the_front_writes_them() -> None:
    assert parse_shape("8x9x512;1x2.5x64<0,1") == (
        StepShape(8, Amount(9.0, 512)),
        StepShape(1, Amount(2.5, 64), (0, 1)),
    )
    assert parse_shape("") == ()


def test_the_bound_stands_below_what_was_and_serves_all() -> None:
    planned = by_name(a_day())
    was, least = planned["as it was"], planned["known beforehand"]
    assert (was.jobs, was.in_time, was.moves) == (2, 1, 1)
    assert round(was.instance_seconds, 1) == 50.5
    assert least.share_in_time == 1.0
    # One instance for what lasts; five for 16 cores in the first second, two for 4 in
    # the next.
    assert max(least.instances["p"]) == 5
    assert round(least.instance_seconds) == 10 + 4 + 1


def test_a_step_that_spreads_keeps_its_workers_in_the_bound_too() -> None:
    lines = [text.replace("lasting=1000", "lasting=1000 spread=3") for text in a_day()]
    least = by_name(lines)["known beforehand"]
    assert min(least.instances["p"]) == 3


def test_what_is_scarcest_bounds() -> None:
    """Tasks of a quarter of the cores and all of the memory take an instance each."""
    lines = [
        text.replace("4x2x0", "4x1x100").replace("lasting=", "memory=500 lasting=")
        for text in a_day()
    ]
    assert max(by_name(lines)["known beforehand"].instances["p"]) == 8


def test_simple_planners_are_played_on_the_same_jobs() -> None:
    planned = by_name(a_day())
    assert planned["all kept on"].share_in_time == 0.5
    assert planned["all kept on"].instance_seconds > 50
    threshold = planned["by threshold"]
    assert threshold.instance_seconds < planned["as it was"].instance_seconds
    assert threshold.moves > 0


def test_short_gaps_are_bridged_and_long_ones_are_not() -> None:
    short = [2, *[0] * (GAP - 1), 1]
    long = [1, *[0] * (GAP + 5), 1]
    assert keep_over_gaps(short) == ([2, *[1] * (GAP - 1), 1], 4)
    assert keep_over_gaps(long) == (long, 4)
    assert keep_over_gaps([]) == ([], 0)


def test_a_day_without_pools_or_jobs_is_no_failure() -> None:
    assert [row.instance_seconds for row in compare(read_day([]))] == [0.0] * 4


def test_the_command_prints_a_row_for_each_planner_and_draws(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    caplog.set_level(logging.INFO)
    plot = tmp_path / "bound.svg"
    arguments = ["bound", "-", "--plot", str(plot)]
    result = CliRunner().invoke(command, arguments, input="".join(a_day()))
    assert result.exit_code == 0, result.output
    assert len(result.output.splitlines()) == 5
    # Symptom: a sixth line on a machine without a cache of fonts, of the library's own.
    assert not logging.getLogger("matplotlib.font_manager").isEnabledFor(logging.INFO)
    assert plot.read_text().lstrip().startswith("<?xml")
