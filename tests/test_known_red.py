"""Test that only the tests listed in KNOWN-RED.txt are expected to fail."""

from __future__ import annotations

from .conftest import read_known_red


def test_an_entry_matches_exactly_one_test_id() -> None:
    text = "tests/a.py::test_b | pytest, seed 1 | seen | issue 3\n\n"
    assert list(read_known_red(text)) == ["tests/a.py::test_b"]


def test_an_empty_list_expects_no_failures() -> None:
    assert read_known_red("\n") == {}
