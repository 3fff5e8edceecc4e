"""Plan, schedule, watch and steer maintenance waves."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import click

from .client import OperatorClient, make_client, operator_options


@click.group()
def command() -> None:
    """Plan, schedule, watch and steer maintenance waves."""


def _scope_options(function: Any) -> Any:
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
@click.option("--record-id", help="Id of an earlier try whose fate is unknown.")
@operator_options
def schedule(
    wave_id: str,
    pools: tuple[str, ...],
    instances: tuple[str, ...],
    canary: int,
    maximum_failures: int,
    not_before: float,
    record_id: str | None,
    server: str,
    token_file: Path | None,
    authority: str,
) -> None:
    """Schedule the wave WAVE_ID over all instances of some pools."""
    body = {
        "pools": pools,
        "instances": instances,
        "canary": canary,
        "maximum_failures": maximum_failures,
        "not_before": not_before,
        "record_id": record_id,
    }
    client = make_client(server, token_file, authority)
    answer = client.call("POST", f"/waves/{wave_id}", body=body)
    click.echo(f"wave={wave_id} revision={answer['revision']}")


@command.command()
@_scope_options
@click.option("--json", "as_json", is_flag=True, help="Print the whole plan as JSON.")
@operator_options
def plan(
    pools: tuple[str, ...],
    instances: tuple[str, ...],
    canary: int,
    as_json: bool,
    server: str,
    token_file: Path | None,
    authority: str,
) -> None:
    """Print what a wave would take when, and which budgets bind; changes nothing."""
    client = make_client(server, token_file, authority)
    body = {"pools": pools, "instances": instances, "canary": canary}
    found = client.call("POST", "/wave-plans", body=body)
    if as_json:
        click.echo(json.dumps(found, indent=2))
        return
    for line in format_plan(found):
        click.echo(line)


@command.command()
@click.argument("wave_id", required=False)
@operator_options
def status(
    wave_id: str | None, server: str, token_file: Path | None, authority: str
) -> None:
    """Show how far the wave WAVE_ID is, or list all waves."""
    client = make_client(server, token_file, authority)
    if wave_id is None:
        for line in client.call("GET", "/waves"):
            click.echo(_pairs(line))
        return
    for text in format_wave(client.call("GET", f"/waves/{wave_id}")):
        click.echo(text)


def _signal_command(signal: str, summary: str) -> None:
    @command.command(signal, help=summary)
    @click.argument("wave_id")
    @click.option("--reason", default="", help="Why, for explain.")
    @click.option("--base", type=int, help="Revision of the wave that was seen.")
    @operator_options
    def send(
        wave_id: str,
        reason: str,
        base: int | None,
        server: str,
        token_file: Path | None,
        authority: str,
    ) -> None:
        client = make_client(server, token_file, authority)
        _send(client, wave_id, signal, reason, base)


def _send(
    client: OperatorClient, wave_id: str, signal: str, reason: str, base: int | None
) -> None:
    body = {"reason": reason, "base_revision": base}
    answer = client.call("POST", f"/waves/{wave_id}/{signal}", body=body)
    click.echo(f"wave={wave_id} signal={signal} revision={answer['revision']}")


_signal_command("pause", "Begin nothing new in WAVE_ID; what is drained goes back.")
_signal_command("resume", "Let the paused wave WAVE_ID go on.")
_signal_command("cancel", "End WAVE_ID; what reboots comes back, the rest goes back.")


def format_plan(plan: dict[str, Any]) -> list[str]:
    """Return the lines for one plan."""
    lines = [
        f"{step['begins']:8.0f} s  {step['instance']}  pool={step['pool']}"
        f" until={step['ends']:.0f} moves={step['moves']}"
        for step in plan["steps"]
    ]
    lines.extend(f"binds  {_pairs(budget)}" for budget in plan["binding"])
    lines.extend(f"never  {name}" for name in plan["never"])
    lines.append(
        f"rollout_seconds={plan['rollout_seconds']:.0f}"
        f" bound={plan['rollout_bound_seconds']:.0f}"
        f" buffer_instances={plan['buffer_instances']} moves={plan['moves']}"
    )
    return lines


def format_wave(wave: dict[str, Any]) -> list[str]:
    """Return the lines for one wave."""
    plain = {key: value for key, value in wave.items() if not isinstance(value, list)}
    lines = [_pairs(plain)]
    lines.extend(f"claim  {_pairs(claim)}" for claim in wave["claims"])
    lines.extend(f"failed  {name}" for name in wave["failed_instances"])
    lines.extend(f"absent  {name}" for name in wave["pending_absent"])
    lines.extend(f"held back  {_pairs(budget)}" for budget in wave["held_back_by"])
    return lines


def _pairs(values: dict[str, Any]) -> str:
    return " ".join(f"{key}={value}" for key, value in values.items() if value != "")
