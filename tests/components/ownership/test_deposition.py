"""Test that the log tells by what an owner was deposed."""

from __future__ import annotations

import anyio
import pytest

from mustardward.components.ledger.ledger import Ledger
from mustardward.components.ledger.models import OwnerRecord
from mustardward.components.ownership.authority import Authority
from mustardward.components.ownership.deposition import DeposedBy, DepositionLogger
from mustardward.components.scheduling.run_logger import RunLogger
from mustardward.components.scheduling.sent_starts import SentStarts
from mustardward.helpers.log_pairs import read_pairs
from mustardward.helpers.timer import DrivenTimerService
from mustardward.platform.exceptions import FencedError
from mustardward.platform.workers import TaskName, WorkerReport

from ..scheduling.builders import JOB, SchedulerBench, a_job, a_step
from .test_release import ReleaseHarness

pytestmark = pytest.mark.anyio


class LogHarness:
    """Provide the log line of a deposition on a simulated clock."""

    def __init__(self) -> None:
        self.timers = DrivenTimerService()
        self.authority = Authority(self.timers.boottime, self.timers.boottime())
        self.ledger = Ledger()
        self.starts = SentStarts(
            self.timers.boottime, lambda: self.authority.newest_renewal_at
        )
        self.run_logger = RunLogger()
        self.logger = DepositionLogger(
            1, self.authority, self.ledger, self.starts, self.run_logger
        )

    def run_for(self, seconds: float) -> None:
        """Advance the clock of a process that is running."""
        for _ in range(round(seconds / 0.25)):
            self.timers.pause(0.25)
            self.authority.tick()


class _FencingClient:
    """Simulate a worker that has seen a newer owner's token."""

    async def async_poll(self, *arguments: object) -> WorkerReport:
        raise FencedError("hold")


def deposition(caplog: pytest.LogCaptureFixture) -> dict[str, str]:
    """Return the fields of the only line of a deposition."""
    (line,) = [
        r.getMessage() for r in caplog.records if "event=owner_deposed " in r.message
    ]
    return read_pairs(line)


