"""Test that a rate is kept, and what it allows at once."""

from __future__ import annotations

import pytest

from mustardward.helpers.token_bucket import TokenBucket

RATE = 10.0
MOST = 5.0


def test_what_is_saved_up_may_be_taken_at_once_and_no_more() -> None:
    bucket = TokenBucket(MOST, 100.0)
    assert [bucket.try_take() for _ in range(6)] == [True] * 5 + [False]


def test_the_rate_fills_it_up_to_the_most() -> None:
    bucket = TokenBucket(0.0, 100.0)
    bucket.refill(100.25, RATE, MOST)
    assert bucket.left == 2.5
    bucket.refill(200.0, RATE, MOST)
    assert bucket.left == MOST


def test_a_time_that_lies_before_the_last_one_neither_adds_nor_counts_again() -> None:
    bucket = TokenBucket(0.0, 100.0)
    bucket.refill(100.1, RATE, MOST)
    bucket.refill(99.0, RATE, MOST)
    bucket.refill(100.1, RATE, MOST)
    assert bucket.left == pytest.approx(1.0)
