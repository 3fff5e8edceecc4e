"""Find every command."""

from __future__ import annotations

import pytest
from click.testing import CliRunner

from mustardward.cli.main import COMMANDS, main


@pytest.mark.parametrize("name", sorted(COMMANDS))
def test_each_command_explains_itself(name: str) -> None:
    result = CliRunner().invoke(main, [name, "--help"])
    assert result.exit_code == 0
    assert f"main {name}" in result.output


def test_pools_are_registered_under_pool() -> None:
    """Reach the registration from the command line.

    Symptom: `pool register` is an unknown command. Sequence: follow the first pages.
    Cause: two modules wrote the command and its group, and none joined them.
    """
    result = CliRunner().invoke(main, ["pool", "--help"])
    assert "register" in result.output
