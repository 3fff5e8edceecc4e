"""Test the command group."""

from __future__ import annotations

import pytest
from click.testing import CliRunner

from mustardward.cli.main import COMMANDS, main


@pytest.mark.parametrize("name", sorted(COMMANDS))
def test_each_command_has_help(name: str) -> None:
    result = CliRunner().invoke(main, [name, "--help"])
    assert result.exit_code == 0
    assert f"main {name}" in result.output


def test_register_is_a_pool_command() -> None:
    """Guard against an unreachable ``pool register``.

    The command and its group are defined in different modules.
    """
    result = CliRunner().invoke(main, ["pool", "--help"])
    assert "register" in result.output
