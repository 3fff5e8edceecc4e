"""Send changes with a record ID, which makes them safe to repeat."""

from __future__ import annotations

import secrets
from collections.abc import Callable
from pathlib import Path
from typing import Any, TypeVar

import click

from .client import OperatorClient
from .exit_codes import OutcomeUnknownError

FunctionT = TypeVar("FunctionT", bound=Callable[..., Any])


def record_option(function: FunctionT) -> FunctionT:
    """Add ``--record-id``, passed as ``record_id``."""
    return click.option(
        "--record-id",
        help="Id of an earlier try of the same change, whose fate is unknown.",
    )(function)


def change_options(function: FunctionT) -> FunctionT:
    """Add ``--wait`` and ``--record-id``, passed as ``wait`` and ``record_id``."""
    return click.option(
        "--wait",
        default=5.0,
        show_default=True,
        type=click.FloatRange(0, 60),
        help="Seconds to wait until the change is in force at every live entry.",
    )(record_option(function))


def send_change(
    client: OperatorClient,
    method: str,
    path: str,
    body: dict[str, Any],
    wait: float,
    record_id: str | None,
) -> Any:
    """Send a change, wait until it is in force, and return the response.

    :raises OutcomeUnknownError: with the record ID to repeat the change with.
    """
    return send_record(client, method, path, {**body, "wait_seconds": wait}, record_id)


def send_record(
    client: OperatorClient,
    method: str,
    path: str,
    body: dict[str, Any],
    record_id: str | None,
) -> Any:
    """Send a change without waiting for it to take effect, and return the response.

    :raises OutcomeUnknownError: with the record ID to repeat the change with.
    """
    # The ID is generated before the first attempt. A repetition with a new ID would be
    # a separate change, and conflict with the first one.
    identity = record_id or secrets.token_hex(16)
    full = {**body, "record_id": identity}
    try:
        response = client.call(method, path, body=full)
    except OutcomeUnknownError as error:
        hint = f"repeat with --record-id {identity}"
        raise OutcomeUnknownError(f"{error.message}\n{hint}") from error
    return response


def check_in_force(response: dict[str, Any], wait: float) -> None:
    """Check that a change is in force at every entry after waiting.

    :raises OutcomeUnknownError: with the entries where it is not.
    """
    if wait > 0 and not response.get("in_force"):
        behind = ", ".join(response.get("behind", []))
        raise OutcomeUnknownError(f"accepted, not yet in force at: {behind}")


FILE_TYPE = click.Path(path_type=Path, dir_okay=False)
