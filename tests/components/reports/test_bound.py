"""Test comparing a day with a lower bound and with simple planners."""

from __future__ import annotations

import logging
from pathlib import Path

import pytest
from click.testing import CliRunner

from mustardward.cli.report import command
from mustardward.components.reports.bound import (
    MAX_KEPT_GAP_SECONDS,
    PlannerResult,
    compare_planners,
    fill_short_gaps,
)
from mustardward.components.reports.day_lines import read_day
from mustardward.components.reports.day_models import Resources
from mustardward.components.reports.workload import (
    GRID_SECONDS,
    StepSpec,
    parse_job_shape,
)

from .test_day import format_line

GAP = round(MAX_KEPT_GAP_SECONDS / GRID_SECONDS)


def build_job_lines(
    name: str, at: float, took: float = 1.0, late: bool = False
) -> list[str]:
    """Return the log lines of a job: four tasks of two cores, then one more."""
    first = ",".join(f"0.0.{n}:{n}@w+0.0~1.0" for n in range(4))
    ends = ",".join(f"0.0.{n}:{n}@w=done" for n in range(4))
    shape = "4x2x0;1x2x0<0"
    return [
        format_line(
            at, "job_submitted", job=name, service="p", shape=shape, outcome="stored"
        ),
        format_line(at, "runs_started", job=name, runs=first),
        format_line(at + took, "runs_ended", job=name, runs=ends),
        format_line(at + took, "runs_started", job=name, runs="0.1.0:9@w+0.0~1.0"),
        format_line(at + 2 * took, "runs_ended", job=name, runs="0.1.0:9@w=done"),
        format_line(
            at + 2 * took,
            "job_ended",
            job=name,
            state="done",
            seconds=2 * took,
            objective_seconds=1.0 if late else 4.0,
        ),
    ]


def build_day_lines() -> list[str]:
    """Return the log lines of ten seconds of a pool of five four-core instances."""
    samples = [
        format_line(
            at, "pool_load", service="p", workers=5, capacity=20000, lasting=1000
        )
        for at in range(100, 111)
    ]
    moved = format_line(101, "move_begun", machine="m", pool="p")
    return [
        *samples,
        moved,
        *build_job_lines("a", 102),
        *build_job_lines("b", 102, late=True),
    ]


def compare_by_name(lines: list[str]) -> dict[str, PlannerResult]:
    return {row.name: row for row in compare_planners(read_day(lines))}


def test_job_shapes_are_parsed() -> None:
    assert parse_job_shape("8x9x512;1x2.5x64<0,1") == (
        StepSpec(8, Resources(9.0, 512)),
        StepSpec(1, Resources(2.5, 64), (0, 1)),
    )
    assert parse_job_shape("") == ()


def test_lower_bound_serves_all_jobs_with_fewer_instances() -> None:
    planned = compare_by_name(build_day_lines())
    actual, bound = planned["as it was"], planned["known beforehand"]
    assert (actual.jobs, actual.in_time, actual.moves) == (2, 1, 1)
    assert round(actual.instance_seconds, 1) == 50.5
    assert bound.share_in_time == 1.0
    # One instance for the long-running tasks, plus four for 16 cores in the first
    # second and one for 4 cores in the next.
    assert max(bound.instances["p"]) == 5
    assert round(bound.instance_seconds) == 10 + 4 + 1


def test_lower_bound_keeps_the_minimum_workers_of_a_step() -> None:
    lines = [
        text.replace("lasting=1000", "lasting=1000 spread=3")
        for text in build_day_lines()
    ]
    bound = compare_by_name(lines)["known beforehand"]
    assert min(bound.instances["p"]) == 3


def test_lower_bound_depends_on_the_scarcest_resource() -> None:
    """Tasks with a quarter of the cores and all of the memory need an instance each."""
    lines = [
        text.replace("4x2x0", "4x1x100").replace("lasting=", "memory=500 lasting=")
        for text in build_day_lines()
    ]
    assert max(compare_by_name(lines)["known beforehand"].instances["p"]) == 8


def test_simple_planners_are_simulated_on_the_same_jobs() -> None:
    planned = compare_by_name(build_day_lines())
    assert planned["all kept on"].share_in_time == 0.5
    assert planned["all kept on"].instance_seconds > 50
    threshold = planned["by threshold"]
    assert threshold.instance_seconds < planned["as it was"].instance_seconds
    assert threshold.moves > 0


def test_only_short_gaps_are_filled() -> None:
    short = [2, *[0] * (GAP - 1), 1]
    long = [1, *[0] * (GAP + 5), 1]
    assert fill_short_gaps(short) == ([2, *[1] * (GAP - 1), 1], 4)
    assert fill_short_gaps(long) == (long, 4)
    assert fill_short_gaps([]) == ([], 0)


def test_day_without_pools_or_jobs_has_empty_results() -> None:
    assert [row.instance_seconds for row in compare_planners(read_day([]))] == [0.0] * 4


def test_command_prints_a_row_for_each_planner_and_plots(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    caplog.set_level(logging.INFO)
    plot = tmp_path / "bound.svg"
    arguments = ["bound", "-", "--plot", str(plot)]
    result = CliRunner().invoke(command, arguments, input="".join(build_day_lines()))
    assert result.exit_code == 0, result.output
    assert len(result.output.splitlines()) == 5
    # Guards against a sixth line, logged by matplotlib if there is no font cache.
    assert not logging.getLogger("matplotlib.font_manager").isEnabledFor(logging.INFO)
    assert plot.read_text().lstrip().startswith("<?xml")
