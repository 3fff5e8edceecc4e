"""Test how long tasks of a worker with unanswered polls may continue."""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import anyio
import pytest

from mustardward.components.dispatch.const import LEASE_SECONDS, latest_lease_end
from mustardward.components.dispatch.lease import Lease
from mustardward.components.scheduling.models import Phase
from mustardward.platform.exceptions import CallUnknownError
from mustardward.platform.workers import StartRequest, StartResponse, WorkerReport

from ..ownership.twice_mutants import MUTANTS
from ..scheduling.builders import a_step
from .test_restarts import MAX_LEASE_SECONDS, FakeWorker, RestartHarness

pytestmark = pytest.mark.anyio

SLOWEST_CLOCK_RATE = 0.98
MAX_WAIT_SECONDS = LEASE_SECONDS * 1.03 + 0.25 + 0.3
"""A lease on the slowest clock, the latency of its command, and the poll after it."""


class _SlowClockWorker(FakeWorker):
    """Simulate a worker with the slowest clock, whose polls or answers may be lost.

    :param poll_arrives: returns by its number whether a poll arrives.
    :param answer_arrives: returns whether the answer to it arrives.
    """

    poll_arrives: Callable[[int], bool] = staticmethod(lambda number: True)
    answer_arrives: Callable[[int], bool] = staticmethod(lambda number: True)
    polls = 0

    async def async_start(self, order: StartRequest) -> StartResponse:
        if not self.poll_arrives(0):
            raise CallUnknownError("lost")
        return await super().async_start(order)

    async def async_poll(
        self, seen_upto: int, deadline_ms: int | None, wait_ms: int
    ) -> WorkerReport:
        self.polls += 1
        if not self.poll_arrives(self.polls):
            raise CallUnknownError("lost")
        answer = await super().async_poll(seen_upto, deadline_ms, wait_ms)
        if not self.answer_arrives(self.polls):
            raise CallUnknownError("answer lost")
        return answer

    def count_runs(self) -> int:
        """Return how many runs the worker has now."""
        self.process.advance(self.clock_ms())
        return len(self.process.runs)

    def clock_ms(self) -> float:
        return SLOWEST_CLOCK_RATE * super().clock_ms()


def never(number: int) -> bool:
    """Lose every message."""
    return False


@asynccontextmanager
async def a_running_task(
    idle_seconds: float = 0.3,
) -> AsyncIterator[tuple[RestartHarness, _SlowClockWorker]]:
    """Yield a worker that just started a long-running task after an idle time."""
    async with anyio.create_task_group() as tasks:
        harness = RestartHarness(tasks)
        worker = harness.worker = _SlowClockWorker(harness.timers)
        harness.update_entry()
        await harness.async_advance_time(idle_seconds)
        harness.add(a_step(count=1, long_running=True))
        await harness.async_advance_time(0.1)
        assert harness.task().phase is Phase.RUNNING
        yield harness, worker
        tasks.cancel_scope.cancel()


async def async_wait_until_rescheduled(
    harness: RestartHarness, worker: _SlowClockWorker
) -> float:
    """Return the seconds until the task may start elsewhere, when no run is left."""
    started_at = harness.timers.monotonic()
    while harness.task().phase is not Phase.WAITING:
        assert harness.timers.monotonic() - started_at < 4 * LEASE_SECONDS
        await harness.async_advance_time(0.05, plan=False)
    assert worker.count_runs() == 0
    return harness.timers.monotonic() - started_at


@pytest.mark.parametrize("idle_seconds", [0.3, 120.0])
async def test_task_of_unreachable_worker_is_rescheduled_after_its_lease(
    idle_seconds: float,
) -> None:
    """Guard against two concurrent runs of a task and against waiting forever."""
    async with a_running_task(idle_seconds) as (harness, worker):
        worker.poll_arrives = never
        seconds = await async_wait_until_rescheduled(harness, worker)
        assert LEASE_SECONDS / SLOWEST_CLOCK_RATE - 0.2 < seconds < MAX_WAIT_SECONDS


async def test_task_is_rescheduled_after_its_lease_when_only_answers_are_lost() -> None:
    """Guard against leases that are renewed by polls whose answers are lost."""
    async with a_running_task() as (harness, worker):
        worker.answer_arrives = never
        seconds = await async_wait_until_rescheduled(harness, worker)
        assert LEASE_SECONDS / SLOWEST_CLOCK_RATE - 0.2 < seconds < MAX_WAIT_SECONDS


async def test_lease_of_unanswered_start_is_respected() -> None:
    """Guard against a lease end that is calculated from polls alone."""
    async with a_running_task() as (harness, worker):
        await harness.async_advance_time(0.5)
        worker.delay_starts = True
        harness.session.client = worker  # type: ignore[assignment]
        previous_end = harness.session.lease_ends_at
        with pytest.raises(CallUnknownError):
            await harness.session.async_start(harness.task(), harness.task().run)
        assert harness.session.lease_ends_at > previous_end
        worker.poll_arrives = never
        worker.execute_delayed_starts()
        await async_wait_until_rescheduled(harness, worker)


