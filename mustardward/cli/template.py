"""Publish, revise and show templates."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import click

from .client import OperatorClient, with_client
from .files import TemplateFile, read_file
from .output import output_option, print_data
from .records import FILE_TYPE, change_options, check_in_force, send_change


@click.group()
def command() -> None:
    """Publish, revise and look at templates."""


@command.command()
@click.argument("file", type=FILE_TYPE)
@change_options
@output_option
@with_client
def publish(
    file: Path,
    wait: float,
    record_id: str | None,
    output: str,
    client: OperatorClient,
) -> None:
    """Publish the new template in FILE."""
    content = read_file(file, TemplateFile)
    _publish(client, content, content.base_revision or 0, wait, record_id, output)


@command.command()
@click.argument("file", type=FILE_TYPE)
@click.option("--base", type=int, help="Revision that FILE was made from.")
@change_options
@output_option
@with_client
def revise(
    file: Path,
    base: int | None,
    wait: float,
    record_id: str | None,
    output: str,
    client: OperatorClient,
) -> None:
    """Publish FILE as the revision that follows its base.

    The base is --base or the file's own base_revision. If another revision was
    accepted since, the command is refused with revision-conflict.
    """
    content = read_file(file, TemplateFile)
    base_revision = content.base_revision if base is None else base
    if base_revision is None:
        raise click.UsageError("give --base or a base_revision in FILE")
    _publish(client, content, base_revision, wait, record_id, output)


@command.command()
@click.argument("name")
@click.option("--revision", type=int, help="One that is kept; else the one in force.")
@output_option
@with_client
def show(
    name: str,
    revision: int | None,
    output: str,
    client: OperatorClient,
) -> None:
    """Show a revision of the template NAME."""
    query = {} if revision is None else {"revision": str(revision)}
    response = client.call("GET", f"/templates/{name}", query=query)
    rows = _rows({key: response[key] for key in ("name", "revision", "offset")})
    print_data(response, output, [*rows, *_rows(response["parameters"])])


@command.command()
@click.argument("name")
@output_option
@with_client
def history(name: str, output: str, client: OperatorClient) -> None:
    """List the kept revisions of the template NAME, newest first."""
    response = client.call("GET", f"/templates/{name}/history")
    rows = [
        {
            "revision": item["revision"],
            "offset": item["offset"],
            "services": [one["service"] for one in item["parameters"]["services"]],
        }
        for item in response
    ]
    print_data(response, output, rows)


@command.command()
@click.argument("name")
@output_option
@with_client
def status(name: str, output: str, client: OperatorClient) -> None:
    """Show at which entries the template NAME is in force."""
    response = client.call("GET", f"/templates/{name}/status")
    print_data(response, output, response["entries"])


def _publish(
    client: OperatorClient,
    content: TemplateFile,
    base: int,
    wait: float,
    record_id: str | None,
    output: str,
) -> None:
    body = {
        "parameters": content.parameters.model_dump(mode="json", exclude_none=True),
        "base_revision": base,
    }
    path = f"/templates/{content.name}"
    response = send_change(client, "POST", path, body, wait, record_id)
    print_data(response, output)
    check_in_force(response, wait)


def _rows(values: dict[str, Any]) -> list[dict[str, Any]]:
    return [{"key": key, "value": value} for key, value in values.items()]
