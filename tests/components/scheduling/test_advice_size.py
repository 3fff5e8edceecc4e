"""Test how many workers a request for advice names."""

from __future__ import annotations

from math import comb

import pytest

from mustardward.components.scheduling.advice_size import AllowedShare, count_to_name
from mustardward.platform.models import QueueAdvice

ADVICE = QueueAdvice(decide_ms=200, period_ms=20, valid_ms=3000)


def expected_seconds(needed: int, count: int, share: float) -> float:
    """Return the seconds of a call over the probability that it suffices."""
    suffices = sum(
        comb(count, k) * share**k * (1 - share) ** (count - k)
        for k in range(needed, count + 1)
    )
    return (0.2 + 0.02 * count) / suffices


@pytest.mark.parametrize("needed", [1, 2, 5])
@pytest.mark.parametrize("share", [0.2, 0.5, 0.75])
def test_the_expected_time_is_the_shortest_one(needed: int, share: float) -> None:
    chosen = count_to_name(needed, 60, share, ADVICE)
    best = min(expected_seconds(needed, n, share) for n in range(needed, 61))
    assert expected_seconds(needed, chosen, share) == pytest.approx(best)


def test_all_workers_are_named_if_they_cost_no_time() -> None:
    assert count_to_name(1, 60, 0.5, QueueAdvice(decide_ms=200)) == 60


@pytest.mark.parametrize("share", [0.0, 1e-9, 1.0])
def test_extreme_shares_name_a_possible_number(share: float) -> None:
    """Guard against a division by zero once nothing was allowed for long."""
    assert 1 <= count_to_name(1, 60, share, ADVICE) <= 60
    assert count_to_name(5, 3, share, ADVICE) == 3


def test_share_follows_the_answers() -> None:
    share = AllowedShare()
    assert share.value == 0.5
    for _ in range(200):
        share.record(3, 4)
    assert share.value == pytest.approx(0.75, abs=0.01)
    for _ in range(400):
        share.record(0, 4)
    assert share.value < 0.1
