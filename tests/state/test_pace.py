"""Test the pacing of appends under the log's rate limit."""

from __future__ import annotations

from typing import Any

import pytest

from mustardward.state.log import FoldedLog
from mustardward.state.models.pools import PutPool
from mustardward.state.pace import AppendPace
from tests.fakes.log_bench import running_bench

pytestmark = pytest.mark.anyio


def test_the_window_widens_at_once_and_narrows_slowly() -> None:
    pace = AppendPace(0.02, 0.5)
    for _ in range(10):
        pace.record_refusal()
    assert pace.window_seconds == 0.5
    pace.record_append()
    assert 0.4 < pace.window_seconds < 0.5
    for _ in range(200):
        pace.record_append()
    assert pace.window_seconds == 0.02


async def test_many_nodes_append_under_a_small_rate_limit() -> None:
    """Guard against claims that time out although the log is healthy.

    Many entry nodes append at once and retry at their own short intervals, so most
    appends are refused unless the window of group commits widens.
    """
    async with running_bench() as bench:
        logs = [bench.start() for _ in range(12)]
        await bench.async_settle()
        bench.service.budget = 4
        results: list[Any] = []

        async def propose(log: FoldedLog[Any], number: int) -> None:
            body = PutPool(f"pool-{number}")
            results.append(
                await log.async_propose(body, actor="o", timeout_seconds=30.0)
            )

        for number in range(120):
            bench.group.start_soon(propose, logs[number % 12], number)
        for _ in range(40):
            bench.service.budget = 4
            await bench.async_settle(0.25)
        assert len(results) == 120
        assert all(item.unwrap().revision for item in results)


async def test_failing_listener_stops_neither_fold_nor_other_listeners() -> None:
    async with running_bench() as bench:
        log = bench.start()
        notified_offsets: list[int] = []

        def fail(outcome: object) -> None:
            raise ValueError("listener failed")

        log.listen(fail)
        log.listen(lambda outcome: notified_offsets.append(outcome.offset))
        await bench.async_settle()
        await bench.async_fill(log, 2)
        assert notified_offsets == [0, 1]


async def test_higher_priority_is_appended_first() -> None:
    async with running_bench() as bench:
        log = bench.start()
        await bench.async_settle()
        accepted: list[str] = []
        log.listen(lambda outcome: accepted.append(outcome.body.name))

        async def propose(name: str, priority: int) -> None:
            await log.async_propose(PutPool(name), actor="o", priority=priority)

        bench.service.refuse_appends = 2
        for name, priority in (("last", 2), ("middle", 1), ("claim", 0)):
            bench.group.start_soon(propose, name, priority)
        await bench.async_until(lambda: len(accepted) == 3, 10.0)
        assert accepted == ["claim", "middle", "last"]


async def test_one_record_proposed_twice_at_once_is_accepted_once() -> None:
    async with running_bench() as bench:
        log = bench.start()
        await bench.async_settle()
        results: list[Any] = []

        async def propose() -> None:
            body = PutPool("cellar")
            results.append(
                await log.async_propose(body, actor="o", record_id="the-same")
            )

        for _ in range(2):
            bench.group.start_soon(propose)
        await bench.async_until(lambda: len(results) == 2, 5.0)
        await propose()
        assert [item.unwrap().revision for item in results] == [1, 1, 1]
        assert log.sequence == 1
