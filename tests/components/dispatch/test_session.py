"""Test leases, silent workers and acknowledged ends."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio
import pytest
from anyio.abc import TaskGroup

from mustardward.components.dispatch.const import LEASE_SECONDS, lease_bound
from mustardward.components.dispatch.dispatcher import Dispatcher
from mustardward.components.scheduling.models import QueuePolicy
from mustardward.components.scheduling.scheduler import Scheduler
from mustardward.helpers.timer import DrivenTimerService
from mustardward.platform.exceptions import CallUnknownError, WrongIncarnationError
from mustardward.platform.workers import HoldAnswer

from ..scheduling.builders import POOL, an_entry

pytestmark = pytest.mark.anyio

WORKER = "w1"


class _Client:
    """Play a worker's answers to holds."""

    def __init__(self) -> None:
        self.failure: Exception | None = None
        self.seen: list[int] = []
        self.deadlines: list[int | None] = []
        self.answer = HoldAnswer(5000.0, [], [])

    async def async_hold(
        self, seen_upto: int, deadline_ms: int | None, wait_ms: int
    ) -> HoldAnswer:
        self.seen.append(seen_upto)
        self.deadlines.append(deadline_ms)
        if self.failure is not None:
            raise self.failure
        return self.answer


class DispatchBench:
    """Hold a dispatcher whose workers obey the test."""

    def __init__(self, tasks: TaskGroup) -> None:
        self.timers = DrivenTimerService()
        self.scheduler = Scheduler(2, lambda queue: QueuePolicy(service=POOL))
        self.client = _Client()
        self.fenced = False
        self.dispatcher = Dispatcher(
            None,  # type: ignore[arg-type]
            self.scheduler,
            self.timers,
            tasks,
            2,
            self._fenced,
            lambda: None,
            lambda: True,
        )

    def see(self) -> None:
        """Let the worker's entry be read, and play its client."""
        self.dispatcher.update_worker(WORKER, an_entry())
        session = self.dispatcher.sessions[WORKER]
        session.client = self.client  # type: ignore[assignment]

    async def async_pass(self, seconds: float) -> None:
        """Let time pass."""
        for _ in range(round(seconds / 0.1)):
            await anyio.wait_all_tasks_blocked()
            await self.timers.async_advance(0.1)
        await anyio.wait_all_tasks_blocked()

    def _fenced(self) -> None:
        self.fenced = True


@asynccontextmanager
async def a_bench() -> AsyncIterator[DispatchBench]:
    async with anyio.create_task_group() as tasks:
        yield DispatchBench(tasks)
        tasks.cancel_scope.cancel()


async def test_a_worker_that_answers_is_confirmed_and_accounted_for() -> None:
    async with a_bench() as bench:
        bench.see()
        assert bench.dispatcher.unheard()
        await bench.async_pass(0.1)
        assert not bench.dispatcher.unheard()
        assert bench.scheduler.state.workers[WORKER].confirmed


async def test_a_silent_worker_is_lost_when_its_longest_lease_is_over() -> None:
    async with a_bench() as bench:
        bench.client.failure = CallUnknownError("silent")
        bench.see()
        await bench.async_pass(LEASE_SECONDS - 0.5)
        assert WORKER in bench.scheduler.state.workers
        await bench.async_pass(1.5)
        assert WORKER not in bench.scheduler.state.workers


async def test_a_new_owner_waits_for_leases_that_the_old_one_may_still_renew() -> None:
    """A worker that only the old owner reaches is not taken for empty too soon.

    Symptom: lasting tasks ran twice for half a second, in a data centre that had been
    cut off and outside of it.
    Sequence: a cut parted the owner and some workers from the store; another entry took
    over; the old owner renewed those workers' leases for as long as it may; the new one
    counted only one lease from its own takeover, and started their tasks elsewhere.
    Cause: a session at takeover forgot how long the old owner may give orders.
    """
    async with a_bench() as bench:
        takeover_hold_until = lease_bound(bench.timers.monotonic()) + 4.0
        bench.scheduler.state.takeover_hold_until = takeover_hold_until
        bench.client.failure = CallUnknownError("cut off")
        bench.see()
        await bench.async_pass(LEASE_SECONDS + 2.0)
        assert bench.dispatcher.unheard()
        await bench.async_pass(4.0)
        assert not bench.dispatcher.unheard()


async def test_another_incarnation_at_the_address_means_the_worker_is_gone() -> None:
    async with a_bench() as bench:
        bench.client.failure = WrongIncarnationError("other")
        bench.see()
        await bench.async_pass(0.1)
        assert WORKER not in bench.scheduler.state.workers
        assert not bench.dispatcher.unheard()


async def test_ends_are_acknowledged_only_once_they_are_stored() -> None:
    async with a_bench() as bench:
        bench.see()
        await bench.async_pass(0.1)
        session = bench.dispatcher.sessions[WORKER]
        session.listed_upto = 7
        session.wake()
        await bench.async_pass(1.0)
        assert set(bench.client.seen) == {0}
        session.acknowledge(7)
        bench.scheduler.state.workers[WORKER].stale = True
        session.wake()
        await bench.async_pass(1.0)
        assert bench.client.seen[-1] == 7


async def test_leases_are_given_on_the_workers_clock() -> None:
    async with a_bench() as bench:
        bench.see()
        await bench.async_pass(0.1)
        bench.scheduler.state.workers[WORKER].stale = True
        bench.dispatcher.sessions[WORKER].wake()
        await bench.async_pass(0.2)
        assert bench.client.deadlines[0] is None
        deadline = bench.client.deadlines[1]
        assert deadline is not None
        assert 5000 + 1000 * LEASE_SECONDS <= deadline < 5500 + 1000 * LEASE_SECONDS
