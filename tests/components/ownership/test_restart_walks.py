"""Check that no task runs twice when restarted workers are soon cut off."""

from __future__ import annotations

import pytest

from .restart_walk import RestartWalk

MISDIRECTED = ("excessive-start", "excessive-renewal", "next-life")
"""Counts of calls that took effect in the next incarnation."""

SEEDS = (42, 117, 121)
LATE_START_SEEDS = (2, 9, 47, 55)
LATE_START_AFTER_END_SEED = 176


@pytest.mark.parametrize("seed", SEEDS)
def test_no_task_runs_twice_when_restarted_workers_are_cut_off(seed: int) -> None:
    """Guard against calls that reach the next incarnation of a worker."""
    walk = RestartWalk(seed)
    assert not walk.walk()
    assert any(walk.world.counts.get(name) for name in MISDIRECTED)


@pytest.mark.parametrize("seed", LATE_START_SEEDS)
def test_late_start_before_the_first_contact_does_not_run_beside_another(
    seed: int,
) -> None:
    """Guard against a start that the next incarnation carries out late."""
    walk = RestartWalk(seed)
    assert not walk.walk()
    assert walk.world.counts.get("next-life")


def test_late_start_before_the_first_contact_does_not_repeat_what_is_done() -> None:
    """Guard against a late start in the next incarnation after a run has ended done."""
    assert not RestartWalk(LATE_START_AFTER_END_SEED).walk()
