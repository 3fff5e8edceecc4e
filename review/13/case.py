"""Carry out one start late, on a minion that has started again under its id."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

import msgspec
from aiohttp import web
from traffic import Case, World, run

from mustardward.platform import names
from mustardward.platform.bodies import StartBody
from mustardward.standin.estate import app
from mustardward.standin.estate.worker import MemoryWorker

LATE_SECONDS = 5.0
"""Delay of the order, between 2 and 12 s."""
UNANSWERED_SECONDS = 30.0
STEP = {"count": 1, "cpu": 1000, "mem-mb": 10, "estimate-ms": 15_000}

held: list[tuple[StartBody, str]] = []
held_job = ""
async_start = app.EstateApp._async_start


async def async_hold_start(
    platform: app.EstateApp, request: web.Request
) -> web.StreamResponse:
    """Keep the first start of the job on its way, without an answer."""
    order = msgspec.json.decode(await request.read(), type=StartBody)
    if held_job and order.task.startswith(held_job) and not held:
        held.append((order, request.headers[names.HEADER_EXPECTED]))
        await asyncio.sleep(UNANSWERED_SECONDS)
        return web.Response(status=503)
    return await async_start(platform, request)


def find_runs(world: World) -> list[MemoryWorker]:
    """Return the minions on which the job runs."""
    return [
        worker
        for worker in world.estate.workers.values()
        if any(task.startswith(held_job) for task in worker.runs)
    ]


async def async_disrupt(world: World) -> None:
    """Hold up a start, restart its minion, and deliver the start then."""
    global held_job
    path = await world.consumer.async_submit("/pool-a/", [STEP], "held")
    held_job = (path or "").rpartition("/")[2]
    sent_at = time.monotonic()
    await asyncio.sleep(LATE_SECONDS)
    if not held or not find_runs(world):
        world.record.write("the start was not held up, or not repeated elsewhere")
        return
    order, minion = held[0]
    other = [worker.id for worker in find_runs(world)]
    world.record.write(
        f"{order.task} run={order.run} sent to {minion}, runs on {other}"
    )
    restarted = world.estate.restart(minion, time.monotonic())
    clock_ms = time.monotonic() * 1000 - restarted.clock_zero_ms
    reason = restarted.start(order, clock_ms)
    world.record.write(
        f"{minion} started again, and carries the start out "
        f"{time.monotonic() - sent_at:.1f} s late, reason={reason!r}"
    )


app.EstateApp._async_start = async_hold_start  # type: ignore[method-assign]

if __name__ == "__main__":
    run(Case(async_disrupt, traffic_seconds=20.0), Path(__file__).parent)
