"""Tell the story of an instance, wave, job or organisation."""

from __future__ import annotations

from collections.abc import Iterator
from datetime import UTC, datetime
from typing import Any

import click

from .client import OperatorClient, with_client
from .output import output_option, print_data


@click.command()
@click.argument("kind", type=click.Choice(["instance", "wave", "job", "organisation"]))
@click.argument("subject_id", metavar="ID")
@output_option
@with_client
def command(
    kind: str,
    subject_id: str,
    output: str,
    client: OperatorClient,
) -> None:
    """Tell what happened to a subject, in order, and why."""
    story = client.call("GET", f"/explain/{kind}/{subject_id}")
    if output == "json":
        print_data(story, output)
        return
    for line in format_story(story):
        click.echo(line)


def format_story(story: dict[str, Any]) -> Iterator[str]:
    """Yield one line for each happening, then what is missing."""
    if not story["lines"]:
        yield f"nothing known of {story['subject_kind']} {story['subject_id']}"
    for line in story["lines"]:
        yield _format_line(line)
    for name in story["missing_entries"]:
        yield f"missing entry={name}"
    for name in story["missing_data_centres"]:
        yield f"missing data_centre={name}"


def _format_line(line: dict[str, Any]) -> str:
    at = datetime.fromtimestamp(line["at"], UTC).strftime("%Y-%m-%d %H:%M:%S")
    parts = [at, f"{line['happening']:<28}", f"by={line['entry']}"]
    if line["cause"]:
        parts.append(f"cause={line['cause']}")
    if line["offset"] >= 0:
        parts.append(f"offset={line['offset']}")
    return " ".join([*parts, *line["inputs"]])
