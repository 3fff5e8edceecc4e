"""Register pools and their initial workers."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import click

from .client import OperatorClient, with_client
from .exit_codes import RefusedError
from .files import PoolsFile, read_file
from .output import output_option, print_data
from .records import FILE_TYPE

INSTANCES_PER_REQUEST = 1000


@click.command()
@click.argument("file", type=FILE_TYPE)
@output_option
@with_client
def register(file: Path, output: str, client: OperatorClient) -> None:
    """Register the pools and workers in FILE; a second run changes nothing."""
    content = read_file(file, PoolsFile)
    outcomes = register_pools(client, content)
    print_data(outcomes, output)
    refused = [item for item in outcomes if "error" in item]
    if refused:
        raise RefusedError(f"refused: {len(refused)} of {len(outcomes)} instances")


def register_pools(client: OperatorClient, content: PoolsFile) -> list[dict[str, Any]]:
    """Register the pools and instances; return the outcome of each instance."""
    for pool in content.pools:
        client.call("PUT", f"/pools/{pool}")
    instances = [item.model_dump() for item in content.instances()]
    outcomes: list[dict[str, Any]] = []
    for start in range(0, len(instances), INSTANCES_PER_REQUEST):
        body = {"instances": instances[start : start + INSTANCES_PER_REQUEST]}
        outcomes += client.call("POST", "/instances", body=body)["outcomes"]
    return outcomes
