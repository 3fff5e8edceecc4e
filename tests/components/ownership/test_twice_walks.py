"""Check that no task runs twice under any sequence of allowed faults."""

from __future__ import annotations

import pytest

from .twice_mutants import MUTANTS
from .twice_walk import find_violations

SEEDS = (0, 1, 2, 5, 17)

FOUND_BY = {
    "no-hold-after-a-takeover": 0,
    "a-takeover-waits-for-nobody": 1,
    "a-start-without-answer-was-none": 1,
    "leases-of-previous-owners-are-forgotten": 5,
    "no-fence": 17,
    "an-unresponsive-worker-is-lost": 0,
    "ends-are-acknowledged-unstored": 2,
}
"""A seed that finds each mutant."""


@pytest.mark.parametrize("seed", SEEDS)
def test_no_task_runs_twice_under_allowed_faults(seed: int) -> None:
    """Guard against two live runs of a task, and a start after its noted end."""
    assert not find_violations(seed)


@pytest.mark.parametrize("name", FOUND_BY)
def test_walk_finds_each_mutant(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guard against walks that can't detect a missing guard."""
    MUTANTS[name](monkeypatch)
    assert find_violations(FOUND_BY[name])
