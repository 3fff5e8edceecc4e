"""Measure what long work costs a node: placements, ticks, memory of the fold."""

from __future__ import annotations

import gc
import time
import tracemalloc
from collections.abc import Callable, Iterator
from random import Random
from typing import Any

from mustardward.components.jobs.models import Need, total_capacity
from mustardward.components.jobs.placement import (
    Candidate,
    PoolView,
    plan_placements,
)
from mustardward.state.fold import Fold
from mustardward.state.handlers.all import WORK_HANDLERS
from mustardward.state.models.jobs import (
    AcceptJob,
    CloseIntent,
    EndAttempt,
    LeaseJob,
    OpenIntent,
)
from mustardward.state.models.pools import Instance
from mustardward.state.records import encode_batch, make_record
from mustardward.state.work import WorkState
from tests.fakes.jobs_world import JobsWorld

PLACEMENTS = 64
ROUNDS = 20
COUNT = 5_000


def placement_microseconds(workers: int) -> float:
    """Return the processor time of one placement among some workers of a pool."""
    instances = [
        Instance(f"worker-{n}", "dc-1", "rack", "address", "casting", 1)
        for n in range(workers)
    ]
    spent = 0.0
    placed = 0
    for number in range(ROUNDS):
        view = PoolView([total_capacity(item) for item in instances], 1_000_000)
        candidates = [
            Candidate(f"job-{n}", f"organisation-{n % 9}", Need(1, 1, 0), 0.0)
            for n in range(PLACEMENTS)
        ]
        began = time.process_time()
        placed += len(plan_placements(view, candidates, PLACEMENTS, Random(number)))
        spent += time.process_time() - began
    return spent / placed * 1e6


async def async_tick_microseconds(tasks: int) -> float:
    """Return the processor time of one tick that holds running tasks, none due."""
    world = JobsWorld(workers_count=tasks // 8, slots=8)
    entry = world.add_entry("a")
    for number in range(tasks):
        job_id = await world.async_submit(entry, f"plan-{number}")
        world.workers.seconds[job_id] = 1e6
    while len(entry.attempt_manager.attempts) < tasks:
        await world.async_run(1)
    await world.async_run(1000)
    for attempt in entry.attempt_manager.attempts.values():
        attempt.renewed_at = world.timers.monotonic()
    began = time.process_time()
    for _ in range(ROUNDS):
        await entry.scheduler.async_tick()
    return (time.process_time() - began) / ROUNDS * 1e6


def bytes_each(make: Callable[[int, int], Iterator[Any]]) -> float:
    """Return the memory that one folded thing takes; ``make`` yields its records."""
    fold: Fold[WorkState] = Fold(WorkState(), WORK_HANDLERS)
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    offset = 0
    for number in range(COUNT):
        for body in make(number, fold.sequence):
            record = make_record(body, record_id=f"r{offset}", actor="a", stamp=0.0)
            fold.apply(offset, encode_batch([record]))
            offset += 1
    gc.collect()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return (after - before) / COUNT


def intent(number: int, sequence: int) -> Iterator[Any]:
    """Yield the records of one keyed request whose answer is not kept."""
    key = f"{number:032x}"
    yield OpenIntent("derwent", key, f"{number:032x}", "entry-1/1764700000")
    yield CloseIntent("derwent", key, "entry-1/1764700000", "yes", opened=sequence + 1)


def waiting_job(number: int, sequence: int) -> Iterator[Any]:
    """Yield the record of one job with a payload of 200 bytes."""
    job_id = f"derwent.{number:032x}"
    yield AcceptJob(job_id, "derwent", "castings", "casting", payload=b"p" * 200)


def done_job(number: int, sequence: int) -> Iterator[Any]:
    """Yield the records of one job with a result of 200 bytes."""
    yield from waiting_job(number, sequence)
    job_id = f"derwent.{number:032x}"
    yield LeaseJob(job_id, 0, "entry-1/1", "worker-1")
    yield EndAttempt(job_id, sequence + 2, "done", result=b"r" * 200)
