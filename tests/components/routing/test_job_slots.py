"""Test preferred slots, job slots and quarantine reports."""

from __future__ import annotations

from typing import Any

import pytest
from returns.result import Failure, Success

from mustardward.components.routing.job_slots import JobSlotCounter
from mustardward.components.routing.models import (
    InstanceQuarantined,
    InstanceReleased,
)
from mustardward.components.routing.preferred_slots import preferred_slots
from mustardward.components.routing.reporter import QuarantineReporter
from mustardward.exceptions import PlatformUnavailableError
from mustardward.state.fold import Acceptance, RecordOutcome
from mustardward.state.models.jobs import Job, LeaseJob
from mustardward.state.models.maintenance import Absence
from mustardward.state.work import WorkState
from tests.builders import build_record
from tests.fakes.policy import FakeFleetLog

NAMES = [f"entry-{number}" for number in range(7)]


def job(status: str, worker: str) -> Job:
    return Job(
        "job", "o", "s", "p", "", b"", True, 1, 1, 0, 60.0, 1, status, worker=worker
    )


def test_every_slot_is_preferred_by_one_entry() -> None:
    for number in range(40):
        worker = f"worker-{number}"
        parts = [preferred_slots(worker, 8, name, NAMES) for name in NAMES]
        assert sum(parts) == 8
        assert min(parts) >= 1
    assert preferred_slots("worker-1", 8, "stranger", NAMES) == 0


def test_counts_job_slots_through_state_changes_and_snapshots() -> None:
    """Guard against requests refused as busy by workers that look free.

    Jobs placed by other entries take slots too, so counting only what this entry sent
    is not enough.
    """
    states = [WorkState()]
    changed: list[str] = []
    counter = JobSlotCounter(lambda: states[-1], changed.append)
    counter.recount()
    body = LeaseJob("job", 0, "entry-1", "worker-1")
    accepted = RecordOutcome(0, build_record(body), body, Success(Acceptance((), 1)))
    states[0].jobs["job"] = job("running", "worker-1")
    counter.on_record(accepted)
    assert (counter.count("worker-1"), changed) == (1, ["worker-1"])
    states.append(WorkState(jobs={"job": job("running", "worker-2")}))
    counter.on_record(accepted)
    assert (counter.count("worker-1"), counter.count("worker-2")) == (0, 1)
    states[1].jobs["job"] = job("done", "worker-2")
    counter.on_record(accepted)
    assert counter.count("worker-2") == 0


class FakeProposalLog(FakeFleetLog):
    """Accept proposals, or refuse them while unavailable."""

    def __init__(self) -> None:
        super().__init__()
        self.may_decide = True
        self.is_unavailable = False
        self.proposed: list[Any] = []

    async def async_propose(self, body: Any, *, actor: str) -> Any:
        if self.is_unavailable:
            return Failure(PlatformUnavailableError("out"))
        self.proposed.append(body)
        return Success(Acceptance((), 1))


@pytest.mark.anyio
async def test_quarantine_is_reported_once_the_log_is_available() -> None:
    """Guard against a wave that exceeds its budget because of an unreported quarantine.

    A worker is quarantined while the log is unavailable, so the first append fails and
    must be retried.
    """
    log = FakeProposalLog()
    reporter = QuarantineReporter(
        log=log, data_centre="dc-1", actor="entry-1", find_power=lambda: None
    )
    reporter.on_quarantined(InstanceQuarantined("worker-1", "pool-1", 0.9, 0.0, 5.0))
    log.is_unavailable = True
    await reporter.async_step()
    log.is_unavailable = False
    await reporter.async_step()
    await reporter.async_step()
    assert len(log.proposed) == 1
    (change,) = log.proposed[0].changes
    assert (change.instance_id, change.up, change.cause) == (
        "worker-1",
        False,
        "quarantined",
    )
    log.state.absences["worker-1"] = Absence("worker-1", "quarantined", "entry-2", 4)
    reporter.on_released(InstanceReleased("worker-1", "pool-1"))
    await reporter.async_step()
    (change,) = log.proposed[1].changes
    assert (change.up, change.boot, change.cause) == (True, 4, "quarantined")
