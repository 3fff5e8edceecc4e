"""Run jobs under seeded faults, and check that violations of rules are detected."""

from __future__ import annotations

import pytest

from bench import jobs_mutants
from bench.jobs_world import FaultyRun
from mustardward.components.jobs import attempt_manager
from mustardward.state.handlers import jobs as handlers

pytestmark = pytest.mark.anyio


@pytest.mark.parametrize("seed", range(1000, 1005))
async def test_no_job_is_lost_or_run_twice_under_faults(seed: int) -> None:
    figures = await FaultyRun(seed).async_run()
    assert figures.jobs > 0 and figures.faults > 20
    assert (figures.lost, figures.doubled, figures.stray) == (0, 0, 0)


async def test_the_same_seed_gives_the_same_run() -> None:
    first = await FaultyRun(7).async_run()
    assert await FaultyRun(7).async_run() == first


@pytest.mark.parametrize("mutant", sorted(jobs_mutants.MUTANTS))
async def test_a_violated_rule_is_detected(
    mutant: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    for owner, name in (
        (handlers, "_event_for_non_idempotent"),
        (attempt_manager, "async_outcome"),
        (attempt_manager.AttemptManager, "_async_verify_lease"),
    ):
        monkeypatch.setattr(owner, name, getattr(owner, name))
    jobs_mutants.MUTANTS[mutant]()
    for seed in range(30):
        figures = await FaultyRun(seed).async_run()
        if figures.doubled + figures.stray > 0:
            return
    pytest.fail("30 seeds did not detect the violated rule")
