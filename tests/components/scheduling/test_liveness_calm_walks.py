"""Check in random walks that long-running tasks run in the calm between faults.

The bound is the one that callers are promised, not a sum of the owner's own limits. Run
other seeds by ``python -m tests.components.scheduling.test_liveness_calm_walks FIRST
LAST``, with ``suspects`` appended for the tasks under which workers crashed.
"""

from __future__ import annotations

import sys

import pytest

from .liveness_calm_walk import CalmWalk

SEEDS = (*range(4), 9)
SUSPECT_SEEDS = (0, 9)


@pytest.mark.parametrize("seed", SEEDS)
def test_long_running_tasks_run_in_calm(seed: int) -> None:
    """Guard against a long-running task that waits although there is room for it."""
    found = CalmWalk(seed).walk()
    assert not found, f"seed={seed} {found}"


@pytest.mark.parametrize("seed", SUSPECT_SEEDS)
def test_suspected_long_running_tasks_run_in_calm(seed: int) -> None:
    """Guard against a task that waits since workers crashed repeatedly under it."""
    found = CalmWalk(seed, suspects=True).walk()
    assert not found, f"seed={seed} {found}"


def _walk(first: int, last: int, suspects: bool) -> None:
    broken = 0
    for seed in range(first, last):
        walk = CalmWalk(seed, suspects)
        found = walk.walk()
        broken += bool(found)
        if found:
            print(f"seed={seed} {found}", flush=True)
    print(f"{last - first} walks, {broken} broken")


if __name__ == "__main__":
    _walk(int(sys.argv[1]), int(sys.argv[2]), "suspects" in sys.argv)
