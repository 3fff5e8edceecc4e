"""Check what callers are told when power is lost, workers crash and the store fails."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest

from mustardward.components.front.models import Reply, Request
from mustardward.components.front.services import FrontService
from mustardward.components.ledger.models import JobState
from mustardward.components.scheduling.scheduler import Scheduler
from mustardward.platform import callers

from ..components.ownership.twice_mutants import MUTANTS
from .power_loss_walk import find_violations

SEEDS = (18, 35, 70, 80, 97)
FOUND_BY = {"told-before-stored": 97, "no-hold-after-a-takeover": 7}
"""The seed that is tried first for each mutant."""

OTHER_SEEDS = range(20)


@pytest.mark.parametrize("seed", SEEDS)
def test_a_job_told_as_done_stays_done_when_power_is_lost(seed: int) -> None:
    """Guard against tasks that start again after their job was told as done."""
    assert not find_violations(seed)


def test_walk_finds_a_job_told_as_done_before_it_is_stored(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guard against walks that can't detect answers ahead of the log."""
    done: set[str] = set()
    take_dirty = Scheduler.take_dirty
    answer = FrontService.async_answer

    def take_and_tell(scheduler: Scheduler, now: float, wall: float) -> Any:
        for job_id, job in scheduler.state.dirty.items():
            if job.state is JobState.DONE:
                done.add(job_id)
        return take_dirty(scheduler, now, wall)

    async def async_answer(front: FrontService, request: Request) -> Reply:
        reply = await answer(front, request)
        if request.method != "GET" or reply.status != 200:
            return reply
        if request.path.rpartition("/")[2] not in done:
            return reply
        return replace(reply, body=callers.encode_state(callers.STATE_DONE))

    monkeypatch.setattr(Scheduler, "take_dirty", take_and_tell)
    monkeypatch.setattr(FrontService, "async_answer", async_answer)
    seeds = (FOUND_BY["told-before-stored"], *OTHER_SEEDS)
    assert any("starts after" in str(find_violations(seed)) for seed in seeds)


def test_walk_finds_an_owner_that_does_not_wait_for_previous_runs(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guard against walks that can't detect two runs of a task at once."""
    name = "no-hold-after-a-takeover"
    MUTANTS[name](monkeypatch)
    seeds = (FOUND_BY[name], *OTHER_SEEDS)
    assert any("while it runs" in str(find_violations(seed)) for seed in seeds)
