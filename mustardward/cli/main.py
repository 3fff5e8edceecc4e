"""Gather the commands; each loads its module only when it is called."""

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
    """Import a command's module at its first use.

    An entry process then never holds the memory of commands it does not run.
    """

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names of all commands."""
        return sorted(COMMANDS)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Return one command, or nothing for an unknown name."""
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
