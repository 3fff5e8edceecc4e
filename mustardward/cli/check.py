"""Validate a settings file."""

from __future__ import annotations

import sys
from pathlib import Path

import click

from ..settings.loader import SettingsFaultsError, load_settings


@click.command("check")
@click.argument("settings_file", type=click.Path(path_type=Path), required=False)
@click.option("--reference", is_flag=True, help="Print the reference of all keys.")
def command(settings_file: Path | None, reference: bool) -> None:
    """Validate SETTINGS_FILE and print a line for each fault.

    Exit codes: 0 without faults, 1 with any, 2 for a wrong command line.
    """
    if reference:
        from ..settings.reference import settings_reference

        click.echo(settings_reference(), nl=False)
        return
    if settings_file is None:
        raise click.UsageError("SETTINGS_FILE or --reference is needed")
    _check(settings_file)


def _check(settings_file: Path) -> None:
    try:
        load_settings(settings_file)
    except SettingsFaultsError as error:
        for fault in error.faults:
            click.echo(str(fault))
        sys.exit(1)
    click.echo(f"{settings_file}: no faults")
