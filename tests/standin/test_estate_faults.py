"""Test the faults of the simulated platform's workers and of its instance list."""

from __future__ import annotations

import pytest

from mustardward.platform.bodies import StartBody
from mustardward.platform.exceptions import CallUnknownError
from mustardward.platform.models import INSTANCE_UP, Room
from mustardward.platform.workers import REFUSED_OLD, REFUSED_ROOM
from mustardward.standin.estate.estate import Estate, EstatePlan
from mustardward.standin.estate.worker import MemoryWorker, Workload

NOW = 1000.0
TASK = "00000000000000aa.0.0.0"


def an_estate() -> tuple[Estate, MemoryWorker]:
    """Return a platform and one of its workers."""
    plan = EstatePlan()
    hosts = [f"10.0.0.{number}" for number in range(plan.machines)]
    estate = Estate(plan, "10.0.0.100:80", hosts)
    estate.workloads["00000000000000aa.0"] = Workload(Room(1000, 100), 60.0, True)
    return estate, next(iter(estate.workers.values()))


def a_start(task: str = TASK, run: int = 1, deadline_ms: int = 10_000) -> StartBody:
    """Return a start that lasts ten seconds."""
    return StartBody(task, run, "", deadline_ms, 1)


def test_lost_answer_hides_a_call_that_was_executed() -> None:
    estate, worker = an_estate()
    worker.loses_answers = True
    with pytest.raises(CallUnknownError):
        estate.execute(worker, lambda: worker.start(a_start(), 0.0), NOW)
    assert TASK in worker.runs


def test_delayed_call_is_executed_after_newer_ones() -> None:
    """Check for a start that takes effect after the next owner's poll."""
    estate, worker = an_estate()
    worker.delay_seconds = 5.0
    with pytest.raises(CallUnknownError):
        estate.execute(worker, lambda: worker.start(a_start(), 5000.0), NOW)
    worker.delay_seconds = 0.0
    report = estate.execute(worker, lambda: worker.poll(1, 0, None, 0.0), NOW + 1.0)
    assert report is not None and not report.running
    estate.advance(NOW + 4.9)
    assert not worker.starts
    estate.advance(NOW + 5.0)
    assert worker.starts == [(TASK, 1)]


def test_delayed_call_to_a_crashed_worker_has_no_effect() -> None:
    estate, worker = an_estate()
    worker.delay_seconds = 5.0
    with pytest.raises(CallUnknownError):
        estate.execute(worker, lambda: worker.start(a_start(), 0.0), NOW)
    estate.crash(worker.id, NOW + 1.0)
    estate.advance(NOW + 6.0)
    assert not worker.starts


def test_list_shows_a_live_worker_as_not_up() -> None:
    estate, worker = an_estate()
    estate.shown_states[worker.machine] = "down"
    rows = {row.machine: row for row in estate.list_instances()}
    assert (rows[worker.machine].state, rows[worker.machine].id) == ("down", worker.id)
    estate.shown_states.clear()
    states = {row.machine: row.state for row in estate.list_instances()}
    assert states[worker.machine] == INSTANCE_UP


@pytest.mark.parametrize("reason", [REFUSED_OLD, REFUSED_ROOM])
def test_refused_start_extends_the_lease(reason: str) -> None:
    """Check that the deadline of a start refused as old or for room is taken over."""
    estate, worker = an_estate()
    worker.start(a_start(deadline_ms=1000), 0.0)
    other = "00000000000000bb.0.0.0"
    if reason == REFUSED_OLD:
        worker.stop(other, 1, 1, 0.0)
    estate.workloads["00000000000000bb.0"] = Workload(Room(100_000, 100), 1.0)
    assert worker.start(a_start(other, deadline_ms=5000), 500.0) == reason
    worker.advance(4900.0)
    assert TASK in worker.runs
    worker.advance(5100.0)
    assert TASK not in worker.runs
