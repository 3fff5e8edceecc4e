"""Test loading of valid and invalid settings files."""

from __future__ import annotations

from pathlib import Path

import pytest
from click.testing import CliRunner

from mustardward.cli.main import main
from mustardward.settings.loader import SettingsFaultsError, parse_settings

GOOD = """\
entry: {name: entry-1, data_centre: vestland-1}
callers: {port: 8080}
platform: {url: "http://127.0.0.1:9000"}
"""


def find_faults(text: str) -> list[tuple[int, str]]:
    with pytest.raises(SettingsFaultsError) as caught:
        parse_settings(text, "entry.yaml")
    return [(fault.line, fault.key) for fault in caught.value.faults]


def test_good_settings_are_read() -> None:
    settings = parse_settings(GOOD, "entry.yaml")
    assert (settings.entry.name, settings.callers.port) == ("entry-1", 8080)


def test_all_faults_are_listed_at_once_with_their_lines() -> None:
    text = """\
entry:
  name: Entry One
  data_centre: vestland-1
callers:
  port: 99999
  colour: red
peers:
  - {name: entry-2, data_centre: vestland-1, host: 10.0.0.2, port: 0}
limits: {body_bytes: many}
"""
    assert find_faults(text) == [
        (1, "platform"),
        (2, "entry.name"),
        (5, "callers.port"),
        (6, "callers.colour"),
        (8, "peers.0.port"),
        (9, "limits.body_bytes"),
    ]


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("entry: [1\ncallers: 2\n", [(2, "")]),
        ("entry: &a [*a\n", [(2, "")]),
        ("just words\n", [(1, "")]),
        ("", [(1, "")]),
        (GOOD + "callers: {port: 8081}\n", [(4, "callers")]),
        ("\x00", [(0, "")]),
        ("? [a, b]\n: 1\n", [(1, "")]),
    ],
)
def test_malformed_files_give_faults_and_no_traceback(
    text: str, expected: list[tuple[int, str]]
) -> None:
    assert find_faults(text) == expected


def test_check_prints_a_line_for_each_fault_and_sets_its_exit_code(
    tmp_path: Path,
) -> None:
    file = tmp_path / "entry.yaml"
    file.write_text(GOOD)
    good = CliRunner().invoke(main, ["check", str(file)])
    file.write_text(GOOD + "colour: red\n")
    bad = CliRunner().invoke(main, ["check", str(file)])
    missing = CliRunner().invoke(main, ["check", str(tmp_path / "none.yaml")])
    assert (good.exit_code, bad.exit_code, missing.exit_code) == (0, 1, 1)
    assert bad.output == (
        f"{file}:4: colour: no such key; see the settings reference\n"
    )
    assert "readable" in missing.output


def test_the_reference_page_is_the_one_that_the_models_give() -> None:
    page = Path(__file__).parents[2] / "docs" / "operators" / "settings.md"
    printed = CliRunner().invoke(main, ["check", "--reference"])
    assert printed.output == page.read_text(encoding="utf-8")
