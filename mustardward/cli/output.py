"""Print data as a table or as JSON."""

from __future__ import annotations

import json
from collections.abc import Callable, Sequence
from typing import Any, TypeVar

import click

FunctionT = TypeVar("FunctionT", bound=Callable[..., Any])


def output_option(function: FunctionT) -> FunctionT:
    """Add ``--output``, passed as ``output``."""
    return click.option(
        "--output",
        type=click.Choice(["table", "json"]),
        default="table",
        show_default=True,
        help="How data is printed.",
    )(function)


def print_data(
    data: Any, output: str, rows: Sequence[dict[str, Any]] | None = None
) -> None:
    """Print ``data`` as JSON, or ``rows`` (else ``data``) as a table."""
    if output == "json":
        click.echo(json.dumps(data, indent=2, sort_keys=True))
        return
    for line in format_table(rows if rows is not None else _as_rows(data)):
        click.echo(line)


def format_table(rows: Sequence[dict[str, Any]]) -> list[str]:
    """Return the lines of a table whose columns are the keys of the first row."""
    if not rows:
        return ["(none)"]
    names = list(rows[0])
    cells = [names, *([_format_cell(row.get(name)) for name in names] for row in rows)]
    widths = [max(len(line[index]) for line in cells) for index in range(len(names))]
    return [
        "  ".join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in cells
    ]


def _as_rows(data: Any) -> list[dict[str, Any]]:
    if isinstance(data, dict):
        return [{"key": key, "value": value} for key, value in data.items()]
    return [item if isinstance(item, dict) else {"value": item} for item in data]


def _format_cell(value: Any) -> str:
    if isinstance(value, bool):
        return "yes" if value else "no"
    if value is None or value == [] or value == ():
        return "-"
    if isinstance(value, (list, tuple)) and all(isinstance(v, str) for v in value):
        return ",".join(value)
    if isinstance(value, (dict, list, tuple)):
        return json.dumps(value, sort_keys=True)
    return str(value)
