"""Test the sizing of pools on replayed demand peaks, beside its baselines."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from bench.pool_sizing import CASES, baselines, replay
from mustardward.helpers.policies import switch_off

NAMES = [case.name for case in CASES]
SEEDS = range(2)
POLICY = "pools-look-ahead"


@pytest.fixture(autouse=True)
def all_policies() -> Iterator[None]:
    """Enable all policies again after a test."""
    yield
    switch_off(())


@pytest.mark.parametrize("name", ["halfway", "rack"])
def test_a_peak_needs_fewer_instances_and_is_on_time(name: str) -> None:
    """Guard against instances that stay on after a peak, and against late jobs."""
    case = NAMES.index(name)
    seconds = dict.fromkeys(("known", "threshold", "planned", "before"), 0.0)
    shares = dict(seconds)
    for seed in SEEDS:
        known, threshold = baselines(case, seed, 0.3)
        planned = replay(case, seed, 0.3, ())
        before = replay(case, seed, 0.3, (POLICY,))
        played = (known, threshold, planned, before)
        for planner, figures in zip(seconds, played, strict=True):
            seconds[planner] += figures.seconds
            shares[planner] += figures.share / len(SEEDS)
    assert seconds["planned"] <= 1.3 * seconds["known"]
    assert seconds["planned"] < min(seconds["before"], seconds["threshold"])
    assert shares["planned"] >= max(0.95, shares["threshold"])
    assert shares["planned"] >= shares["before"] - 0.002
