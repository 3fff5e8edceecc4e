"""Test what callers send beside their jobs."""

from __future__ import annotations

import pytest

from mustardward.platform.callers import MOST_KEY_LENGTH, decode_key


@pytest.mark.parametrize(
    ("header", "key"),
    [
        ("Token abc", "abc"),
        ("token  abc ", "abc"),
        ("", ""),
        ("Token", ""),
        ("abc", ""),
        ("Bearer abc", ""),
        ("Token " + "x" * MOST_KEY_LENGTH, "x" * MOST_KEY_LENGTH),
        ("Token " + "x" * (MOST_KEY_LENGTH + 1), ""),
    ],
)
def test_a_key_stands_behind_its_scheme(header: str, key: str) -> None:
    assert decode_key(header) == key
