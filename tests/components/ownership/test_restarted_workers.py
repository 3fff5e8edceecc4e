"""Test starts that reach the next incarnation of a worker under the same id."""

from __future__ import annotations

import pytest

from .restarted_worker_walk import Ownership, RestartedWorkerWalk

SEED = 1


@pytest.mark.parametrize("ownership", list(Ownership), ids=lambda case: case.value)
def test_run_of_a_restarted_worker_that_is_cut_off_is_not_repeated_beside_it(
    ownership: Ownership,
) -> None:
    """Guard against a lease that is counted on the clock of a previous incarnation."""
    walk = RestartedWorkerWalk(SEED, ownership)
    assert not walk.walk()
    assert walk.misdirected
