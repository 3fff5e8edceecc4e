"""Test what long work and other entries' judgement do to the router's picture."""

from __future__ import annotations

from typing import Any

import pytest
from returns.result import Failure, Success

from mustardward.components.routing.allotment import allotted_slots
from mustardward.components.routing.long_work import JobSlotCounter
from mustardward.components.routing.models import (
    InstanceQuarantined,
    InstanceReleased,
)
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


def test_every_slot_is_allotted_to_one_entry() -> None:
    for number in range(40):
        worker = f"worker-{number}"
        parts = [allotted_slots(worker, 8, name, NAMES) for name in NAMES]
        assert sum(parts) == 8
        assert min(parts) >= 1
    assert allotted_slots("worker-1", 8, "stranger", NAMES) == 0


def test_counts_leases_through_their_life_and_over_snapshots() -> None:
    """Symptom: requests are refused as busy on workers that look free.

    Sequence: long work takes slots; another entry placed it.
    Cause: counting only what this entry sent.
    """
    states = [WorkState()]
    changed: list[str] = []
    count = JobSlotCounter(lambda: states[-1], changed.append)
    count.start()
    body = LeaseJob("job", 0, "entry-1", "worker-1")
    accepted = RecordOutcome(0, build_record(body), body, Success(Acceptance((), 1)))
    states[0].jobs["job"] = job("running", "worker-1")
    count.on_record(accepted)
    assert (count.count("worker-1"), changed) == (1, ["worker-1"])
    states.append(WorkState(jobs={"job": job("running", "worker-2")}))
    count.on_record(accepted)
    assert (count.count("worker-1"), count.count("worker-2")) == (0, 1)
    states[1].jobs["job"] = job("done", "worker-2")
    count.on_record(accepted)
    assert count.count("worker-2") == 0


class ProposingLog(FakeFleetLog):
    """Accept or refuse proposals."""

    def __init__(self) -> None:
        super().__init__()
        self.may_decide = True
        self.is_out = False
        self.proposed: list[Any] = []

    async def async_propose(self, body: Any, *, actor: str) -> Any:
        if self.is_out:
            return Failure(PlatformUnavailableError("out"))
        self.proposed.append(body)
        return Success(Acceptance((), 1))


@pytest.mark.anyio
async def test_quarantine_is_reported_once_the_log_is_back() -> None:
    """Symptom: a wave takes more workers than the budget bears.

    Sequence: a worker is put in quarantine while the log is out; nobody tells later.
    Cause: a report that is dropped when its append fails.
    """
    log = ProposingLog()
    reporter = QuarantineReporter(
        log=log, data_centre="dc-1", actor="entry-1", find_power=lambda: None
    )
    reporter.on_quarantined(InstanceQuarantined("worker-1", "pool-1", 0.9, 0.0, 5.0))
    log.is_out = True
    await reporter.async_step()
    log.is_out = False
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
