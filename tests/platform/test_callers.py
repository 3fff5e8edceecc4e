"""Test what callers send beside their jobs."""

from __future__ import annotations

import pytest

from mustardward.platform.callers import MAX_KEY_LENGTH, decode_key


@pytest.mark.parametrize(
    ("header", "key"),
    [
        ("Token abc", "abc"),
        ("token  abc ", "abc"),
        ("", ""),
        ("Token", ""),
        ("abc", ""),
        ("Bearer abc", ""),
        ("Token " + "x" * MAX_KEY_LENGTH, "x" * MAX_KEY_LENGTH),
        ("Token " + "x" * (MAX_KEY_LENGTH + 1), ""),
    ],
)
def test_a_key_stands_behind_its_scheme(header: str, key: str) -> None:
    assert decode_key(header) == key
