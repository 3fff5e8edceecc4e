"""Run a case: ordinary consumers on three entries, and a disruption between them."""

from __future__ import annotations

import asyncio
import json
import sys
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import aiohttp
from harness import (
    BOUNDS,
    CALLERS_HOST,
    Consumer,
    Fleet,
    Record,
    async_until,
    finish,
    is_troubled,
    open_case,
)

from mustardward.standin.estate.app import async_run_estate
from mustardward.standin.estate.estate import Estate, EstatePlan

ENTRIES = 3
POOLS = ("pool-a", "pool-b")
READY_SECONDS = 20.0
ORDINARY: list[dict[str, Any]] = [
    {"count": 2, "cpu": 1000, "mem-mb": 10, "estimate-ms": 300}
]
ORDINARY_CPU = 2000
"""Thousandths of a core of an ordinary job."""
IDLE_SECONDS = 3.0
"""Time of the rule in which a job has nothing running."""
WATCH_SECONDS = 0.01
MAX_BROKEN = 3
"""Broken jobs after which no further ones are asked for."""


@dataclass(frozen=True, slots=True)
class Case:
    """What a case does beside the ordinary traffic.

    :param async_disrupt: called once unless ``TROUBLE`` is 0.
    """

    async_disrupt: Callable[[World], Awaitable[None]]
    plan: EstatePlan = field(
        default_factory=lambda: EstatePlan(pools=POOLS, instances=3, standby=2)
    )
    warm_up_seconds: float = 6.0
    traffic_seconds: float = 30.0
    interval_seconds: float = 0.5


@dataclass(slots=True, eq=False)
class World:
    """Everything that a disruption may use.

    :param twice: the work units that ran on two minions at once.
    """

    estate: Estate
    fleet: Fleet
    consumer: Consumer
    record: Record
    twice: set[str] = field(default_factory=set)


async def _async_ordinary(consumer: Consumer, until: float, pause: float) -> list[str]:
    """Submit small jobs; return the accepted ones."""
    accepted: list[str] = []
    number = 0
    while time.monotonic() < until:
        prefix = f"/{POOLS[number % len(POOLS)]}/"
        number += 1
        path = await consumer.async_submit(prefix, ORDINARY)
        if path is not None:
            accepted.append(path)
        await asyncio.sleep(pause)
    return accepted


async def _async_check_lost(world: World, accepted: list[str]) -> list[str]:
    """Ask for accepted jobs, the newest first; return what breaks LOST."""
    broken: list[str] = []
    waiting: dict[str, str] = {}
    for path in reversed(accepted):
        status, answer = await world.consumer.async_request("GET", path, attempts=2)
        if status != 200:
            broken.append(f"LOST {path}: accepted, asked for, status={status}")
        elif json.loads(answer)["state"] not in ("done", "failed", "cancelled"):
            waiting[path] = answer.decode()
        elif json.loads(answer)["state"] != "done":
            broken.append(f"LOST {path}: accepted, shown as {answer.decode()}")
        if len(broken) + len(waiting) >= MAX_BROKEN:
            break
    idle = await _async_find_idle(world, list(waiting))
    for path in idle:
        broken.append(
            f"LOST {path}: accepted, {waiting[path]}, nothing of it ran for "
            f"{IDLE_SECONDS:.0f} s, with room"
        )
    return broken


async def _async_find_idle(world: World, paths: list[str]) -> list[str]:
    """Return the jobs that had nothing running for 3 s, with room for it twice over.

    Under half of the capacity of the job's service has to be in use.
    """
    idle = set(paths)
    until = time.monotonic() + IDLE_SECONDS
    while idle and time.monotonic() < until:
        for path in list(idle):
            _, pool, job = path.split("/")
            workers = [w for w in world.estate.workers.values() if w.pool == pool]
            runs = [run for worker in workers for run in worker.runs.values()]
            used = sum(run.workload.resources.cpu for run in runs)
            room = sum(worker.capacity.cpu for worker in workers)
            is_running = any(run.task.startswith(job) for run in runs)
            if is_running or 2 * used >= room or room - used < 2 * ORDINARY_CPU:
                idle.discard(path)
        await asyncio.sleep(0.05)
    return [path for path in paths if path in idle]


