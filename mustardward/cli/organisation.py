"""Create, show, list and remove organisations."""

from __future__ import annotations

from pathlib import Path

import click

from .client import OperatorClient, with_client
from .files import OrganisationEntry, OrganisationsFile, read_file
from .output import output_option, print_data
from .records import FILE_TYPE, change_options, check_in_force, send_change


@click.group()
def command() -> None:
    """Create, show, list and remove organisations."""


@command.command()
@click.argument("name", required=False)
@click.option("--template", help="Template of the organisation NAME.")
@click.option("--file", type=FILE_TYPE, help="YAML file with organisations.")
@click.option("--base", default=0, help="Revision to replace; 0 for a new one.")
@change_options
@output_option
@with_client
def create(
    name: str | None,
    template: str | None,
    file: Path | None,
    base: int,
    wait: float,
    record_id: str | None,
    output: str,
    client: OperatorClient,
) -> None:
    """Create the organisation NAME from --template, or all of --file."""
    entries = _read_entries(name, template, file)
    if record_id is not None and len(entries) != 1:
        raise click.UsageError("--record-id belongs to one organisation")
    responses = []
    for entry in entries:
        body = {
            "template": entry.template,
            "overrides": entry.overrides.model_dump(mode="json", exclude_none=True),
            "base_revision": base,
        }
        path = f"/organisations/{entry.name}"
        response = send_change(client, "PUT", path, body, wait, record_id)
        responses.append({"name": entry.name, **response})
    print_data(responses, output)
    for response in responses:
        check_in_force(response, wait)


@command.command()
@click.argument("name")
@output_option
@with_client
def show(name: str, output: str, client: OperatorClient) -> None:
    """Show the organisation NAME with the parameters in force."""
    response = client.call("GET", f"/organisations/{name}")
    names = ("name", "template", "template_revision", "revision")
    shown = {key: response[key] for key in names} | response["parameters"]
    rows = [{"key": key, "value": value} for key, value in shown.items()]
    print_data(response, output, rows)


@command.command("list")
@output_option
@with_client
def list_all(output: str, client: OperatorClient) -> None:
    """List the organisations."""
    print_data(client.call("GET", "/organisations"), output)


@command.command()
@click.argument("name")
@click.option("--base", type=int, help="Revision that must be in force.")
@output_option
@with_client
def remove(
    name: str,
    base: int | None,
    output: str,
    client: OperatorClient,
) -> None:
    """Remove the organisation NAME."""
    query = {} if base is None else {"base_revision": str(base)}
    print_data(client.call("DELETE", f"/organisations/{name}", query=query), output)


def _read_entries(
    name: str | None, template: str | None, file: Path | None
) -> tuple[OrganisationEntry, ...]:
    if file is not None and name is None and template is None:
        return read_file(file, OrganisationsFile).organisations
    if file is None and name is not None and template is not None:
        return (OrganisationEntry(name=name, template=template),)
    raise click.UsageError("give NAME with --template, or --file alone")
