"""Start an entry that can't start."""

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


def test_a_missing_token_file_ends_the_start_with_a_code(tmp_path: Path) -> None:
    """Never run an operators' interface without the guard that was asked for.

    Symptom: anybody revises templates. Sequence: the token's file is missing at start.
    Cause: the entry goes on as if no token had been named.
    """
    file = tmp_path / "entry.yaml"
    file.write_text(SETTINGS.format(port=0, token=tmp_path / "none"))
    assert CliRunner().invoke(main, ["serve", str(file)]).exit_code == 1


def test_an_address_in_use_ends_the_start_with_a_code(tmp_path: Path) -> None:
    token = tmp_path / "token"
    token.write_text("a-token-of-good-length")
    with socket.create_server(("127.0.0.1", 0)) as taken:
        file = tmp_path / "entry.yaml"
        file.write_text(SETTINGS.format(port=taken.getsockname()[1], token=token))
        assert CliRunner().invoke(main, ["serve", str(file)]).exit_code == 1


@pytest.mark.parametrize("text", ["entry: [", "entry: 4"])
def test_bad_settings_end_the_start_with_a_code(tmp_path: Path, text: str) -> None:
    file = tmp_path / "entry.yaml"
    file.write_text(text)
    started = CliRunner().invoke(main, ["serve", str(file)])
    assert started.exit_code == 1
    assert str(file) in started.output
