"""Test the exit code of an entry that can't start."""

from __future__ import annotations

import socket
from pathlib import Path

import pytest
from click.testing import CliRunner

from mustardward.cli.main import main

SETTINGS = """\
entry: {{name: entry-1, data_centre: dc-a, leaving_seconds: 0.0}}
callers: {{port: {port}}}
operators: {{listen: {{port: 0}}, token_file: {token}}}
platform: {{url: "http://127.0.0.1:1"}}
"""


def test_missing_token_file_fails_the_start(tmp_path: Path) -> None:
    """Guard against an unprotected operators' API if the token file is missing.

    Anyone could then revise templates.
    """
    file = tmp_path / "entry.yaml"
    file.write_text(SETTINGS.format(port=0, token=tmp_path / "none"))
    assert CliRunner().invoke(main, ["serve", str(file)]).exit_code == 1


def test_address_in_use_fails_the_start(tmp_path: Path) -> None:
    token = tmp_path / "token"
    token.write_text("a-token-of-good-length")
    with socket.create_server(("127.0.0.1", 0)) as taken:
        file = tmp_path / "entry.yaml"
        file.write_text(SETTINGS.format(port=taken.getsockname()[1], token=token))
        assert CliRunner().invoke(main, ["serve", str(file)]).exit_code == 1


@pytest.mark.parametrize("text", ["entry: [", "entry: 4"])
def test_invalid_settings_fail_the_start(tmp_path: Path, text: str) -> None:
    file = tmp_path / "entry.yaml"
    file.write_text(text)
    started = CliRunner().invoke(main, ["serve", str(file)])
    assert started.exit_code == 1
    assert str(file) in started.output
