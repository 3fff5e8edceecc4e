"""Define exit codes that state what happened to a change.

``docs/operators/exit-codes.md`` describes what to do after each of them.
"""

from __future__ import annotations

from typing import Final

import click

REFUSED: Final = 1
USAGE: Final = 2
UNREACHABLE: Final = 3
OUTCOME_UNKNOWN: Final = 4


class RefusedError(click.ClickException):
    """Exit because the request was refused; nothing changed."""

    exit_code = REFUSED


class UnreachableError(click.ClickException):
    """Exit because the request was not processed; nothing changed."""

    exit_code = UNREACHABLE


class OutcomeUnknownError(click.ClickException):
    """Exit without knowing whether the change took effect."""

    exit_code = OUTCOME_UNKNOWN
