"""Validate a settings file."""

from __future__ import annotations

import sys
from pathlib import Path

import click

from ..settings.loader import SettingsFaultsError, load_settings


@click.command("check")
@click.argument("settings_file", type=click.Path(path_type=Path))
def command(settings_file: Path) -> None:
    """Validate SETTINGS_FILE and print a line for each fault.

    Exit codes: 0 without faults, 1 with any.
    """
    try:
        load_settings(settings_file)
    except SettingsFaultsError as error:
        for fault in error.faults:
            click.echo(str(fault))
        sys.exit(1)
    click.echo(f"{settings_file}: no faults")
