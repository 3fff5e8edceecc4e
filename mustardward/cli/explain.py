"""Print the history of an instance, wave, job or organisation."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import asdict
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

import click

from .client import OperatorClient, with_client
from .output import output_option, print_data


@click.command()
@click.argument("kind", type=click.Choice(["instance", "wave", "job", "organisation"]))
@click.argument("subject_id", metavar="ID")
@click.option(
    "--logs",
    type=click.Path(exists=True, file_okay=False, path_type=Path),
    help="Read a job's story from the entries' logs here; the file names the entry.",
)
@output_option
@with_client
def command(
    kind: str,
    subject_id: str,
    logs: Path | None,
    output: str,
    client: OperatorClient,
) -> None:
    """Tell what happened to a subject, in order, and why; of a job, why it waits."""
    if logs is not None and kind != "job":
        raise click.UsageError("--logs tells of jobs only")
    if logs is not None:
        history = read_logs(logs, subject_id)
    else:
        history = client.call("GET", f"/explain/{kind}/{subject_id}")
    if output == "json":
        print_data(history, output)
        return
    for line in format_history(history):
        click.echo(line)


def read_logs(logs: Path, job: str) -> dict[str, Any]:
    """Return a job's history from all log files below a directory."""
    from ..components.explain.log_lines import get_latest_waits, read_history

    history = read_history(_lines(logs), job)
    waits = [asdict(wait) for wait in get_latest_waits(history)]
    return {**asdict(history), "waits": waits}


def _lines(logs: Path) -> Iterator[tuple[str, str]]:
    for path in sorted(path for path in logs.rglob("*") if path.is_file()):
        with path.open(encoding="utf-8", errors="replace") as file:
            for line in file:
                yield path.stem, line


def format_history(history: dict[str, Any]) -> Iterator[str]:
    """Yield one line per event and wait, then one per missing part."""
    if not history["lines"]:
        yield f"nothing known of {history['subject_kind']} {history['subject_id']}"
    for line in history["lines"]:
        yield _format_line(line)
    for wait in history.get("waits", ()):
        yield _format_wait(wait)
    for name in history["missing_entries"]:
        yield f"missing entry={name}"
    for name in history["missing_data_centres"]:
        yield f"missing data_centre={name}"


def _format_wait(wait: dict[str, Any]) -> str:
    state_word = "waited" if wait["over"] else "waits"
    return (
        f"{state_word} step={wait['step']} reason={wait['reason']}"
        f" seconds={wait['seconds']} told_at={_format_time(wait['at'])}"
    )


def _format_time(at: float) -> str:
    return datetime.fromtimestamp(at, UTC).strftime("%Y-%m-%dT%H:%M:%S")


def _format_line(line: dict[str, Any]) -> str:
    at = datetime.fromtimestamp(line["at"], UTC).strftime("%Y-%m-%d %H:%M:%S")
    parts = [at, f"{line['happening']:<28}", f"by={line['entry']}"]
    if line["cause"]:
        parts.append(f"cause={line['cause']}")
    if line["offset"] >= 0:
        parts.append(f"offset={line['offset']}")
    return " ".join([*parts, *line["inputs"]])
