"""Check in random walks that long-running tasks run in the calm between faults.

The bound is the one that callers are promised, not a sum of the owner's own limits. Run
other seeds by ``python -m tests.components.scheduling.test_liveness_calm_walks FIRST
LAST``, with ``suspects`` appended for the tasks under which workers crashed, and
``handovers`` for owners that leave in the calm.
"""

from __future__ import annotations

import sys

import pytest

from .liveness_calm_walk import CalmWalk
from .liveness_mutants import CALM_MUTANTS

SEEDS = (1, 2, 3, 9)
SUSPECT_SEEDS = (0, 9)
HANDOVER_SEEDS = (1, 15, 28, 70)

DETECTING_WALKS = {
    "an-unlisted-worker-is-waited-for": (2, False),
    "an-ended-worker-is-waited-for": (3, False),
    "waves-drain-needed-hosts": (1, False),
    "cordons-stay": (3, False),
    "a-release-names-no-end-of-holds": (28, True),
    "a-loss-holds-again": (70, True),
}
"""The seed that detects each mutant, and whether owners leave in the calm."""


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


@pytest.mark.parametrize("seed", HANDOVER_SEEDS)
def test_long_running_tasks_run_while_owners_leave(seed: int) -> None:
    """Guard against a task that waits anew under each of several owners in a row."""
    found = CalmWalk(seed, handovers=True).walk()
    assert not found, f"seed={seed} {found}"


@pytest.mark.parametrize("mutant", DETECTING_WALKS)
def test_each_removed_release_is_detected(
    mutant: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guard against walks that pass although a release of a hold is missing."""
    seed, handovers = DETECTING_WALKS[mutant]
    assert seed in (HANDOVER_SEEDS if handovers else SEEDS)
    CALM_MUTANTS[mutant](monkeypatch)
    assert CalmWalk(seed, handovers=handovers).walk()


def _walk(first: int, last: int, suspects: bool, handovers: bool) -> None:
    broken = 0
    for seed in range(first, last):
        walk = CalmWalk(seed, suspects, handovers)
        found = walk.walk()
        broken += bool(found)
        if found:
            print(f"seed={seed} {found}", flush=True)
    print(f"{last - first} walks, {broken} broken")


if __name__ == "__main__":
    _walk(
        int(sys.argv[1]),
        int(sys.argv[2]),
        "suspects" in sys.argv,
        "handovers" in sys.argv,
    )
