"""Look at pools and move instances between them."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import click

from .client import make_client, operator_options
from .registration import register


@click.group()
def command() -> None:
    """Look at pools and move instances between them."""


command.add_command(register)


@command.command("list")
@operator_options
def list_pools(server: str, token_file: Path | None, authority: str) -> None:
    """List the pools."""
    client = make_client(server, token_file, authority)
    for line in client.call("GET", "/pools"):
        click.echo(_pairs(line))


@command.command()
@click.argument("name")
@operator_options
def show(name: str, server: str, token_file: Path | None, authority: str) -> None:
    """Show the pool NAME with its instances, moves and budgets."""
    client = make_client(server, token_file, authority)
    for line in format_pool(client.call("GET", f"/pools/{name}")):
        click.echo(line)


@command.command()
@click.argument("instance")
@click.argument("target")
@click.option("--base", type=int, help="Ownership generation that was seen.")
@click.option("--record-id", help="Id of an earlier try whose fate is unknown.")
@operator_options
def move(
    instance: str,
    target: str,
    base: int | None,
    record_id: str | None,
    server: str,
    token_file: Path | None,
    authority: str,
) -> None:
    """Move INSTANCE to the pool TARGET once every entry has given it up."""
    body = {
        "instance_id": instance,
        "target": target,
        "base_generation": base,
        "record_id": record_id,
    }
    client = make_client(server, token_file, authority)
    answer = client.call("POST", "/moves", body=body)
    click.echo(f"move={answer['move']} instance={instance} target={target}")


@command.command("cancel-move")
@click.argument("move_id")
@operator_options
def cancel_move(
    move_id: str, server: str, token_file: Path | None, authority: str
) -> None:
    """Cancel the move MOVE_ID; the instance stays in its pool."""
    client = make_client(server, token_file, authority)
    answer = client.call("POST", f"/moves/{move_id}/cancel", body={})
    click.echo(f"move={move_id} cancelled revision={answer['revision']}")


def format_pool(pool: dict[str, Any]) -> list[str]:
    """Return the lines for one pool."""
    plain = {key: value for key, value in pool.items() if not isinstance(value, list)}
    lines = [_pairs(plain)]
    for name in ("budgets", "moves", "instances"):
        lines.extend(f"{name[:-1]}  {_pairs(item)}" for item in pool[name])
    return lines


def _pairs(values: dict[str, Any]) -> str:
    return " ".join(f"{key}={value}" for key, value in values.items() if value != "")
