"""Test that an owner takes over from records that contain odd values."""

from __future__ import annotations

import copy
import math
import random
from collections.abc import Iterator
from typing import Any

import msgspec
import pytest

from mustardward.components.fleet.wave_planner import resume_wave
from mustardward.components.ledger.const import (
    KEY_OWNER,
    PREFIX_JOB,
    PREFIX_NODE,
    PREFIX_PROGRESS,
    PREFIX_RUN_TIMES,
    PREFIX_WAVE,
)
from mustardward.components.ledger.ledger import Ledger, encode
from mustardward.components.ledger.models import OwnerRecord
from mustardward.components.ownership.claim_ranking import claim_rank
from mustardward.components.ownership.election import Election, should_hand_over
from mustardward.components.ownership.renewals import blocked_until
from mustardward.components.ownership.takeover import hold_previous_runs
from mustardward.components.scheduling.models import Phase
from mustardward.platform.models import MaintenanceWave
from mustardward.platform.store import KeyedRecord

from .builders import JOB, SchedulerBench, a_job, a_step

Path = tuple[int | str, ...]

DEEP: Any = msgspec.Raw(b"\x91" * 100_000 + b"\xc0")
ODD_VALUES: list[Any] = [
    *(math.nan, math.inf, -math.inf, 1e308, -1e308, 2**63, 2**64 - 1, -(2**63)),
    *(2**53, 10**6, -1, -5, True, None, "", "x\r\ny=z", b"", b"\xff" * 32_768),
    *([], {}, [[]], [2**63, 2**64 - 1], [0, 2**62], [-5, 5], {"a": math.nan}, DEEP),
]
JOB_RECORD = msgspec.to_builtins(
    a_job(a_step(count=3, mem_mb=1, estimate_ms=100.0), a_step(after=[0])).record
)
TIMED_RECORD = [*JOB_RECORD[:5], 5, 999_000.0, 100.0, *JOB_RECORD[8:]]
POLICY = ["pool-a", 0, 3, 2.0, 1.0, None]
PROGRESS = [1, [[0, 0, b"\x01"]], [[0, 0, 1, [1], "c", ["w"]]], 0.0, ["z"], [], POLICY]
VALID: dict[str, Any] = {
    PREFIX_JOB + JOB: JOB_RECORD,
    PREFIX_PROGRESS + JOB: PROGRESS,
    KEY_OWNER: [3, "c", "n", 1, 1000.0, ["m"], True],
    PREFIX_WAVE + "1": [["m"], False, 1.0],
    PREFIX_NODE + "e": ["127.0.0.1:1", "z", 1.0],
    PREFIX_RUN_TIMES + "q": [[1.0] * 8, {"o": 1.0}],
}
CASES_PER_KEY = 30


def paths_of(value: Any, path: Path = ()) -> Iterator[Path]:
    """Yield the path of a value and of all values in it."""
    yield path
    if isinstance(value, list):
        for index, inner in enumerate(value):
            yield from paths_of(inner, (*path, index))
    elif isinstance(value, dict):
        for name, inner in value.items():
            yield from paths_of(inner, (*path, name))


def with_value(value: Any, path: Path, odd: Any) -> Any:
    """Return a copy of a value that is odd at a path."""
    if not path:
        return odd
    changed = copy.copy(value)
    changed[path[0]] = with_value(value[path[0]], path[1:], odd)
    return changed


def take_over(ledger: Ledger) -> SchedulerBench:
    """Do what an entry node does to claim the shard and to own it."""
    bench = SchedulerBench()
    bench.worker("w-1")
    now, owner, state = bench.now, ledger.owner, bench.scheduler.state
    election = Election("e", 0.5)
    election.observe(owner, now)
    election.should_query(now)
    election.should_claim(now)
    should_hand_over(1.0, [node.speed for node in ledger.nodes.values()])
    claim_rank("e", owner, ledger.nodes)
    encode(OwnerRecord(owner.epoch + 1, "c", "e", owner.renewal + 1))
    blocked_until(owner, now, now, 3.0)
    hold_previous_runs(state, owner, now)
    state.takeover_hold_until = 0.0
    for stored in ledger.waves.values():
        resume_wave(MaintenanceWave(1, ["m"], 10.0), stored, now, now)
    for queue, record in ledger.run_times.items():
        state.estimates.restore(queue, record)
    for job in ledger.jobs.values():
        bench.scheduler.add_job(job, now, now)
    return bench


def run_jobs(bench: SchedulerBench) -> None:
    """Start the tasks, end them, and store their progress."""
    for _ in range(3):
        bench.now += 0.5
        bench.plan_starts()
        for _, progress in bench.scheduler.take_dirty(bench.now, bench.now):
            encode(progress)
        bench.scheduler.mark_stored(list(bench.scheduler.state.jobs))
        for task in list(bench.scheduler.state.workers["w-1"].tasks.values())[:2]:
            bench.end(task, "done")


@pytest.mark.parametrize("job", [JOB_RECORD, TIMED_RECORD])
@pytest.mark.parametrize("key", list(VALID))
def test_an_odd_record_stops_no_owner(key: str, job: Any) -> None:
    """Guard against owners that end one after the other on the same record."""
    records = {**VALID, PREFIX_JOB + JOB: job}
    cases = [(path, odd) for path in paths_of(records[key]) for odd in ODD_VALUES]
    rng = random.Random(key)
    for path, odd in rng.sample(cases, min(CASES_PER_KEY, len(cases))):
        ledger = Ledger()
        for name, record in records.items():
            value = with_value(record, path, odd) if name == key else record
            ledger.apply(KeyedRecord(1, name, msgspec.msgpack.encode(value)))
        run_jobs(take_over(ledger))


@pytest.mark.parametrize("number", [2**53 + 1, 2**64 - 1])
@pytest.mark.parametrize("place", [0, 3])
def test_an_epoch_that_none_can_follow_is_ignored(place: int, number: int) -> None:
    """Guard against entry nodes that all end when they claim the next epoch."""
    odd = with_value(VALID[KEY_OWNER], (place,), number)
    ledger = Ledger()
    for record in (VALID[KEY_OWNER], odd):
        ledger.apply(KeyedRecord(1, KEY_OWNER, msgspec.msgpack.encode(record)))
    assert ledger.owner.epoch == 3
    take_over(ledger)


@pytest.mark.parametrize("odd", [math.nan, math.inf, 1e308, -1.0])
@pytest.mark.parametrize("place", [6, 7])
def test_a_job_at_an_impossible_time_is_ignored(place: int, odd: float) -> None:
    """Guard against an owner that ends when it computes what is due."""
    ledger = Ledger()
    record = with_value(TIMED_RECORD, (place,), odd)
    ledger.apply(KeyedRecord(1, PREFIX_JOB + JOB, msgspec.msgpack.encode(record)))
    assert not ledger.jobs
    run_jobs(take_over(ledger))


@pytest.mark.parametrize("index", [-1, -4])
def test_a_negative_task_index_is_skipped(index: int) -> None:
    """Guard against failed runs that are counted for another task."""
    ledger = Ledger()
    odd = with_value(PROGRESS, (2, 0, 2), index)
    for key, record in ((PREFIX_JOB, JOB_RECORD), (PREFIX_PROGRESS, odd)):
        ledger.apply(KeyedRecord(1, key + JOB, msgspec.msgpack.encode(record)))
    bench = take_over(ledger)
    tasks = [bench.task(number) for number in range(3)]
    assert [task.phase is Phase.DONE for task in tasks] == [True, False, False]
    assert not any(task.failed_runs for task in tasks)
