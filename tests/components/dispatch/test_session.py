"""Test leases, unresponsive workers and acknowledged ends."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import replace

import anyio
import pytest
from anyio.abc import TaskGroup

from mustardward.components.dispatch.const import LEASE_SECONDS, latest_lease_end
from mustardward.components.scheduling.models import QueuePolicy
from mustardward.components.scheduling.scheduler import Scheduler
from mustardward.helpers.timer import DrivenTimerService
from mustardward.platform.exceptions import CallUnknownError, WrongIncarnationError
from mustardward.platform.workers import EndedTask, TaskName, WorkerReport

from ..scheduling.builders import POOL, an_entry
from .builders import build_dispatcher

pytestmark = pytest.mark.anyio

WORKER = "w1"


class _FakeClient:
    """Simulate a worker's answers to polls, whose clock goes on from that given."""

    def __init__(self, timers: DrivenTimerService) -> None:
        self._timers = timers
        self._began_at = timers.monotonic()
        self.failure: Exception | None = None
        self.acknowledged: list[int] = []
        self.deadlines: list[int | None] = []
        self.answer = WorkerReport(5000.0, [], [])

    async def async_poll(
        self, seen_upto: int, deadline_ms: int | None, wait_ms: int
    ) -> WorkerReport:
        self.acknowledged.append(seen_upto)
        self.deadlines.append(deadline_ms)
        if self.failure is not None:
            raise self.failure
        elapsed_ms = 1000 * (self._timers.monotonic() - self._began_at)
        return replace(self.answer, clock_ms=self.answer.clock_ms + elapsed_ms)


class DispatchHarness:
    """Provide a dispatcher with one simulated worker and a simulated clock."""

    def __init__(self, tasks: TaskGroup) -> None:
        self.timers = DrivenTimerService()
        self.scheduler = Scheduler(2, lambda queue: QueuePolicy(service=POOL))
        self.client = _FakeClient(self.timers)
        self.fenced = False
        self.dispatcher = build_dispatcher(
            self.scheduler, self.timers, tasks, on_fenced=self._record_fenced
        )

    def update_entry(self) -> None:
        """Apply the worker's entry and replace the client of its session."""
        self.dispatcher.update_worker(WORKER, an_entry())
        session = self.dispatcher.sessions[WORKER]
        session.client = self.client  # type: ignore[assignment]

    async def async_advance_time(self, seconds: float) -> None:
        """Advance the simulated time."""
        for _ in range(round(seconds / 0.1)):
            await anyio.wait_all_tasks_blocked()
            await self.timers.async_advance(0.1)
        await anyio.wait_all_tasks_blocked()

    def _record_fenced(self, worker: str) -> None:
        self.fenced = True


@asynccontextmanager
async def a_harness() -> AsyncIterator[DispatchHarness]:
    async with anyio.create_task_group() as tasks:
        yield DispatchHarness(tasks)
        tasks.cancel_scope.cancel()


async def test_answering_worker_is_confirmed() -> None:
    async with a_harness() as harness:
        harness.update_entry()
        assert harness.dispatcher.unconfirmed_workers()
        await harness.async_advance_time(0.1)
        assert not harness.dispatcher.unconfirmed_workers()
        assert harness.scheduler.state.workers[WORKER].confirmed


async def test_unresponsive_worker_is_lost_when_its_longest_lease_ends() -> None:
    async with a_harness() as harness:
        harness.client.failure = CallUnknownError("timeout")
        harness.update_entry()
        await harness.async_advance_time(LEASE_SECONDS - 0.5)
        assert WORKER in harness.scheduler.state.workers
        await harness.async_advance_time(1.5)
        assert WORKER not in harness.scheduler.state.workers


async def test_new_owner_waits_for_leases_that_the_previous_one_may_renew() -> None:
    """Guard against long-running tasks that run twice for half a second.

    They run both in a disconnected data centre and outside of it. A network partition
    separates the owner and some workers from the store, and another entry takes over.
    The previous owner keeps renewing those workers' leases until its authority ends. If
    a session opened at takeover waits only for one lease, it ignores that time, and the
    tasks start elsewhere too soon.
    """
    async with a_harness() as harness:
        previous_leases_until = latest_lease_end(harness.timers.monotonic()) + 4.0
        harness.scheduler.state.previous_leases_until = previous_leases_until
        harness.client.failure = CallUnknownError("disconnected")
        harness.update_entry()
        await harness.async_advance_time(LEASE_SECONDS + 2.0)
        assert harness.dispatcher.unconfirmed_workers()
        await harness.async_advance_time(4.0)
        assert not harness.dispatcher.unconfirmed_workers()


async def test_other_incarnation_at_the_address_means_the_worker_is_lost() -> None:
    async with a_harness() as harness:
        harness.client.failure = WrongIncarnationError("other")
        harness.update_entry()
        await harness.async_advance_time(0.1)
        assert WORKER not in harness.scheduler.state.workers
        assert not harness.dispatcher.unconfirmed_workers()


async def test_ends_are_acknowledged_only_after_they_are_stored() -> None:
    async with a_harness() as harness:
        harness.update_entry()
        await harness.async_advance_time(0.1)
        session = harness.dispatcher.sessions[WORKER]
        session.received_upto = 7
        session.wake()
        await harness.async_advance_time(1.0)
        assert set(harness.client.acknowledged) == {0}
        session.acknowledge(7)
        harness.scheduler.state.workers[WORKER].stale = True
        session.wake()
        await harness.async_advance_time(1.0)
        assert harness.client.acknowledged[-1] == 7


async def test_ends_that_are_not_stored_are_counted() -> None:
    """Guard against a lost worker whose log line hides that ends were lost with it."""
    async with a_harness() as harness:
        ended = EndedTask(3, TaskName("0" * 16, 0, 0, 0), 1, "done", "")
        harness.client.answer = WorkerReport(5000.0, [], [ended])
        harness.update_entry()
        await harness.async_advance_time(0.1)
        worker = harness.scheduler.state.workers[WORKER]
        assert worker.unstored_ends == 3
        harness.dispatcher.sessions[WORKER].acknowledge(3)
        assert worker.unstored_ends == 0


async def test_lease_deadlines_use_the_workers_clock() -> None:
    async with a_harness() as harness:
        harness.update_entry()
        await harness.async_advance_time(0.1)
        harness.scheduler.state.workers[WORKER].stale = True
        harness.dispatcher.sessions[WORKER].wake()
        await harness.async_advance_time(0.2)
        assert harness.client.deadlines[0] is None
        deadline = harness.client.deadlines[1]
        assert deadline is not None
        assert 5000 + 1000 * LEASE_SECONDS <= deadline < 5500 + 1000 * LEASE_SECONDS
