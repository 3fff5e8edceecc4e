"""Send changes under a record id that an operator can repeat."""

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
    """Add ``--record-id``, given as ``record_id``."""
    return click.option(
        "--record-id",
        help="Id of an earlier try of the same change, whose fate is unknown.",
    )(function)


def change_options(function: FunctionT) -> FunctionT:
    """Add ``--wait`` and ``--record-id``, given as ``wait`` and ``record_id``."""
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
    """Return the answer to a change, waiting until it is in force.

    :raises OutcomeUnknownError: naming the record id to repeat the change under.
    """
    return send_record(client, method, path, {**body, "wait_seconds": wait}, record_id)


def send_record(
    client: OperatorClient,
    method: str,
    path: str,
    body: dict[str, Any],
    record_id: str | None,
) -> Any:
    """Return the answer to a change that needs no waiting for.

    :raises OutcomeUnknownError: naming the record id to repeat the change under.
    """
    # The id is drawn before the first try. A repetition under a new id would be a
    # second wish, and meet the first one as a conflict with oneself.
    identity = record_id or secrets.token_hex(16)
    full = {**body, "record_id": identity}
    try:
        answer = client.call(method, path, body=full)
    except OutcomeUnknownError as error:
        hint = f"repeat with --record-id {identity}"
        raise OutcomeUnknownError(f"{error.message}\n{hint}") from error
    return answer


def check_in_force(answer: dict[str, Any], wait: float) -> None:
    """End with "outcome unknown" if entries were still behind after the wait.

    :raises OutcomeUnknownError: naming them.
    """
    if wait > 0 and not answer.get("in_force"):
        behind = ", ".join(answer.get("behind", []))
        raise OutcomeUnknownError(f"accepted, not yet in force at: {behind}")


FILE_TYPE = click.Path(path_type=Path, dir_okay=False)
