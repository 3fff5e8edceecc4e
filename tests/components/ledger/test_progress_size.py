"""Test that a progress record is never larger than the store accepts."""

from __future__ import annotations

import random

import msgspec
import pytest

from mustardward.components.ledger.bitset import pack_indices
from mustardward.components.ledger.ledger import encode
from mustardward.components.ledger.models import (
    JobState,
    Progress,
    StepProgress,
    TaskProgress,
)
from mustardward.components.ledger.progress_size import encode_within

RECORD_BYTES = 262_144
RUN = 1 << 40


def a_progress(tasks: list[TaskProgress], count: int) -> Progress:
    """Return progress of a job with one step, half of whose tasks are done."""
    done = pack_indices(range(0, count, 2))
    return Progress(JobState.RUNNING, [StepProgress(0, 0, done)], tasks)


def decode(value: bytes) -> Progress:
    return msgspec.msgpack.decode(value, type=Progress)


def test_progress_that_fits_is_stored_as_it_is() -> None:
    progress = a_progress([TaskProgress(0, 0, 1, (7,), "c" * 16)], 10)
    encoded = encode_within(progress, RECORD_BYTES)
    assert (encoded.value, encoded.is_complete) == (encode(progress), True)


@pytest.mark.parametrize("count", [10_000, 14_000, 100_000])
def test_checkpoints_of_a_wide_job_are_stored_as_far_as_they_fit(count: int) -> None:
    """Guard against a record of 10,000 checkpoints that the store refuses for good."""
    tasks = [TaskProgress(0, 0, index, (), f"{index:016x}") for index in range(count)]
    encoded = encode_within(a_progress(tasks, count), RECORD_BYTES)
    assert RECORD_BYTES * 0.9 < len(encoded.value) <= RECORD_BYTES
    stored = decode(encoded.value)
    assert len(stored.tasks) == count - encoded.dropped_checkpoints
    assert encoded.dropped_failures == 0


def test_failed_runs_are_kept_before_checkpoints() -> None:
    """Guard against a task that gets more attempts since checkpoints took the room."""
    tasks = [
        TaskProgress(0, 0, index, (RUN + index,) if index % 3 == 0 else (), "c" * 40)
        for index in range(20_000)
    ]
    encoded = encode_within(a_progress(tasks, 20_000), RECORD_BYTES)
    stored = decode(encoded.value)
    assert encoded.dropped_failures == 0
    assert sum(bool(task.failed_runs) for task in stored.tasks) == 6667


def test_tasks_with_the_most_failures_are_kept() -> None:
    """Guard against forgetting the failures of tasks that are about to be given up."""
    tasks = [
        TaskProgress(0, 0, index, tuple(range(RUN, RUN + 1 + index % 5)))
        for index in range(40_000)
    ]
    encoded = encode_within(a_progress(tasks, 40_000), RECORD_BYTES)
    assert len(encoded.value) <= RECORD_BYTES
    stored = decode(encoded.value)
    assert len(stored.tasks) == 40_000 - encoded.dropped_failures
    assert min(len(task.failed_runs) for task in stored.tasks) == 5


def test_done_tasks_alone_that_do_not_fit_give_no_record() -> None:
    steps = [StepProgress(k, 0, bytes(20)) for k in range(20_000)]
    encoded = encode_within(Progress(JobState.RUNNING, steps), RECORD_BYTES)
    assert (encoded.value, encoded.is_complete) == (b"", False)


@pytest.mark.parametrize("seed", range(12))
def test_no_record_is_too_large(seed: int) -> None:
    """Guard against sizes that are counted too low."""
    rng = random.Random(seed)
    limit = rng.choice([2_000, 5_000, 70_000])
    tasks = [
        TaskProgress(
            rng.randrange(3),
            rng.randrange(200),
            index,
            tuple(rng.randrange(1 << 44) for _ in range(rng.choice([0, 0, 1, 4]))),
            "c" * rng.choice([0, 16, 40, 300]),
            tuple("w" * 30 for _ in range(rng.choice([0, 0, 0, 2]))),
        )
        for index in range(rng.choice([50, 3000]))
    ]
    encoded = encode_within(a_progress(tasks, 3000), limit)
    assert 0 < len(encoded.value) <= limit
    names = {(task.occurrence, task.step, task.index): task for task in tasks}
    for task in decode(encoded.value).tasks:
        whole = names[task.occurrence, task.step, task.index]
        assert task.failed_runs == whole.failed_runs
        assert task.checkpoint in ("", whole.checkpoint)
