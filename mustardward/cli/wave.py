"""Plan, schedule, monitor and control maintenance waves."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, TypeVar

import click

from .client import OperatorClient, with_client
from .output import output_option, print_data
from .records import record_option, send_record

FunctionT = TypeVar("FunctionT", bound=Callable[..., Any])


@click.group()
def command() -> None:
    """Plan, schedule, watch and steer maintenance waves."""


def _scope_options(function: FunctionT) -> FunctionT:
    """Add ``--pool``, ``--instance`` and ``--canary``."""
    for option in (
        click.option(
            "--pool", "pools", multiple=True, required=True, help="May be repeated."
        ),
        click.option(
            "--instance",
            "instances",
            multiple=True,
            help="Only these; else all of the pools.",
        ),
        click.option("--canary", default=1, show_default=True, help="Instances first."),
    ):
        function = option(function)
    return function


@command.command()
@click.argument("wave_id")
@_scope_options
@click.option(
    "--maximum-failures", default=2, show_default=True, help="Failures that stop it."
)
@click.option("--not-before", default=0.0, help="Seconds since the epoch.")
@record_option
@output_option
@with_client
def schedule(
    wave_id: str,
    pools: tuple[str, ...],
    instances: tuple[str, ...],
    canary: int,
    maximum_failures: int,
    not_before: float,
    record_id: str | None,
    output: str,
    client: OperatorClient,
) -> None:
    """Schedule the wave WAVE_ID over all instances of some pools."""
    body = {
        "pools": pools,
        "instances": instances,
        "canary": canary,
        "maximum_failures": maximum_failures,
        "not_before": not_before,
    }
    response = send_record(client, "POST", f"/waves/{wave_id}", body, record_id)
    print_data(response, output)


@command.command()
@_scope_options
@output_option
@with_client
def plan(
    pools: tuple[str, ...],
    instances: tuple[str, ...],
    canary: int,
    output: str,
    client: OperatorClient,
) -> None:
    """Print what a wave would take when, and which budgets bind; changes nothing."""
    body = {"pools": pools, "instances": instances, "canary": canary}
    response = client.call("POST", "/wave-plans", body=body)
    print_sections(response, output, ("steps", "binding", "never"))


@command.command()
@click.argument("wave_id", required=False)
@output_option
@with_client
def status(
    wave_id: str | None,
    output: str,
    client: OperatorClient,
) -> None:
    """Show how far the wave WAVE_ID is, or list all waves."""
    if wave_id is None:
        print_data(client.call("GET", "/waves"), output)
        return
    response = client.call("GET", f"/waves/{wave_id}")
    print_sections(response, output, ("claims", "held_back_by"))


def _signal_command(signal: str, summary: str) -> None:
    @command.command(signal, help=summary)
    @click.argument("wave_id")
    @click.option("--reason", default="", help="Why, for explain.")
    @click.option("--base", type=int, help="Revision of the wave that was seen.")
    @record_option
    @output_option
    @with_client
    def send(
        wave_id: str,
        reason: str,
        base: int | None,
        record_id: str | None,
        output: str,
        client: OperatorClient,
    ) -> None:
        body = {"reason": reason, "base_revision": base}
        path = f"/waves/{wave_id}/{signal}"
        print_data(send_record(client, "POST", path, body, record_id), output)


_signal_command("pause", "Begin nothing new in WAVE_ID; what is drained goes back.")
_signal_command("resume", "Let the paused wave WAVE_ID go on.")
_signal_command("cancel", "End WAVE_ID; what reboots comes back, the rest goes back.")


def print_sections(
    response: dict[str, Any], output: str, sections: tuple[str, ...]
) -> None:
    """Print a response as a table of its plain values and one table per section."""
    if output == "json":
        print_data(response, output)
        return
    plain = {key: value for key, value in response.items() if key not in sections}
    print_data(plain, output)
    for name in sections:
        if response[name]:
            click.echo(f"\n{name}")
            print_data(response[name], output)
