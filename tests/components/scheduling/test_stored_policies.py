"""Test that jobs keep the policy of a queue that is not configured any more."""

from __future__ import annotations

import random

import msgspec
import pytest

from mustardward.components.ledger.ledger import LedgerJob, encode
from mustardward.components.ledger.models import JobRecord, JobState, Progress
from mustardward.components.scheduling.commands import RequestAdvice, Start
from mustardward.components.scheduling.models import QueuePolicy
from mustardward.components.scheduling.scheduler import Scheduler
from mustardward.platform.models import ENDED_FAILED

from .builders import ADVICE, JOB, POOL, SchedulerBench, a_job, a_step

WITH_ADVICE = QueuePolicy(POOL, priority=2, max_attempts=5, advice=ADVICE)
QUEUES = ("host /a/", "host /b/", "host /c/")
_JOB = msgspec.msgpack.Decoder(JobRecord)
_PROGRESS = msgspec.msgpack.Decoder(Progress)


class _Process:
    """A scheduler of a process that has read some configurations."""

    def __init__(self, configured: dict[str, QueuePolicy]) -> None:
        self.policies = dict(configured)
        self.scheduler = Scheduler(1, self.policies.get)

    def configure(self, configured: dict[str, QueuePolicy]) -> None:
        self.policies.update(configured)
        self.scheduler.update_policies()

    def policy_of(self, job: str) -> QueuePolicy:
        return self.scheduler.state.jobs[job].policy


def a_bench_without_the_queue(*jobs: LedgerJob, epoch: int = 2) -> SchedulerBench:
    """Return the bench of a process that started after the queue was removed."""
    bench = SchedulerBench(epoch=epoch)
    bench.scheduler = Scheduler(epoch, lambda queue: None)
    bench.worker("w1")
    for job in jobs:
        bench.add(job)
    return bench


def test_advice_is_asked_for_a_job_of_a_removed_queue() -> None:
    """Guards against an accepted job that never starts after its route is removed."""
    job = a_job(a_step(count=1), policy=WITH_ADVICE.to_record())
    bench = a_bench_without_the_queue(job)
    commands = bench.plan()
    assert [type(command) for command in commands] == [RequestAdvice]
    bench.advise(commands[0], "w1")  # type: ignore[arg-type]
    assert [type(command) for command in bench.plan()] == [Start]


def test_attempts_of_a_job_of_a_removed_queue_are_limited_as_configured() -> None:
    """Guards against giving a job up too early, or trying it too often."""
    policy = QueuePolicy(POOL, max_attempts=5)
    bench = a_bench_without_the_queue(a_job(a_step(count=1), policy=policy.to_record()))
    for attempt in range(1, 6):
        (start,) = bench.plan_starts()
        bench.end(start.task, ENDED_FAILED)
        job = bench.scheduler.state.jobs[JOB]
        assert (job.state is JobState.FAILED) == (attempt == 5)


def test_the_newest_policy_of_a_queue_outlives_the_process_that_read_it() -> None:
    """Guards against a policy that goes back to the one of the job's acceptance."""
    job = a_job(a_step(count=1), policy=QueuePolicy(POOL).to_record())
    process = _Process({job.record.queue: QueuePolicy(POOL)})
    process.scheduler.add_job(job, 0.0, 0.0)
    process.scheduler.take_dirty(0.0, 0.0)
    process.configure({job.record.queue: WITH_ADVICE})
    (stored,) = process.scheduler.take_dirty(0.0, 0.0)
    job.progress = stored[1]
    later = _Process({})
    later.scheduler.add_job(job, 0.0, 0.0)
    assert later.policy_of(JOB) == WITH_ADVICE
    assert later.scheduler.take_dirty(0.0, 0.0) == []


def test_the_policy_of_a_job_of_an_older_build_is_stored() -> None:
    """Guards against a job that was accepted before policies were stored."""
    job = a_job(a_step(count=1))
    job.progress = Progress(JobState.RUNNING)
    process = _Process({job.record.queue: WITH_ADVICE})
    process.scheduler.add_job(job, 0.0, 0.0)
    (stored,) = process.scheduler.take_dirty(0.0, 0.0)
    job.progress = stored[1]
    later = _Process({})
    later.scheduler.add_job(job, 0.0, 0.0)
    assert later.policy_of(JOB) == WITH_ADVICE


@pytest.mark.parametrize("seed", range(20))
def test_a_process_that_started_later_decides_by_the_same_policies(seed: int) -> None:
    """Guards against decisions that depend on what a process happened to read."""
    rng = random.Random(seed)
    configured: dict[str, QueuePolicy] = {}
    oldest = _Process({})
    stored: dict[str, LedgerJob] = {}
    for number in range(60):
        action = rng.choice(("change", "drop", "submit", "submit", "restart"))
        queue = rng.choice(QUEUES)
        if action == "change":
            configured[queue] = QueuePolicy(
                rng.choice((POOL, "pool-b")),
                rng.randrange(3),
                rng.randrange(1, 6),
                advice=rng.choice((None, ADVICE)),
            )
            oldest.configure(configured)
        elif action == "drop":
            configured.pop(queue, None)
        elif action == "submit" and queue in configured:
            job = f"{number:016x}"
            policy = configured[queue].to_record()
            stored[job] = a_job(job=job, queue=queue, policy=policy)
            oldest.scheduler.add_job(stored[job], 0.0, 0.0)
        for job, progress in oldest.scheduler.take_dirty(0.0, 0.0):
            record = _JOB.decode(encode(stored[job].record))
            stored[job] = LedgerJob(record, _PROGRESS.decode(encode(progress)))
        later = _Process(configured)
        for ledger_job in stored.values():
            later.scheduler.add_job(ledger_job, 0.0, 0.0)
        for job in stored:
            assert later.policy_of(job) == oldest.policy_of(job)
        if action == "restart":
            oldest = later
