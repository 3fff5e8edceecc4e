"""Define the command group, which loads the module of a command on first use."""

from __future__ import annotations

from importlib import import_module
from typing import Final

import click

from .. import __version__

COMMANDS: Final[dict[str, str]] = {
    "check": "check",
    "demo": "demo",
    "explain": "explain",
    "job": "job",
    "load": "load",
    "organisation": "organisation",
    "platform": "platform",
    "pool": "pool",
    "report": "report",
    "serve": "serve",
    "template": "template",
    "wave": "wave",
    "worker": "worker",
}
"""Module of ``cli`` for each command; the module's ``command`` is the click object."""


class LazyGroup(click.Group):
    """Import the module of a command on first use.

    This keeps the modules of other commands out of the memory of an entry process.
    """

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names of all commands."""
        return sorted(COMMANDS)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Return a command, or ``None`` if the name is unknown."""
        module = COMMANDS.get(cmd_name)
        if module is None:
            return None
        loaded = import_module(f".{module}", package=__package__)
        command: click.Command = loaded.command
        return command


@click.group(cls=LazyGroup)
@click.version_option(__version__)
def main() -> None:
    """Manage fleet capacity and maintenance."""
