"""Say by the exit code what happened to a change.

``docs/operators/exit-codes.md`` tells operators what to do after each.
"""

from __future__ import annotations

from typing import Final

import click

REFUSED: Final = 1
USAGE: Final = 2
UNREACHABLE: Final = 3
OUTCOME_UNKNOWN: Final = 4


class RefusedError(click.ClickException):
    """End because the call was refused; nothing changed."""

    exit_code = REFUSED


class UnreachableError(click.ClickException):
    """End because nobody could take the call; nothing changed."""

    exit_code = UNREACHABLE


class OutcomeUnknownError(click.ClickException):
    """End although the change may have taken effect."""

    exit_code = OUTCOME_UNKNOWN
