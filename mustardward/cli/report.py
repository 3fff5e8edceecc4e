"""Report on service levels and late jobs."""

from __future__ import annotations

import json
from collections.abc import Iterator
from pathlib import Path
from typing import TYPE_CHECKING, Any, TextIO

import click

from .client import OperatorClient, with_client
from .records import FILE_TYPE

if TYPE_CHECKING:
    from ..components.reports.day_models import Day


@click.group()
def command() -> None:
    """Report on the fleet."""


@command.command()
@click.option("--organisation", default="", help="Report on this one only.")
@click.option(
    "--output",
    type=click.Choice(["table", "json", "html"]),
    default="table",
    show_default=True,
    help="How the report is printed.",
)
@click.option("--output-file", type=FILE_TYPE, help="Write the report here.")
@with_client
def burn(
    organisation: str,
    output: str,
    output_file: Path | None,
    client: OperatorClient,
) -> None:
    """Show error budgets left, burn rates, and what burnt them."""
    query = {"organisation": organisation} if organisation else None
    report = client.call("GET", "/reports/burn", query=query)
    text = render(report, output)
    if output_file is None:
        click.echo(text)
    else:
        output_file.write_text(text, encoding="utf-8")


@command.command()
@click.argument("log", type=click.File("r", errors="replace"))
@click.option("--jobs", default=0, help="List so many of the latest jobs too.")
def day(log: TextIO, jobs: int) -> None:
    """Say why jobs were late, from the entries' log lines in LOG (- for input)."""
    from ..components.reports.day import count_delay_causes
    from ..components.reports.day_lines import read_day

    parsed_day = read_day(log)
    ended = [record for record in parsed_day.jobs.values() if record.state]
    late = sorted(
        (record for record in ended if record.late and not record.long_running),
        key=lambda record: record.objective_seconds - record.seconds,
    )
    click.echo(f"jobs={len(parsed_day.jobs)} ended={len(ended)} late={len(late)}")
    if parsed_day.cut_lines:
        click.echo(f"{parsed_day.cut_lines} lines are cut off and left out")
    for text in _owner_lines(parsed_day):
        click.echo(text)
    for row in count_delay_causes(parsed_day):
        click.echo(
            f"{row.jobs:6d} jobs {row.tasks:7d} tasks {row.seconds_late:9.1f} s late"
            f"  {row.cause.value}"
        )
    for record in late[:jobs]:
        late_seconds = record.seconds - record.objective_seconds
        click.echo(
            f"job={record.job} queue={record.queue} late_seconds={late_seconds:.2f}"
        )


def _owner_lines(day: Day) -> Iterator[str]:
    """Yield lines on the load of owners, start delays and takeovers."""
    from ..components.reports.day import compute_start_delays

    if day.owners:
        owners = list(dict.fromkeys(item.node for item in day.owners))
        yield (
            f"owners={','.join(owners)}"
            f" lag_seconds={max(item.max_lag_seconds for item in day.owners):.3f}"
            f" calls_under_way={max(item.max_calls_in_flight for item in day.owners)}"
            f" starts_a_second={max(item.max_starts_per_second for item in day.owners)}"
            f" ends_a_second={max(item.max_ends_per_second for item in day.owners)}"
        )
    waits = compute_start_delays(day)
    if waits:
        tail = waits[int(0.95 * (len(waits) - 1))]
        yield (
            f"submit to first start: half within {waits[len(waits) // 2]:.3f} s,"
            f" 95 of 100 within {tail:.3f} s"
        )
    for begin, end in day.takeovers:
        yield f"takeover_seconds={end - begin:.2f}"


@command.command()
@click.argument("log", type=click.File("r", errors="replace"))
@click.option("--plot", type=FILE_TYPE, help="Draw instances over time here (SVG).")
def bound(log: TextIO, plot: Path | None) -> None:
    """Compare a day's instances and jobs in time with other planners, from LOG."""
    from ..components.reports.bound import compare_planners
    from ..components.reports.day_lines import read_day

    results = compare_planners(read_day(log))
    click.echo(f"{'planner':<18} {'instance s':>10} {'moves':>6} {'in time':>8}")
    for row in results:
        click.echo(
            f"{row.name:<18} {row.instance_seconds:10.0f} {row.moves:6d}"
            f" {row.share_in_time:8.3f}"
        )
    if plot is not None:
        from ..components.reports.bound_plot import draw

        draw(results, plot)


def render(report: dict[str, Any], output_format: str) -> str:
    """Return the report as JSON, as an HTML page, or as a table."""
    if output_format == "json":
        return json.dumps(report, indent=2)
    if output_format == "html":
        from ..components.reports.page import render_page

        return render_page(report)
    return "\n".join(format_table(report))


def format_table(report: dict[str, Any]) -> Iterator[str]:
    """Yield the lines of a table, one per organisation and window."""
    yield (
        f"{'organisation':<20} {'window':>6} {'covered':>8} {'requests':>9} "
        f"{'failed':>7} {'slow':>6} {'burn':>8} {'slow burn':>9} causes"
    )
    for item in report["organisations"]:
        for window in item["windows"]:
            yield _format_window(item["organisation"], window)
        yield (
            f"{'':<20} error_budget_left={item['error_budget_left']:.1%} "
            f"latency_budget_left={item['latency_budget_left']:.1%} "
            f"p50={item['median_seconds'] * 1000:.1f}ms "
            f"p99={item['tail_seconds'] * 1000:.1f}ms"
        )
    yield f"entries={report['entries']} complete={str(report['complete']).lower()}"
    for name in report["missing_entries"]:
        yield f"missing entry={name}"
    for name in report["missing_data_centres"]:
        yield f"missing data_centre={name}"


def _format_window(organisation: str, window: dict[str, Any]) -> str:
    causes = " ".join(
        f"{cause}={count}" for cause, count in window["causes"].items() if count
    )
    return (
        f"{organisation:<20} {window['window']:>6} {window['covered']:>8.0%} "
        f"{window['total']:>9} {window['failed']:>7} {window['slow']:>6} "
        f"{window['error_burn_rate']:>8.2f} {window['latency_burn_rate']:>9.2f} "
        f"{causes or '-'}"
    )
