"""Test that the replay of crashes finds the jobs that cause them, and no others."""

from __future__ import annotations

from dataclasses import replace

import pytest

from bench.crashes import CASES, Case
from bench.crashes import replay as play
from mustardward.components.scheduling.const import MAX_CRASHES

WAY = "apart, by evidence"
BY_NAME = {case.name: replace(case, seconds=12.0) for case in CASES}


@pytest.mark.parametrize("case", BY_NAME.values(), ids=BY_NAME)
def test_every_job_that_crashes_its_workers_is_given_up_in_time(case: Case) -> None:
    """Load: a half full pool, where each worker has a lasting task."""
    result = play(case, WAY, seed=1)
    assert len(result.told_after) == case.guilty
    assert result.taken_down <= MAX_CRASHES * case.guilty


@pytest.mark.parametrize(
    "name", ["one guilty job", "eight guilty jobs", "the pool crashes three times"]
)
def test_no_sound_job_is_given_up(name: str) -> None:
    """Load: jobs that crash their workers, or all workers at once, again and again."""
    assert play(BY_NAME[name], WAY, seed=1).sound_given_up == 0
