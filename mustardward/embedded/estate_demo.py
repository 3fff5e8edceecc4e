"""Run the main functions on the simulated platform and report each step."""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable
from typing import Final

import httpx

from ..components.scheduling.const import MAX_CRASHES
from ..exceptions import MustardwardError
from ..helpers.registry import Registry
from ..platform.models import SubmittedStep
from ..standin.estate.estate import SPEC_CRASHES, EstatePlan
from .demo import DemoLine, require
from .estate import EstateFleet, async_run_estate_fleet, async_until

PLAN: Final = EstatePlan(pools=("climate", "batch"), instances=2, standby=2)
ENTRIES: Final = 3
PREFIX: Final = "/climate/"

EstateStep = Callable[[EstateFleet], Awaitable[str]]
ESTATE_STEPS: Registry[str, EstateStep] = Registry("platform demo steps")
"""Steps in order; each returns a description of its outcome, or raises."""


async def async_run_estate_demo() -> list[DemoLine]:
    """Run the steps up to the first failure and return a line for each."""
    lines: list[DemoLine] = []
    started = time.monotonic()
    async with async_run_estate_fleet(PLAN, ENTRIES) as fleet:
        summary = f"{ENTRIES} entries, {len(fleet.estate.workers)} workers, a store"
        lines.append(DemoLine("platform", summary, time.monotonic() - started, True))
        for name in ESTATE_STEPS:
            started = time.monotonic()
            try:
                outcome = await ESTATE_STEPS[name](fleet)
                succeeded = True
            except (MustardwardError, httpx.HTTPError) as error:
                outcome = f"{type(error).__name__}: {error}"
                succeeded = False
            elapsed_seconds = time.monotonic() - started
            lines.append(DemoLine(name, outcome, elapsed_seconds, succeeded))
            if not succeeded:
                break
    return lines


@ESTATE_STEPS.register("platform job")
async def async_job(fleet: EstateFleet) -> str:
    """Run a job of two steps."""
    first = SubmittedStep(count=4, cpu=1000, mem_mb=10, estimate_ms=300)
    second = SubmittedStep(count=2, cpu=1000, mem_mb=10, estimate_ms=300, after=[0])
    path = await fleet.async_submit(PREFIX, [first, second])
    await fleet.async_wait_state(path, "done")
    return f"six tasks in two steps, {_count_starts(fleet)} starts, done"


@ESTATE_STEPS.register("platform job that crashes its workers")
async def async_crash(fleet: EstateFleet) -> str:
    """Submit a job that crashes each worker that starts it."""
    step = SubmittedStep(count=2, cpu=1000, mem_mb=10, estimate_ms=300)
    path = await fleet.async_submit(PREFIX, [step], spec=SPEC_CRASHES)
    await fleet.async_wait_state(path, "failed")
    crashed = len(fleet.estate.crashed)
    require(crashed <= MAX_CRASHES, f"crashed={crashed}")
    return f"{crashed} workers crashed, the job was told as failed"


@ESTATE_STEPS.register("platform rooms that shrink")
async def async_shrink(fleet: EstateFleet) -> str:
    """Reduce the capacity of a pool's workers and run more tasks than fit at once."""
    pool = PREFIX.strip("/")
    workers = [w for w in fleet.estate.workers.values() if w.pool == pool]
    for worker in workers:
        fleet.estate.resize(worker.id, cores=2)
    step = SubmittedStep(count=8, cpu=1000, mem_mb=10, estimate_ms=300)
    path = await fleet.async_submit(PREFIX, [step])
    await fleet.async_wait_state(path, "done")
    for worker in workers:
        if worker.id in fleet.estate.workers:
            fleet.estate.resize(worker.id, cores=PLAN.cores)
    return f"{len(workers)} workers with a quarter of their room, eight tasks, done"


@ESTATE_STEPS.register("platform owner lost")
async def async_lose_owner(fleet: EstateFleet) -> str:
    """Kill the entry that owns the shard and run another job."""
    long_running_step = SubmittedStep(
        count=2, cpu=1000, mem_mb=10, estimate_ms=300, long_running=True, may_miss=1
    )
    path = await fleet.async_submit(PREFIX, [long_running_step])
    await fleet.async_wait_state(path, "running")
    before = _count_starts(fleet)
    owner = fleet.owner()
    if owner is not None:
        owner.kill()
    await async_until(lambda: fleet.owner() not in (None, owner))
    job = await fleet.async_submit(
        PREFIX, [SubmittedStep(count=2, cpu=1000, mem_mb=10, estimate_ms=300)]
    )
    await fleet.async_wait_state(job, "done")
    started = _count_starts(fleet) - before
    require(started == 2, f"starts={started}")
    return "another entry took over; two lasting tasks went on, two new ones ran"


@ESTATE_STEPS.register("platform wave")
async def async_wave(fleet: EstateFleet) -> str:
    """Maintain all instances, two at a time."""
    machines = [instance.machine for instance in fleet.estate.list_instances()]
    fleet.estate.publish_wave(1, machines, max_count=2)
    orders = fleet.estate.orders
    await async_until(
        lambda: sum(kind == "maintain" for kind, _, _ in orders) >= len(machines)
    )
    ordered = sorted(machine for kind, machine, _ in orders if kind == "maintain")
    require(ordered == machines, f"ordered={ordered}")
    return f"{len(machines)} instances maintained once each"


def _count_starts(fleet: EstateFleet) -> int:
    return sum(len(worker.starts) for worker in fleet.estate.workers.values())
