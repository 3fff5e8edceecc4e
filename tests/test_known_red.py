"""Test that only the tests which KNOWN-RED.txt names are passed over."""

from __future__ import annotations

from .conftest import read_known_red


def test_an_entry_names_one_test_in_full() -> None:
    text = "tests/a.py::test_b | pytest, seed 1 | seen | issue 3\n\n"
    assert list(read_known_red(text)) == ["tests/a.py::test_b"]


def test_an_empty_list_passes_over_nothing() -> None:
    assert read_known_red("\n") == {}
