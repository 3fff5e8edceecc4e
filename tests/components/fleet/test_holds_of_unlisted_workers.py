"""Test how long a long-running task waits for a worker that is not listed."""

from __future__ import annotations

import pytest

from mustardward.components.ledger.models import OwnerRecord, UnansweredStart
from mustardward.components.ownership.takeover import hold_previous_runs
from mustardward.platform.workers import TaskName, encode_task

from ..scheduling.builders import HOLD_SECONDS, JOB
from .builders import an_instance
from .live_workers import LiveWorkersHarness, a_harness

pytestmark = pytest.mark.anyio

MAX_WAIT_SECONDS = 6.0
"""Time after its last run by which a long-running task has to run if there is room."""


def take_over(harness: LiveWorkersHarness, worker: str) -> None:
    """Take over from an owner whose start on a worker got no response."""
    name = encode_task(TaskName(JOB, 0, 0, 0))
    start = UnansweredStart(name, 1 << 20, worker, HOLD_SECONDS)
    release = OwnerRecord(1, "c", "", 5, settled=True, unanswered=[start])
    now = harness.timers.monotonic()
    hold_previous_runs(harness.scheduler.state, release, now)
    for other in harness.workers:
        harness.register(other)
    harness.submit()


async def test_a_worker_that_the_successor_never_met_keeps_no_task_waiting() -> None:
    """Guard against a task that waits for a worker which was gone at the takeover."""
    async with a_harness() as harness:
        take_over(harness, "i-02")
        await harness.async_advance_time(MAX_WAIT_SECONDS)
        assert len(harness.hosts()) == 1


async def test_a_worker_whose_machine_has_another_one_keeps_no_task_waiting() -> None:
    """Guard against a task that waits for a worker that can't restart under its id."""
    async with a_harness() as harness:
        harness.list.rows.append(an_instance(2, id="i-02"))
        await harness.async_advance_time(2.5)
        take_over(harness, "i-02")
        harness.list.rows[2] = an_instance(2, id="i-12")
        await harness.async_advance_time(3.0)
        assert len(harness.hosts()) == 1


async def test_a_listed_worker_without_an_entry_is_still_waited_for() -> None:
    """Guard against a second run beside that of a worker whose entry has expired."""
    async with a_harness() as harness:
        harness.list.rows.append(an_instance(2))
        take_over(harness, "i-02")
        await harness.async_advance_time(2 * MAX_WAIT_SECONDS)
        assert not harness.hosts()
