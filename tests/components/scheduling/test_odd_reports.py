"""Test that a scheduler goes on after reports with odd values."""

from __future__ import annotations

import pytest

from mustardward.components.ledger.ledger import encode
from mustardward.components.scheduling.models import Phase
from mustardward.platform.exceptions import CallUnknownError
from mustardward.platform.workers import WorkerReport

from ...platform.odd_values import encode_object, odd_rows
from ...platform.test_odd_responses import REPORT, a_worker
from .builders import JOB, SchedulerBench, a_job, a_step

pytestmark = pytest.mark.anyio

NAME = f'"{JOB}.0.0.0"'.encode()


async def async_decode(rows: bytes, field: str) -> WorkerReport | None:
    """Return the report with these rows, or None if it is rejected."""
    body = encode_object({**REPORT, field: b"[" + rows + b"]"})
    try:
        return await a_worker(body).async_poll(0, None, 0)
    except CallUnknownError:
        return None


def a_bench() -> SchedulerBench:
    """Return a scheduler with a job of three tasks on a worker."""
    bench = SchedulerBench()
    bench.worker("w-1")
    bench.add(a_job(a_step(count=3)))
    bench.plan_starts()
    return bench


@pytest.mark.parametrize("how", [b'"done"', b'"failed"', b'"stopped"'])
async def test_progress_can_be_stored_after_an_odd_end(how: bytes) -> None:
    """Guard against an owner that ends when it stores what a worker reported."""
    for row in odd_rows([b"58", NAME, b"1", how, b'"7a21"']):
        report = await async_decode(row, "ended")
        if report is None:
            continue
        bench = a_bench()
        bench.scheduler.apply_worker_report("w-1", report, bench.now, bench.now)
        bench.plan_starts()
        for _, progress in bench.scheduler.take_dirty(bench.now, bench.now):
            encode(progress)


@pytest.mark.parametrize("index", [-1, -4])
async def test_a_negative_index_ends_no_other_task(index: int) -> None:
    """Guard against a task that counts as done although it never ran to its end."""
    bench = a_bench()
    row = f'[1,"{JOB}.0.0.{index}",1,"done",""]'.encode()
    report = await async_decode(row, "ended")
    if report is not None:
        bench.scheduler.apply_worker_report("w-1", report, bench.now, bench.now)
    assert not any(bench.task(number).phase is Phase.DONE for number in range(3))
