"""Test that an owner that is stopped while it releases renews no lease afterwards."""

from __future__ import annotations

from typing import Any

import anyio
import pytest

from mustardward.components.ownership.takeover import hold_previous_runs
from mustardward.components.scheduling.models import QueuePolicy
from mustardward.components.scheduling.scheduler import Scheduler

from ..fleet.live_workers import EPOCH
from ..scheduling.builders import JOB, POOL
from .test_release import STEP_SECONDS, ReleaseHarness

pytestmark = pytest.mark.anyio

FIRST_ANSWER_SECONDS = 0.1


class HeldAnswers:
    """Hold the answers to appends until they are delivered one by one."""

    def __init__(self, harness: ReleaseHarness) -> None:
        store: Any = harness.store
        self._append = store.async_append
        self._waiting: list[anyio.Event] = []
        store.async_append = self.async_append

    async def async_append(self, *args: Any, **kwargs: Any) -> int:
        end: int = await self._append(*args, **kwargs)
        arrived = anyio.Event()
        self._waiting.append(arrived)
        await arrived.wait()
        return end

    def deliver(self) -> None:
        """Deliver the answer that has waited longest."""
        self._waiting.pop(0).set()


@pytest.mark.parametrize("paused_seconds", [0.0, 3.0])
async def test_released_owner_that_was_stopped_renews_no_lease(
    paused_seconds: float,
) -> None:
    """Guard against tasks that run twice after a release and a pause of the process.

    The ends that a poll waits for are stored in one append with the release, since an
    announcement was under way. The successor can't reach the worker.
    """
    async with anyio.create_task_group() as tasks:
        harness = ReleaseHarness(tasks)
        await harness.async_advance_time(0.1)
        harness.connect()
        harness.submit()
        await harness.async_advance_time(1.0)
        assert harness.worker.running() == {f"{JOB}.0.0.0"}
        owner = harness.owner
        assert owner.dispatcher is not None
        session = owner.dispatcher.sessions["i-01"]
        polled_at = session.clock.read_at
        while session.clock.read_at == polled_at:
            await harness.async_advance_time(STEP_SECONDS)
        answers = HeldAnswers(harness)
        tasks.start_soon(owner._renewals.async_announce, "m-00")
        await anyio.wait_all_tasks_blocked()
        session.received_upto = session.stored_upto + 1
        session._stored = anyio.Event()
        owner.scheduler.state.mark_dirty(owner.scheduler.state.jobs[JOB])
        owner.request_work()
        await harness.async_advance_time(FIRST_ANSWER_SECONDS)
        tasks.start_soon(owner.async_release)
        await anyio.wait_all_tasks_blocked()
        answers.deliver()
        await anyio.wait_all_tasks_blocked()
        release = harness.newest_owner_record()
        assert not release.node and release.settled
        successor = Scheduler(EPOCH + 1, lambda queue: QueuePolicy(service=POOL)).state
        hold_previous_runs(successor, release, harness.timers.monotonic())
        assert session._stored.statistics().tasks_waiting
        harness.timers.pause(paused_seconds)
        answers.deliver()
        await anyio.wait_all_tasks_blocked()
        tasks.cancel_scope.cancel()
    released_after = successor.takeover_hold_until - harness.timers.monotonic()
    await harness.timers.async_advance(released_after)
    assert harness.worker.running() == set()