def test_owner_that_was_cut_off_logs_its_age_and_no_pause(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against a partition that reads like a pause in the log."""
    harness = LogHarness()
    harness.run_for(15.75)
    harness.ledger.owner = OwnerRecord(4, "c", "n", 0)
    harness.logger.record(DeposedBy.REJECTED_APPEND)
    harness.logger.log()
    line = deposition(caplog)
    assert line["cause"] == "rejected-append"
    assert line["renewal_age_seconds"] == "15.75"
    assert line["paused_seconds"] == "0"
    assert line["newest_epoch"] == "4"


@pytest.mark.parametrize("noticed", [False, True])
def test_owner_deposed_as_it_wakes_logs_its_pause(
    caplog: pytest.LogCaptureFixture, noticed: bool
) -> None:
    """Guards against a pause that is missing since a rejection was read before it."""
    harness = LogHarness()
    harness.timers.pause(15.75)
    if noticed:
        harness.authority.tick()
    harness.logger.record(DeposedBy.REJECTED_COMMAND, "w1")
    harness.logger.log()
    line = deposition(caplog)
    assert line["worker"] == "w1"
    assert line["paused_seconds"] == "15.75"


def test_pause_before_the_newest_renewal_is_not_logged(
    caplog: pytest.LogCaptureFixture,
) -> None:
    harness = LogHarness()
    harness.timers.pause(5.0)
    harness.authority.tick()
    harness.authority.record_renewal(harness.timers.boottime())
    harness.run_for(1.0)
    harness.logger.record(DeposedBy.NEWER_OWNER_READ)
    harness.logger.log()
    assert deposition(caplog)["paused_seconds"] == "0"


@pytest.mark.parametrize(("renewed", "count"), [(False, "3"), (True, "0")])
def test_only_starts_since_the_newest_renewal_are_counted(
    caplog: pytest.LogCaptureFixture, renewed: bool, count: str
) -> None:
    harness = LogHarness()
    for number in range(3):
        harness.starts.record(TaskName(JOB, 0, 1, number), 7, "w1")
    harness.run_for(1.0)
    if renewed:
        harness.authority.record_renewal(harness.timers.boottime())
    harness.logger.record(DeposedBy.NEWER_OWNER_READ)
    harness.logger.log()
    assert deposition(caplog)["starts_since_renewal"] == count


def test_first_cause_is_logged(caplog: pytest.LogCaptureFixture) -> None:
    harness = LogHarness()
    harness.logger.record(DeposedBy.REJECTED_ORDER)
    harness.logger.record(DeposedBy.NEWER_OWNER_READ)
    harness.logger.log()
    assert deposition(caplog)["cause"] == "rejected-order"


async def test_rejected_command_is_logged_with_its_worker(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async with anyio.create_task_group() as tasks:
        harness = ReleaseHarness(tasks)
        await harness.async_advance_time(0.1)
        harness.connect()
        assert harness.owner.dispatcher is not None
        session = harness.owner.dispatcher.sessions["i-01"]
        session.client = _FencingClient()  # type: ignore[assignment]
        await harness.async_advance_time(1.0)
        tasks.cancel_scope.cancel()
    line = deposition(caplog)
    assert (line["cause"], line["worker"]) == ("rejected-command", "i-01")


async def test_release_is_logged_with_the_age_of_the_last_renewal(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against an infinite age, as a release revokes the authority first."""
    async with anyio.create_task_group() as tasks:
        harness = ReleaseHarness(tasks)
        await harness.async_advance_time(1.0)
        tasks.start_soon(harness.owner.async_release)
        await harness.async_advance_time(1.5)
        tasks.cancel_scope.cancel()
    line = deposition(caplog)
    assert line["cause"] == "released"
    assert float(line["renewal_age_seconds"]) < 4.0


async def test_release_is_the_cause_though_the_next_owner_is_read_before_its_response(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against a release that reads like an owner that lost the shard."""
    async with anyio.create_task_group() as tasks:
        harness = ReleaseHarness(tasks)
        await harness.async_advance_time(1.0)
        harness.store.cut = True
        tasks.start_soon(harness.owner.async_release)
        await harness.async_advance_time(0.1)
        harness.owner.depose(DeposedBy.NEWER_OWNER_READ)
        await harness.async_advance_time(0.1)
        tasks.cancel_scope.cancel()
    assert deposition(caplog)["cause"] == "released"


def test_starts_in_progress_are_named_when_deposed(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against a run that no line names, as its start was never answered."""
    harness = LogHarness()
    harness.run_for(1.5)
    harness.starts.record(TaskName(JOB, 0, 1, 0), 7, "w1")
    harness.starts.record(TaskName(JOB, 0, 1, 1), 8, "w2")
    harness.starts.forget(TaskName(JOB, 0, 1, 1), 8)
    harness.logger.record(DeposedBy.REJECTED_APPEND)
    harness.logger.log()
    (line,) = [
        r.getMessage() for r in caplog.records if "starts_unanswered" in r.message
    ]
    pairs = read_pairs(line)
    assert pairs["starts"] == f"{JOB}.0.1.0:7@w1+1.50"
    assert pairs["epoch"] == "1"


def test_runs_answered_after_the_last_plan_are_named_when_deposed(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against runs of an owner that lost its authority before its next plan."""
    caplog.set_level("INFO", "absl")
    harness = LogHarness()
    bench = SchedulerBench()
    bench.worker("w1")
    bench.add(a_job(a_step(count=1)))
    bench.plan_starts()
    harness.logger.run_logger = bench.scheduler.reports.run_logger
    harness.logger.record(DeposedBy.REJECTED_APPEND)
    harness.logger.log()
    assert any("event=runs_started " in r.message for r in caplog.records)
