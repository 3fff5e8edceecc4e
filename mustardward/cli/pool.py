"""Look at pools and move instances between them."""

from __future__ import annotations

from pathlib import Path

import click

from .client import make_client, operator_options
from .output import output_option, print_data
from .records import record_option, send_record
from .registration import register
from .wave import print_sections


@click.group()
def command() -> None:
    """Look at pools and move instances between them."""


command.add_command(register)


@command.command("list")
@output_option
@operator_options
def list_pools(
    output: str, server: str, token_file: Path | None, authority: str
) -> None:
    """List the pools."""
    client = make_client(server, token_file, authority)
    print_data(client.call("GET", "/pools"), output)


@command.command()
@click.argument("name")
@output_option
@operator_options
def show(
    name: str, output: str, server: str, token_file: Path | None, authority: str
) -> None:
    """Show the pool NAME with its budgets, moves and instances."""
    client = make_client(server, token_file, authority)
    found = client.call("GET", f"/pools/{name}")
    print_sections(found, output, ("budgets", "moves", "instances"))


@command.command()
@click.argument("instance")
@click.argument("target")
@click.option("--base", type=int, help="Ownership generation that was seen.")
@record_option
@output_option
@operator_options
def move(
    instance: str,
    target: str,
    base: int | None,
    record_id: str | None,
    output: str,
    server: str,
    token_file: Path | None,
    authority: str,
) -> None:
    """Move INSTANCE to the pool TARGET once every entry has given it up."""
    body = {"instance_id": instance, "target": target, "base_generation": base}
    client = make_client(server, token_file, authority)
    print_data(send_record(client, "POST", "/moves", body, record_id), output)


@command.command("cancel-move")
@click.argument("move_id")
@record_option
@output_option
@operator_options
def cancel_move(
    move_id: str,
    record_id: str | None,
    output: str,
    server: str,
    token_file: Path | None,
    authority: str,
) -> None:
    """Cancel the move MOVE_ID; the instance stays in its pool."""
    client = make_client(server, token_file, authority)
    path = f"/moves/{move_id}/cancel"
    print_data(send_record(client, "POST", path, {}, record_id), output)
