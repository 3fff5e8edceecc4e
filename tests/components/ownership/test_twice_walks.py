"""Check that no task runs twice under any sequence of allowed faults."""

from __future__ import annotations

import pytest

from .twice_mutants import MUTANTS
from .twice_walk import find_violations
from .twice_world import Faults

SEEDS = (0, 1, 4, 8)

FOUND_BY = {
    "no-hold-after-a-takeover": 0,
    "a-takeover-waits-for-nobody": 0,
    "a-start-without-answer-was-none": 0,
    "an-unresponsive-worker-is-renewed": 84,
    "leases-are-expected-to-end-early": 54,
    "leases-of-previous-owners-are-forgotten": 4,
    "no-fence": 57,
    "authority-lasts-for-ever": 329,
    "an-unresponsive-worker-is-lost": 0,
    "ends-are-acknowledged-unstored": 0,
    "an-owner-without-authority-is-over": 110,
}
"""The seed that is tried first for each mutant."""

FEW_ENDS = 2
PART_LIST_SEEDS = (2, 3)
PART_LIST_FOUND_BY = 211

OTHER_SEEDS = (*range(40), 46)


@pytest.mark.parametrize("seed", SEEDS)
def test_no_task_runs_twice_under_allowed_faults(seed: int) -> None:
    """Guard against two live runs of a task, and a start after its noted end."""
    assert not find_violations(seed)


def test_no_task_runs_twice_when_workers_restart_under_their_ids() -> None:
    """Guard against a restart that is noticed after the new life accepted a start."""
    assert not find_violations(37, Faults(same_id=True))


@pytest.mark.parametrize("seed", PART_LIST_SEEDS)
def test_no_task_runs_twice_when_workers_list_few_ends_at_once(seed: int) -> None:
    """Guard against a second run of a task whose end a later list names."""
    assert not find_violations(seed, listed_ends=FEW_ENDS)


def test_walk_finds_owner_that_trusts_a_part_of_the_ends(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guard against walks that can't detect an incomplete list."""
    MUTANTS["a-part-of-the-ends-is-taken-for-all"](monkeypatch)
    seeds = (PART_LIST_FOUND_BY, *PART_LIST_SEEDS, *OTHER_SEEDS)
    assert any(find_violations(seed, listed_ends=FEW_ENDS) for seed in seeds)


@pytest.mark.parametrize("name", FOUND_BY)
def test_walk_finds_each_mutant(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guard against walks that can't detect a missing guard."""
    MUTANTS[name](monkeypatch)
    assert any(find_violations(seed) for seed in (FOUND_BY[name], *OTHER_SEEDS))
