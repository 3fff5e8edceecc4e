"""Test how long the work of a worker that leaves looks unanswered may go on."""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import anyio
import pytest

from mustardward.components.dispatch.const import LEASE_SECONDS
from mustardward.components.scheduling.models import Phase
from mustardward.platform.exceptions import CallUnknownError
from mustardward.platform.workers import HoldAnswer, StartAnswer, StartOrder

from ..scheduling.builders import a_step
from .test_reborn import RebornBench, _Worker

pytestmark = pytest.mark.anyio

SLOWEST = 0.98
LATEST_SECONDS = LEASE_SECONDS * 1.03 + 0.25 + 0.3
"""A lease on the slowest clock, its order on the way, and a look that finds it over."""


class _Slow(_Worker):
    """Play a worker with the slowest clock, whose looks or answers may be lost.

    :param arrives: whether a look gets through, by its number.
    :param answers: whether its answer does.
    """

    arrives: Callable[[int], bool] = staticmethod(lambda number: True)
    answers: Callable[[int], bool] = staticmethod(lambda number: True)
    looks = 0

    async def async_start(self, order: StartOrder) -> StartAnswer:
        if not self.arrives(0):
            raise CallUnknownError("lost")
        return await super().async_start(order)

    async def async_hold(
        self, seen_upto: int, deadline_ms: int | None, wait_ms: int
    ) -> HoldAnswer:
        self.looks += 1
        if not self.arrives(self.looks):
            raise CallUnknownError("lost")
        answer = await super().async_hold(seen_upto, deadline_ms, wait_ms)
        if not self.answers(self.looks):
            raise CallUnknownError("answer lost")
        return answer

    def runs(self) -> int:
        """Return how many runs it has at this moment."""
        self.process.advance(self._clock())
        return len(self.process.runs)

    def _clock(self) -> float:
        return SLOWEST * super()._clock()


def never(number: int) -> bool:
    """Let nothing through."""
    return False


@asynccontextmanager
async def a_run(
    asleep_seconds: float = 0.3,
) -> AsyncIterator[tuple[RebornBench, _Slow]]:
    """Yield a worker that was just given a lasting task, after a time with none."""
    async with anyio.create_task_group() as tasks:
        bench = RebornBench(tasks)
        worker = bench.worker = _Slow(bench.timers)
        bench.see()
        await bench.async_pass(asleep_seconds)
        bench.add(a_step(count=1, long_running=True))
        await bench.async_pass(0.1)
        assert bench.task().phase is Phase.RUNNING
        yield bench, worker
        tasks.cancel_scope.cancel()


async def async_until_elsewhere(bench: RebornBench, worker: _Slow) -> float:
    """Return after how long the task may go elsewhere; check that nothing runs then."""
    began = bench.timers.monotonic()
    while bench.task().phase is not Phase.WAITING:
        assert bench.timers.monotonic() - began < 4 * LEASE_SECONDS
        await bench.async_pass(0.05, plans=False)
    assert worker.runs() == 0
    return bench.timers.monotonic() - began


@pytest.mark.parametrize("asleep_seconds", [0.3, 120.0])
async def test_work_of_a_worker_behind_a_cut_goes_elsewhere_after_its_lease(
    asleep_seconds: float,
) -> None:
    """Guards against a second run beside the first, and against a wait without end."""
    async with a_run(asleep_seconds) as (bench, worker):
        worker.arrives = never
        seconds = await async_until_elsewhere(bench, worker)
        assert LEASE_SECONDS / SLOWEST - 0.2 < seconds < LATEST_SECONDS


async def test_work_goes_elsewhere_after_its_lease_though_looks_arrive() -> None:
    """Guards against leases that are renewed by looks whose answers are lost."""
    async with a_run() as (bench, worker):
        worker.answers = never
        seconds = await async_until_elsewhere(bench, worker)
        assert LEASE_SECONDS / SLOWEST - 0.2 < seconds < LATEST_SECONDS


async def test_the_lease_of_a_start_that_is_not_answered_is_waited_for() -> None:
    """Guards against a lease reckoned by looks alone."""
    async with a_run() as (bench, worker):
        await bench.async_pass(0.5)
        worker.lose_starts = True
        bench.session.client = worker  # type: ignore[assignment]
        before = bench.session.lease_ends_at
        with pytest.raises(CallUnknownError):
            await bench.session.async_start(bench.task(), bench.task().run)
        assert bench.session.lease_ends_at > before
        worker.arrives = never
        worker.carry_out_late()
        await async_until_elsewhere(bench, worker)


@pytest.mark.parametrize("way", ["arrives", "answers"])
async def test_a_worker_that_leaves_every_other_look_unanswered_keeps_its_work(
    way: str,
) -> None:
    """Guards against work that lapses where each look that renews a lease is lost."""
    async with a_run() as (bench, worker):
        setattr(worker, way, lambda number: number % 2)
        await bench.async_pass(5 * LEASE_SECONDS)
        assert worker.runs() == 1
        assert len(worker.process.starts) == 1
        assert bench.task().phase is Phase.RUNNING


async def test_an_answer_in_time_keeps_the_lease() -> None:
    """Guards against a renewal that comes later than the first answer."""
    async with a_run() as (bench, worker):
        for _ in range(4):
            worker.arrives = never
            await bench.async_pass(LEASE_SECONDS - 0.6)
            assert bench.session.unresponsive_since is not None
            until = bench.session.lease_ends_at
            worker.arrives = lambda number, first=worker.looks: number <= first + 2
            await bench.async_pass(0.3)
            assert bench.session.lease_ends_at > until
        assert worker.runs() == 1
        assert len(worker.process.starts) == 1
        assert bench.task().phase is Phase.RUNNING


async def test_an_owner_that_may_be_deposed_ends_no_run_by_its_own_leases() -> None:
    """A run that a newer owner renews was started again by one cut off with its log."""
    async with anyio.create_task_group() as tasks:
        bench = RebornBench(tasks)
        bench.see()
        await bench.async_pass(0.3)
        bench.add(a_step(count=1, long_running=True))
        await bench.async_pass(0.3)
        assert bench.task().phase is Phase.RUNNING
        cut_at = bench.timers.monotonic()
        bench.dispatcher.renewal_age_seconds = lambda: bench.timers.monotonic() - cut_at
        bench.worker.dark = True
        await bench.async_pass(3 * LEASE_SECONDS)
        assert bench.task().phase is Phase.RUNNING
        bench.dispatcher.renewal_age_seconds = lambda: 0.0
        await bench.async_pass(0.5)
        assert bench.task().phase is Phase.WAITING
        tasks.cancel_scope.cancel()
