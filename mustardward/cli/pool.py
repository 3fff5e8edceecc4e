"""Show pools and move instances between them."""

from __future__ import annotations

import click

from .client import OperatorClient, with_client
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
@with_client
def list_pools(output: str, client: OperatorClient) -> None:
    """List the pools."""
    print_data(client.call("GET", "/pools"), output)


@command.command()
@click.argument("name")
@output_option
@with_client
def show(name: str, output: str, client: OperatorClient) -> None:
    """Show the pool NAME with its budgets, moves and instances."""
    response = client.call("GET", f"/pools/{name}")
    print_sections(response, output, ("budgets", "moves", "instances"))


@command.command()
@click.argument("instance")
@click.argument("target")
@click.option("--base", type=int, help="Ownership generation that was seen.")
@record_option
@output_option
@with_client
def move(
    instance: str,
    target: str,
    base: int | None,
    record_id: str | None,
    output: str,
    client: OperatorClient,
) -> None:
    """Move INSTANCE to the pool TARGET once every entry has given it up."""
    body = {"instance_id": instance, "target": target, "base_generation": base}
    print_data(send_record(client, "POST", "/moves", body, record_id), output)


@command.command("cancel-move")
@click.argument("move_id")
@record_option
@output_option
@with_client
def cancel_move(
    move_id: str,
    record_id: str | None,
    output: str,
    client: OperatorClient,
) -> None:
    """Cancel the move MOVE_ID; the instance stays in its pool."""
    path = f"/moves/{move_id}/cancel"
    print_data(send_record(client, "POST", path, {}, record_id), output)
