"""Check in random walks that all runnable work runs once faults have ended.

An owner with the real scheduler and dispatcher works with model workers, first with
faults of all kinds, then without. The model alone, not the owner's state, decides which
tasks could run. Mutants each remove one release of a hold, and the walks have to detect
each of them. Walks are reproducible by their seeds; run others by
``python -m tests.components.scheduling.test_liveness_walks FIRST LAST``, with
``scarce`` or ``mutants`` appended.
"""

from __future__ import annotations

import sys

import pytest

from ...conftest import KNOWN_RED, read_known_red
from .liveness_mutants import MUTANTS
from .liveness_walk import LivenessWalk

SEEDS = (
    *range(5),
    6,
    *range(8, 13),
    21,
    22,
    23,
    33,
    45,
    61,
    63,
    87,
    102,
    161,
    180,
    425,
    454,
)
SCARCE_SEEDS = (0, 1)

DETECTING_SEEDS = {
    "a-stop-is-not-repeated": 8,
    "a-stop-is-not-acknowledged": 0,
    "data-centres-told-are-not-opened": 425,
    "no-data-centre-more": 11,
    "advice-is-asked-once": 6,
    "tickets-last-for-ever": 22,
    "suspects-stay-off-their-queue": 2,
    "nobody-is-judged": 2,
    "an-entry-that-is-back-is-not-read": 1,
    "leaving-is-not-taken-back": 1,
    "a-quarantine-has-no-end": 102,
    "a-takeover-holds-for-ever": 1,
    "a-doubted-start-counts-twice": 1,
    "strays-stay": 161,
}
"""The seed that is tried first for each mutant; the other mutants are run manually."""


def _passing_seeds() -> list[int]:
    """Return the seeds whose walks pass without a mutant, by KNOWN-RED.txt."""
    known_red = read_known_red(KNOWN_RED.read_text(encoding="utf-8"))
    name = test_what_can_run_runs_after_any_order_of_events.__name__
    return [s for s in SEEDS if not any(f"{name}[{s}]" in test for test in known_red)]


@pytest.mark.parametrize("seed", SEEDS)
def test_what_can_run_runs_after_any_order_of_events(seed: int) -> None:
    found = LivenessWalk(seed, scarce=False).walk()
    assert not found, f"seed={seed} {found}"


@pytest.mark.parametrize("seed", SCARCE_SEEDS)
def test_what_can_run_runs_beside_long_running_steps_that_cannot(seed: int) -> None:
    found = LivenessWalk(seed, scarce=True).walk()
    assert not found, f"seed={seed} {found}"


@pytest.mark.parametrize("mutant", DETECTING_SEEDS)
def test_each_removed_release_is_detected(
    mutant: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    passing = _passing_seeds()
    first = DETECTING_SEEDS[mutant]
    assert first in passing
    MUTANTS[mutant](monkeypatch)
    seeds = sorted(passing, key=lambda seed: seed != first)
    assert any(LivenessWalk(seed, scarce=False).walk() for seed in seeds)


def _walk(first: int, last: int, scarce: bool) -> None:
    for seed in range(first, last):
        found = LivenessWalk(seed, scarce).walk()
        if found:
            print(f"seed={seed} {found}")


def _walk_mutants(first: int, last: int) -> None:
    """Print the first seed that detects each mutant and passes without it."""
    passing = [
        s for s in range(first, last) if not LivenessWalk(s, scarce=False).walk()
    ]
    for name, mutate in MUTANTS.items():
        with pytest.MonkeyPatch.context() as patch:
            mutate(patch)
            walks = (s for s in passing if LivenessWalk(s, scarce=False).walk())
            print(f"{name} seed={next(walks, None)}")


if __name__ == "__main__":
    if "mutants" in sys.argv:
        _walk_mutants(int(sys.argv[1]), int(sys.argv[2]))
    else:
        _walk(int(sys.argv[1]), int(sys.argv[2]), "scarce" in sys.argv)
