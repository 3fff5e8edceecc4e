"""Submit, watch, cancel and retry long jobs."""

from __future__ import annotations

import base64
import secrets
from pathlib import Path
from typing import Any

import click

from .client import OperatorClient, with_client
from .exit_codes import OutcomeUnknownError
from .output import output_option, print_data
from .records import FILE_TYPE


@click.group()
def command() -> None:
    """Submit, watch, cancel and retry long jobs."""


def _print_outcome(response: dict[str, Any], output: str, line: str) -> None:
    """Print a response as JSON, or its one-line summary."""
    if output == "json":
        print_data(response, output)
        return
    click.echo(line)


def _submit_options(function: Any) -> Any:
    for option in (
        click.option("--payload", type=FILE_TYPE, help="File that holds the payload."),
        click.option("--id", "job_id", help="Id; the same id is accepted once."),
        click.option("--group", default="", help="Name to cancel many jobs by."),
        click.option(
            "--idempotent/--not-idempotent",
            default=True,
            show_default=True,
            help="Whether it may run twice without harm.",
        ),
        click.option("--cores", default=1, show_default=True),
        click.option("--memory", default=1, show_default=True, help="Gigabytes."),
        click.option("--accelerators", default=0, show_default=True),
        click.option(
            "--seconds", default=60.0, show_default=True, help="Expected run time."
        ),
    ):
        function = option(function)
    return function


@command.command()
@click.argument("organisation")
@click.argument("service")
@_submit_options
@output_option
@with_client
def submit(
    organisation: str,
    service: str,
    payload: Path | None,
    job_id: str | None,
    group: str,
    idempotent: bool,
    cores: int,
    memory: int,
    accelerators: int,
    seconds: float,
    output: str,
    client: OperatorClient,
) -> None:
    """Submit a job for a SERVICE of an ORGANISATION; print its id once accepted."""
    content = payload.read_bytes() if payload else b""
    # The ID is generated before the first attempt, so a repetition after a lost
    # response submits the same job, not a second one.
    identity = job_id or secrets.token_hex(16)
    body = {
        "organisation": organisation,
        "service": service,
        "payload": base64.b64encode(content).decode(),
        "base64": True,
        "job_id": identity,
        "group": group,
        "idempotent": idempotent,
        "cores": cores,
        "memory_gigabytes": memory,
        "accelerators": accelerators,
        "declared_seconds": seconds,
    }
    try:
        response = client.call("POST", "/jobs", body=body)
    except OutcomeUnknownError as error:
        raise OutcomeUnknownError(
            f"{error.message}\nrepeat with --id {identity}"
        ) from error
    line = f"job={response['job_id']} status={response['status']}"
    _print_outcome(response, output, line)


@command.command()
@click.argument("job_id")
@output_option
@with_client
def status(job_id: str, output: str, client: OperatorClient) -> None:
    """Show where the job JOB_ID is."""
    print_data(client.call("GET", f"/jobs/{job_id}"), output)


@command.command()
@click.argument("job_id")
@click.option("--output-file", type=FILE_TYPE, help="Write the result here.")
@with_client
def result(
    job_id: str,
    output_file: Path | None,
    client: OperatorClient,
) -> None:
    """Print the result of the job JOB_ID, once it is done."""
    response = client.call("GET", f"/jobs/{job_id}/result")
    if response["status"] != "done":
        raise click.ClickException(f"job={job_id} status={response['status']}")
    content = base64.b64decode(response["result_base64"])
    if output_file:
        output_file.write_bytes(content)
    else:
        click.echo(content, nl=False)


@command.command()
@click.argument("job_id", required=False)
@click.option("--organisation", help="With --group: whose group.")
@click.option("--group", help="Cancel all unfinished jobs of this group.")
@output_option
@with_client
def cancel(
    job_id: str | None,
    organisation: str | None,
    group: str | None,
    output: str,
    client: OperatorClient,
) -> None:
    """Cancel the job JOB_ID, or a whole group of an organisation."""
    if job_id and not group:
        response = client.call("POST", f"/jobs/{job_id}/cancel")
        _print_outcome(response, output, f"job={job_id} status={response['status']}")
        return
    if job_id or not (group and organisation):
        raise click.UsageError("give JOB_ID, or --organisation and --group")
    body = {"organisation": organisation, "group": group}
    response = client.call("POST", "/job-groups/cancel", body=body)
    _print_outcome(response, output, f"group={group} {response['note']}")


@command.command()
@click.argument("job_id")
@output_option
@with_client
def retry(job_id: str, output: str, client: OperatorClient) -> None:
    """Let the parked or held job JOB_ID run again.

    A held job may have run. Make sure that it did not, or that a second run does no
    harm, before you retry it.
    """
    response = client.call("POST", f"/jobs/{job_id}/retry")
    _print_outcome(response, output, f"job={job_id} status={response['status']}")


@command.command(name="list")
@output_option
@with_client
def list_jobs(output: str, client: OperatorClient) -> None:
    """List the parked and held jobs, which wait for an operator."""
    response = client.call("GET", "/jobs")
    names = ("job_id", "status", "attempts", "failed_workers", "reason")
    rows = [{name: job[name] for name in names} for job in response["stuck"]]
    print_data(response, output, rows)