async def _async_watch_twice(world: World) -> None:
    """Record the work units that run on two minions, both of them up, at once."""
    overlapping: dict[str, float] = {}
    while True:
        now = time.monotonic()
        places: dict[str, set[str]] = {}
        for worker in world.estate.workers.values():
            for run in worker.runs.values():
                places.setdefault(run.task, set()).add(worker.id)
        for task, names in places.items():
            if len(names) > 1 and task not in overlapping:
                overlapping[task] = now
                world.twice.add(task)
                world.record.write(f"{task} runs on {' and on '.join(sorted(names))}")
        for task in [t for t in overlapping if len(places.get(t, ())) < 2]:
            seconds = now - overlapping.pop(task)
            world.record.write(f"{task} ran twice at a time for {seconds:.2f} s")
        await asyncio.sleep(WATCH_SECONDS)


def _check_twice(world: World) -> list[str]:
    return [f"TWICE {task}: two runs at the same time" for task in sorted(world.twice)]


def _check_ends(world: World) -> list[str]:
    """Return what breaks Fault: processes that ended by themselves."""
    for entry in world.fleet.entries:
        world.record.write(
            f"{entry.name} most_mb={entry.most_mb:.0f} "
            f"memory_ends={entry.memory_ends} own_ends={entry.own_ends}"
        )
    ended = [entry.name for entry in world.fleet.entries if entry.ends >= 3]
    if len(ended) < 2:
        return []
    return [f"Fault: processes of {', '.join(ended)} ended three times or more"]


async def _async_play(case: Case, world: World) -> list[str]:
    """Play the traffic and the disruption; return the broken rules."""
    consumer = world.consumer
    until = time.monotonic() + case.warm_up_seconds + case.traffic_seconds
    ordinary = asyncio.create_task(
        _async_ordinary(consumer, until, case.interval_seconds)
    )
    await asyncio.sleep(case.warm_up_seconds)
    if is_troubled():
        world.record.write("the disruption begins")
        await case.async_disrupt(world)
    accepted = await ordinary
    world.record.write(f"the traffic ends, accepted={len(accepted)}")
    await asyncio.sleep(BOUNDS["finish_s"])
    broken = await _async_check_lost(world, accepted)
    return _check_ends(world) + _check_twice(world) + broken


async def _async_main(case: Case, record: Record, folder: Path) -> list[str]:
    fleet = Fleet(record, folder)
    async with (
        async_run_estate(case.plan, "127.0.0.1") as estate,
        aiohttp.ClientSession() as client,
    ):
        estate.publish_config({f"/{pool}/": pool for pool in POOLS}, CALLERS_HOST)
        consumer = Consumer(fleet, client, record)
        tasks: list[asyncio.Task[None]] = []
        try:
            for _ in range(ENTRIES):
                fleet.add(estate.address)
            tasks.append(asyncio.create_task(consumer.async_probe()))
            if not await async_until(
                lambda: len(consumer.in_rotation) == ENTRIES, READY_SECONDS
            ):
                record.write("the entries did not become ready")
                sys.exit(2)
            tasks.append(asyncio.create_task(fleet.async_supervise()))
            world = World(estate, fleet, consumer, record)
            tasks.append(asyncio.create_task(_async_watch_twice(world)))
            return await _async_play(case, world)
        finally:
            for task in tasks:
                task.cancel()
            fleet.stop()


def run(case: Case, folder: Path) -> None:
    """Run a case and exit with its result.

    :param folder: where ``record.txt`` is written.
    """
    with open_case(folder) as (record, temporary):
        finish(record, asyncio.run(_async_main(case, record, temporary)))
