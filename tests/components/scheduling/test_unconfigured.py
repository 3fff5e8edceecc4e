"""Test an owner that has taken over and cannot read the operator's configuration."""

from __future__ import annotations

import pytest

from mustardward.components.ledger.ledger import LedgerJob
from mustardward.components.ledger.models import JobState, Progress, TaskProgress
from mustardward.components.scheduling.models import QueuePolicy
from mustardward.platform.models import ENDED_DONE, ENDED_FAILED, Room
from mustardward.platform.workers import EndedTask, RunningTask

from .builders import ADVICE, JOB, POOL, SchedulerBench, a_job, a_row, a_step

MAX_ATTEMPTS = 6
RUN = 1 << 20


class Unconfigured:
    """Provide an owner without a configuration, and with one later.

    :param policy: the policy of the queue once the configuration is read.
    """

    def __init__(self, policy: QueuePolicy) -> None:
        self.bench = SchedulerBench(epoch=2)
        self._policy = policy
        state = self.bench.scheduler.state
        state.policy_of = lambda queue: self.policy
        state.is_configured = lambda: self.policy is not None
        self.policy: QueuePolicy | None = None
        self.bench.worker("w1")
        self.bench.worker("w2")

    def configure(self) -> None:
        """Apply the configuration."""
        self.policy = self._policy
        self.bench.scheduler.update_policies()


def a_failing_job(failed: int) -> LedgerJob:
    """Return a job of one task that has failed some times under earlier owners."""
    job = a_job(a_step(count=1))
    runs = tuple(range(RUN, RUN + failed))
    job.progress = Progress(JobState.RUNNING, tasks=[TaskProgress(0, 0, 0, runs)])
    return job


def fail(owner: Unconfigured, run: int) -> None:
    """Report the end of a run that an earlier owner started."""
    worker = owner.bench.scheduler.state.workers["w1"]
    end = EndedTask(1, owner.bench.task(0).name, run, ENDED_FAILED, "")
    owner.bench.scheduler.reports.apply_end(worker, end, owner.bench.now)


def test_no_job_is_given_up_by_default_attempts() -> None:
    """Guard against jobs that are given up after three of six attempts."""
    owner = Unconfigured(QueuePolicy(POOL, max_attempts=MAX_ATTEMPTS))
    owner.bench.add(a_failing_job(3))
    fail(owner, RUN + 3)
    assert owner.bench.scheduler.state.jobs[JOB].state is JobState.RUNNING
    owner.configure()
    assert len(owner.bench.plan_starts()) == 1


def test_job_that_used_its_attempts_meanwhile_ends_once_they_are_known() -> None:
    """Guard against a seventh run of a task that may be run six times."""
    owner = Unconfigured(QueuePolicy(POOL, max_attempts=MAX_ATTEMPTS))
    owner.bench.add(a_failing_job(MAX_ATTEMPTS - 1))
    fail(owner, RUN + MAX_ATTEMPTS - 1)
    owner.configure()
    assert owner.bench.scheduler.state.jobs[JOB].state is JobState.FAILED
    assert owner.bench.plan_starts() == []


@pytest.mark.parametrize("takes_over_configured", [True, False])
def test_job_that_used_its_attempts_under_an_unconfigured_owner_is_given_up(
    takes_over_configured: bool,
) -> None:
    """Guard against a seventh run after a change of owner."""
    owner = Unconfigured(QueuePolicy(POOL, max_attempts=MAX_ATTEMPTS))
    if takes_over_configured:
        owner.configure()
    owner.bench.add(a_failing_job(MAX_ATTEMPTS))
    if not takes_over_configured:
        owner.configure()
    assert owner.bench.scheduler.state.jobs[JOB].state is JobState.FAILED
    assert owner.bench.plan_starts() == []


@pytest.mark.parametrize("advice", [None, ADVICE])
def test_nothing_starts_by_default_policies(advice: object) -> None:
    """Guard against starts without the advice or the pool that the queue needs."""
    policy = QueuePolicy("pool-b" if advice is None else POOL, advice=advice)  # type: ignore[arg-type]
    owner = Unconfigured(policy)
    owner.bench.add(a_job())
    assert owner.bench.plan() == []
    owner.configure()
    assert owner.bench.plan_starts() == []


def test_no_quota_is_exceeded_before_it_is_known() -> None:
    """Guard against an organisation that gets a whole pool while quotas are unknown."""
    owner = Unconfigured(QueuePolicy(POOL))
    owner.bench.quotas["dairy"] = Room(cpu=1000)
    owner.bench.add(a_job(a_step(count=6), organisation="dairy"))
    assert owner.bench.plan_starts() == []
    owner.configure()
    assert len(owner.bench.plan_starts()) == 1


def test_present_runs_are_adopted_and_end_without_a_configuration() -> None:
    """Guard against work that is lost while the configuration cannot be read."""
    owner = Unconfigured(QueuePolicy(POOL))
    owner.bench.add(a_failing_job(0))
    task = owner.bench.task(0)
    owner.bench.hold("w1", running=[RunningTask(task.name, RUN, "", 10.0, 0.0)])
    assert a_row(task, 10.0).run == RUN
    owner.bench.hold("w1", ended=[EndedTask(1, task.name, RUN, ENDED_DONE, "")])
    assert owner.bench.scheduler.state.jobs[JOB].state is JobState.DONE
