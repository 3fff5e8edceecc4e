"""Test the decoding of callers' headers."""

from __future__ import annotations

import pytest

from mustardward.platform.callers import (
    MAX_GANG_MEMBERS,
    MAX_KEY_LENGTH,
    decode_job,
    decode_key,
)
from mustardward.platform.exceptions import MalformedJobError


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


@pytest.mark.parametrize("count", [1, MAX_GANG_MEMBERS, MAX_GANG_MEMBERS + 1])
def test_gang_that_can_not_start_together_is_malformed(count: int) -> None:
    """Guard against gangs that take an owner longer to start than its authority."""
    steps = b'[{"count":1},{"count":%d,"gang":true}]' % count
    body = b'{"spec":"work","steps":%b}' % steps
    if count <= MAX_GANG_MEMBERS:
        assert decode_job(body).steps[1].count == count
        return
    with pytest.raises(MalformedJobError, match=r"steps\[1\]"):
        decode_job(body)
