"""Lend and return the connections to one worker."""

from __future__ import annotations

import anyio
import pytest

from mustardward.components.entry.connections import (
    WorkerConnection,
    WorkerConnectionPool,
)
from mustardward.components.entry.const import WORKER_KEEPALIVE_SECONDS
from mustardward.helpers.timer import DrivenTimerService

pytestmark = pytest.mark.anyio


def take_all(lanes: WorkerConnectionPool) -> list[WorkerConnection]:
    taken = []
    while (lane := lanes.take()) is not None:
        taken.append(lane)
    return taken


async def test_no_more_are_lent_than_the_worker_takes() -> None:
    lanes = WorkerConnectionPool("127.0.0.1:1", 3, DrivenTimerService())
    taken = take_all(lanes)
    lanes.give_back(taken[0])
    assert len(taken) == 3
    assert lanes.take() is taken[0]
    assert lanes.take() is None


async def test_a_lane_is_free_again_though_its_closing_was_cancelled() -> None:
    """Count a lane back before waiting for its end.

    Symptom: a worker is refused work although it is idle, more often by the day.
    Sequence: a request ends by its deadline while its connection is being closed.
    Cause: the lane was counted back only after that.
    """
    lanes = WorkerConnectionPool("127.0.0.1:1", 1, DrivenTimerService())
    (lane,) = take_all(lanes)
    with anyio.CancelScope() as scope:
        scope.cancel()
        await lanes.async_discard(lane)
    assert lanes.take() is not None


async def test_lanes_that_nothing_used_are_closed() -> None:
    timers = DrivenTimerService()
    lanes = WorkerConnectionPool("127.0.0.1:1", 2, timers)
    old, new = take_all(lanes)
    lanes.give_back(old)
    await timers.async_advance(WORKER_KEEPALIVE_SECONDS)
    lanes.give_back(new)
    await timers.async_advance(1.0)
    await lanes.async_prune()
    assert lanes.idle == 1
    assert lanes.take() is new