@pytest.mark.parametrize(
    ("name", "lost"),
    [
        ("leases-are-expected-to-end-early", "poll_arrives"),
        ("an-unresponsive-worker-is-renewed", "answer_arrives"),
    ],
)
async def test_missing_guard_of_a_lease_is_found(
    name: str, lost: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guard against tests of leases that can't detect a missing guard."""
    MUTANTS[name](monkeypatch)
    async with a_running_task() as (harness, worker):
        setattr(worker, lost, never)
        with pytest.raises(AssertionError):
            await async_wait_until_rescheduled(harness, worker)


@pytest.mark.parametrize("lost", ["poll_arrives", "answer_arrives"])
async def test_worker_that_loses_every_other_poll_keeps_its_task(
    lost: str,
) -> None:
    """Guard against runs that expire because each poll with a renewal is lost."""
    async with a_running_task() as (harness, worker):
        setattr(worker, lost, lambda number: number % 2)
        await harness.async_advance_time(5 * LEASE_SECONDS)
        assert worker.count_runs() == 1
        assert len(worker.process.starts) == 1
        assert harness.task().phase is Phase.RUNNING


async def test_answer_before_the_lease_ends_renews_it() -> None:
    """Guard against a renewal that comes later than the first answer."""
    async with a_running_task() as (harness, worker):
        for _ in range(4):
            worker.poll_arrives = never
            await harness.async_advance_time(LEASE_SECONDS - 0.6)
            assert harness.session.unresponsive_since is not None
            until = harness.session.lease_ends_at
            worker.poll_arrives = lambda number, first=worker.polls: number <= first + 2
            await harness.async_advance_time(0.3)
            assert harness.session.lease_ends_at > until
        assert worker.count_runs() == 1
        assert len(worker.process.starts) == 1
        assert harness.task().phase is Phase.RUNNING


async def test_owner_that_may_be_deposed_ends_no_run_by_its_leases() -> None:
    """Guard against a task that starts again although a newer owner renews its lease.

    The previous owner is disconnected and can't read in the log that it was replaced.
    """
    async with anyio.create_task_group() as tasks:
        harness = RestartHarness(tasks)
        harness.update_entry()
        await harness.async_advance_time(0.3)
        harness.add(a_step(count=1, long_running=True))
        await harness.async_advance_time(0.3)
        assert harness.task().phase is Phase.RUNNING
        cut_at = harness.timers.monotonic()
        harness.dispatcher.renewal_age_seconds = lambda: (
            harness.timers.monotonic() - cut_at
        )
        harness.worker.unreachable = True
        await harness.async_advance_time(3 * LEASE_SECONDS)
        assert harness.task().phase is Phase.RUNNING
        harness.dispatcher.renewal_age_seconds = lambda: 0.0
        await harness.async_advance_time(0.5)
        assert harness.task().phase is Phase.WAITING
        tasks.cancel_scope.cancel()


@pytest.mark.parametrize("inherited", [True, False])
def test_first_answer_ends_what_earlier_calls_may_have_granted(inherited: bool) -> None:
    """Guard against a lease of an earlier call that outlasts the one counted here."""
    lease = Lease(0.0, MAX_LEASE_SECONDS, inherited)
    lease.record_answer(500.0, 100.0)
    longest = latest_lease_end(100.0, MAX_LEASE_SECONDS)
    assert lease.ends_at == (longest if inherited else 0.0)
    lease.record_answer(2_500.0, 102.0)
    assert lease.ends_at <= longest


@pytest.mark.parametrize("seconds", [0.0, 60.0])
async def test_leases_of_previous_owners_are_counted_for_as_long_as_they_may_run(
    seconds: float,
) -> None:
    """Guard against an adopted run that outlasts the lease counted for it."""
    async with anyio.create_task_group() as tasks:
        harness = RestartHarness(tasks)
        now = harness.timers.monotonic()
        longest_end = latest_lease_end(now, MAX_LEASE_SECONDS)
        harness.scheduler.state.previous_leases_until = longest_end - seconds
        harness.update_entry()
        await harness.async_advance_time(0.3)
        left = harness.session.lease_ends_at - harness.timers.monotonic()
        assert (left > 2 * LEASE_SECONDS) == (seconds == 0.0)
        tasks.cancel_scope.cancel()


@pytest.mark.parametrize("restarts", [True, False])
async def test_only_another_incarnation_may_have_a_lease_by_earlier_calls(
    restarts: bool,
) -> None:
    """Guard against a long wait for a worker that was silent and did not restart."""
    async with a_running_task() as (harness, worker):
        worker.poll_arrives = never
        harness.session.client = worker  # type: ignore[assignment]
        await async_wait_until_rescheduled(harness, worker)
        if restarts:
            worker.restart()
        worker.poll_arrives = staticmethod(lambda number: True)
        harness.update_entry()
        await harness.async_advance_time(0.3, plan=False)
        left = harness.session.lease_ends_at - harness.timers.monotonic()
        assert (left > 2 * LEASE_SECONDS) == restarts
