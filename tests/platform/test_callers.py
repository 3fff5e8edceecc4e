"""Test the decoding of callers' headers."""

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
def test_api_key_follows_its_scheme(header: str, key: str) -> None:
    assert decode_key(header) == key
