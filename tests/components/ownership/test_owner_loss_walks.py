"""Check that no task runs twice when the owner is lost under load."""

from __future__ import annotations

import pytest

from .owner_loss_walk import find_violations
from .twice_mutants import MUTANTS

SEEDS = (20009, 30006)

FOUND_BY = {
    "data-centres-of-a-job-are-not-awaited": 1,
    "ends-are-acknowledged-unstored": 0,
    "lost-runs-are-repeated-unconfirmed": 30006,
}
"""The seed that finds each mutant."""


@pytest.mark.parametrize("seed", SEEDS)
def test_no_task_runs_twice_when_the_owner_is_lost(seed: int) -> None:
    """Guard against two live runs of a task, and a start after its noted end."""
    assert not find_violations(seed)


@pytest.mark.parametrize("name", FOUND_BY)
def test_walk_finds_each_mutant(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guard against walks that can't detect a missing guard."""
    MUTANTS[name](monkeypatch)
    assert find_violations(FOUND_BY[name])
