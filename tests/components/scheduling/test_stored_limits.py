"""Test that jobs keep the limits of an organisation that is not configured any more."""

from __future__ import annotations

import random

import msgspec
import pytest

from mustardward.components.ledger.ledger import LedgerJob, encode
from mustardward.components.ledger.models import (
    JobRecord,
    JobState,
    LimitsRecord,
    Progress,
)
from mustardward.components.scheduling.models import QueuePolicy
from mustardward.components.scheduling.organisation_limits import OrganisationLimits
from mustardward.components.scheduling.scheduler import Scheduler
from mustardward.platform.models import Room

from .builders import JOB, POOL, SchedulerBench, a_job, a_step

ORGANISATIONS = ("dairy", "gauges", "trains")
ONE_CORE = LimitsRecord(3, 1.0, Room(cpu=1000))
TWO_CORES = LimitsRecord(5, 2.0, Room(cpu=2000))
_JOB = msgspec.msgpack.Decoder(JobRecord)
_PROGRESS = msgspec.msgpack.Decoder(Progress)


class _Process:
    """A scheduler of a process that has read some configurations."""

    def __init__(self, configured: dict[str, LimitsRecord]) -> None:
        self.configured = dict(configured)
        self.limits = OrganisationLimits(self.configured.get)
        self.scheduler = Scheduler(
            1,
            lambda queue: QueuePolicy(POOL),
            quota_of=self.limits.quota_of,
            rate_of=self.limits.rate_of,
            limits=self.limits,
        )

    def configure(self, configured: dict[str, LimitsRecord]) -> None:
        self.configured.update(configured)
        self.scheduler.update_policies()

    def add(self, job: LedgerJob) -> None:
        self.scheduler.add_job(job, 0.0, 0.0)

    def store(self, job: LedgerJob) -> bool:
        """Store the progress that is due with the job; return whether any is."""
        due = dict(self.scheduler.take_dirty(0.0, 0.0))
        job.progress = due.get(job.record.id, job.progress)
        return bool(due)


def test_quota_of_a_removed_organisation_limits_a_process_that_started_later() -> None:
    """Guards against jobs without a quota after a restart of all entry nodes."""
    process = _Process({})
    bench = SchedulerBench()
    bench.scheduler = process.scheduler
    bench.worker("w1")
    bench.add(a_job(a_step(count=4, cpu=1000), organisation="dairy", limits=TWO_CORES))
    assert len(bench.plan_starts()) == 2
    assert process.limits.rate_of("dairy") == 2.0


def test_newest_limits_outlive_the_process_that_read_them() -> None:
    """Guards against limits that go back to those of the job's acceptance."""
    job = a_job(organisation="dairy", limits=ONE_CORE)
    process = _Process({"dairy": ONE_CORE})
    process.add(job)
    process.store(job)
    process.configure({"dairy": TWO_CORES})
    assert process.store(job)
    later = _Process({})
    later.add(job)
    assert later.limits.find("dairy") == TWO_CORES
    assert not later.store(job)


def test_limits_of_a_job_of_an_older_build_are_stored() -> None:
    """Guards against a job that was accepted before limits were stored."""
    job = a_job(organisation="dairy")
    job.progress = Progress(JobState.RUNNING)
    process = _Process({"dairy": ONE_CORE})
    process.add(job)
    assert process.store(job)
    later = _Process({})
    later.add(job)
    assert later.limits.find("dairy") == ONE_CORE


def test_unchanged_limits_of_a_newer_version_are_not_stored_again() -> None:
    """Guards against a write of every job after each change of the configuration."""
    job = a_job(organisation="dairy", limits=ONE_CORE)
    job.progress = Progress(JobState.RUNNING)
    same = LimitsRecord(9, ONE_CORE.weight, ONE_CORE.quota)
    process = _Process({"dairy": same})
    process.add(job)
    process.configure({"dairy": LimitsRecord(12, same.weight, same.quota)})
    assert not process.store(job)


def test_limits_of_an_older_configuration_do_not_replace_stored_ones() -> None:
    """Guards against an owner that is behind the log of the configuration."""
    process = _Process({"dairy": ONE_CORE})
    process.add(a_job(job=JOB, organisation="dairy", limits=TWO_CORES))
    assert process.limits.find("dairy") == TWO_CORES


@pytest.mark.parametrize("order", [(ONE_CORE, TWO_CORES), (TWO_CORES, ONE_CORE)])
def test_newest_of_the_stored_limits_counts(
    order: tuple[LimitsRecord, LimitsRecord],
) -> None:
    """Guards against a quota that depends on the order in which jobs are restored."""
    process = _Process({})
    for number, limits in enumerate(order):
        job = f"{number:016x}"
        process.add(a_job(job=job, organisation="dairy", limits=limits))
    assert process.limits.find("dairy") == TWO_CORES


@pytest.mark.parametrize("seed", range(20))
def test_a_process_that_started_later_decides_by_the_same_limits(seed: int) -> None:
    """Guards against decisions that depend on what a process happened to read."""
    rng = random.Random(seed)
    configured: dict[str, LimitsRecord] = {}
    oldest = _Process({})
    stored: dict[str, LedgerJob] = {}
    for number in range(60):
        action = rng.choice(("change", "drop", "submit", "submit", "restart"))
        name = rng.choice(ORGANISATIONS)
        if action == "change":
            quota = Room(cpu=rng.randrange(4) * 1000, gpu=rng.randrange(2))
            configured[name] = LimitsRecord(number, float(rng.randrange(3)), quota)
            oldest.configure(configured)
        elif action == "drop":
            configured.pop(name, None)
        elif action == "submit" and name in configured:
            job = f"{number:016x}"
            limits = configured[name]
            stored[job] = a_job(job=job, organisation=name, limits=limits)
            oldest.add(stored[job])
        for job, progress in oldest.scheduler.take_dirty(0.0, 0.0):
            record = _JOB.decode(encode(stored[job].record))
            stored[job] = LedgerJob(record, _PROGRESS.decode(encode(progress)))
        later = _Process(configured)
        for ledger_job in stored.values():
            later.add(ledger_job)
        for ledger_job in stored.values():
            name = ledger_job.record.organisation
            assert later.limits.quota_of(name) == oldest.limits.quota_of(name)
            assert later.limits.rate_of(name) == oldest.limits.rate_of(name)
        if action == "restart":
            oldest = later
