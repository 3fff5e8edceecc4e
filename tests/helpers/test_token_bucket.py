"""Test the rate and burst limits of a token bucket."""

from __future__ import annotations

import pytest

from mustardward.helpers.token_bucket import TokenBucket

RATE = 10.0
CAPACITY = 5.0


def test_available_tokens_can_be_taken_at_once() -> None:
    bucket = TokenBucket(CAPACITY, 100.0)
    assert [bucket.try_take() for _ in range(6)] == [True] * 5 + [False]


def test_refill_stops_at_the_capacity() -> None:
    bucket = TokenBucket(0.0, 100.0)
    bucket.refill(100.25, RATE, CAPACITY)
    assert bucket.left == 2.5
    bucket.refill(200.0, RATE, CAPACITY)
    assert bucket.left == CAPACITY


def test_earlier_time_adds_no_tokens() -> None:
    bucket = TokenBucket(0.0, 100.0)
    bucket.refill(100.1, RATE, CAPACITY)
    bucket.refill(99.0, RATE, CAPACITY)
    bucket.refill(100.1, RATE, CAPACITY)
    assert bucket.left == pytest.approx(1.0)
