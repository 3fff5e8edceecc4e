"""Test when a new owner releases the jobs held after a takeover."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import pytest

from mustardward.components.dispatch.const import AUTHORITY_SECONDS, latest_lease_end
from mustardward.components.ledger.models import OwnerRecord, UnansweredStart
from mustardward.components.ownership import takeover
from mustardward.components.ownership.takeover import (
    Takeover,
    hold_previous_runs,
    list_unanswered_starts,
)
from mustardward.components.scheduling.commands import Start
from mustardward.components.scheduling.const import MAX_LEASE_SECONDS
from mustardward.helpers.log_pairs import read_pairs
from mustardward.helpers.timer import DrivenTimerService
from mustardward.platform.workers import TaskName, encode_task
from tests.components.scheduling.builders import (
    JOB,
    POOL,
    SchedulerBench,
    a_job,
    a_step,
    an_entry,
)

OTHER_POOL = "pool-b"
NOW = 1000.0
LONGEST_LEASE_END = latest_lease_end(NOW, MAX_LEASE_SECONDS)


class TakeoverHarness:
    """Provide a takeover of two pools with one worker each, none of which answered."""

    def __init__(self, listed: dict[str, str] | None) -> None:
        self.harness = SchedulerBench(epoch=2)
        self.state = self.harness.scheduler.state
        self.unconfirmed_workers = ["w1", "w2"]
        self.listed = listed
        self.plan_requests = 0
        for name, pool in (("w1", POOL), ("w2", OTHER_POOL)):
            entry = an_entry(service=pool)
            self.harness.scheduler.update_worker(name, entry, self.harness.now)
        for number, pool in enumerate((POOL, OTHER_POOL)):
            self.harness.add(a_job(job=f"{number:016x}", service=pool))
            job = self.state.jobs[f"{number:016x}"]
            job.policy = SimpleNamespace(service=pool)  # type: ignore[assignment]
        sessions = {"w1": None, "w2": None}
        dispatcher: Any = SimpleNamespace(
            unconfirmed_workers=lambda: self.unconfirmed_workers, sessions=sessions
        )
        fleet: Any = SimpleNamespace(listed_workers=lambda: self.listed)
        self.takeover = Takeover(
            2,
            self.state,
            dispatcher,
            DrivenTimerService(),
            self._count_plan_request,
            fleet,
        )
        hold_previous_runs(
            self.state, OwnerRecord(1, "c", "node-1", 5), self.harness.now
        )

    def _count_plan_request(self) -> None:
        self.plan_requests += 1

    def try_release(self) -> bool:
        """Check once; return whether held jobs may start."""
        self.takeover.try_release()
        return self.state.takeover_hold_until == 0.0


def test_all_pools_wait_until_every_worker_has_reported() -> None:
    """Check that an unconfirmed worker of one pool also delays the others.

    A disconnected worker may be missing from both entries and list. Only other
    unresponsive workers then indicate the network partition.
    """
    harness = TakeoverHarness({"w1": POOL, "w2": OTHER_POOL})
    assert not harness.try_release()
    harness.unconfirmed_workers = ["w2"]
    assert not harness.try_release()
    harness.unconfirmed_workers = []
    assert harness.try_release()


def test_worker_that_only_the_list_names_delays_the_release() -> None:
    """Check for an entry that expired while the store was away; its runs may go on."""
    harness = TakeoverHarness({"w1": POOL, "w2": OTHER_POOL, "w9": POOL})
    harness.unconfirmed_workers = []
    assert not harness.try_release()


def test_nothing_is_released_before_the_list_is_read() -> None:
    harness = TakeoverHarness(None)
    harness.unconfirmed_workers = []
    assert not harness.try_release()


def test_release_by_settled_owner_shortens_the_hold() -> None:
    state = SchedulerBench().scheduler.state
    release = OwnerRecord(1, "c", "", 5, settled=True, unanswered=[])
    hold_previous_runs(state, release, NOW)
    assert state.takeover_hold_until == latest_lease_end(NOW)
    hold_previous_runs(state, OwnerRecord(1, "c", "node-1", 5), NOW)
    assert state.takeover_hold_until == LONGEST_LEASE_END + AUTHORITY_SECONDS


def test_hold_counts_from_the_last_renewal_of_a_lost_owner() -> None:
    state = SchedulerBench().scheduler.state
    hold_previous_runs(state, OwnerRecord(1, "c", "node-1", 5), NOW, NOW - 1.5)
    assert state.takeover_hold_until == LONGEST_LEASE_END + AUTHORITY_SECONDS - 1.5
    release = OwnerRecord(1, "c", "", 5, settled=False)
    hold_previous_runs(state, release, NOW, NOW - 1.5)
    assert state.takeover_hold_until == LONGEST_LEASE_END + AUTHORITY_SECONDS


def test_release_that_names_no_starts_is_held_for_the_longest_lease() -> None:
    """Guard against a restarted worker's run after a release by an older version."""
    state = SchedulerBench().scheduler.state
    state.max_lease_seconds = 6.0
    hold_previous_runs(state, OwnerRecord(1, "c", "", 5, settled=True), NOW)
    assert state.takeover_hold_until == latest_lease_end(NOW, 6.0)


def test_release_is_held_for_the_leases_that_it_names() -> None:
    """Guard against a run with a longer lease than owners mean to grant."""
    state = SchedulerBench().scheduler.state
    release = OwnerRecord(1, "c", "", 5, settled=True, lease_seconds=9.5, unanswered=[])
    hold_previous_runs(state, release, NOW)
    assert state.takeover_hold_until == NOW + 9.5


def test_starts_that_a_release_names_are_held_until_their_worker_reports() -> None:
    """Guard against a run that the owner before began on a restarted worker."""
    bench = SchedulerBench(epoch=2)
    bench.worker("w1")
    bench.add(a_job(a_step(count=1)))
    name = TaskName(JOB, 0, 0, 0)
    starts = [
        UnansweredStart(encode_task(name), 1 << 20, "w2", 20.0),
        UnansweredStart("unreadable", 1, "w2", 20.0),
    ]
    release = OwnerRecord(1, "c", "", 5, settled=True, unanswered=starts)
    hold_previous_runs(bench.scheduler.state, release, bench.now)
    bench.scheduler.state.takeover_hold_until = 0.0
    assert list_unanswered_starts(bench.scheduler.state, bench.now) == starts[:1]
    assert not bench.plan_starts()
    bench.worker("w2")
    assert len(bench.plan_starts()) == 1


def test_only_a_limited_number_of_starts_is_named(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guard against a release that is too large to be stored."""
    monkeypatch.setattr(takeover, "MAX_RELEASED_STARTS", 1)
    bench = SchedulerBench()
    bench.worker("w1")
    bench.add(a_job(a_step(count=2)))
    for command in bench.plan():
        assert isinstance(command, Start)
        bench.scheduler.reports.start_sent(command.task, command.run)
    assert list_unanswered_starts(bench.scheduler.state, bench.now) is None


def test_release_by_unsettled_owner_does_not_shorten_the_hold() -> None:
    """Guard against long-running tasks that run twice after two changes of owner.

    A data centre is disconnected together with the owner, which keeps renewing leases
    there for 4 s. A slow entry claims the shard and hands over to a faster one a second
    later. If that one waits only for a lease, it ignores that the first owner may still
    send commands, and all its long-running tasks there (15 in one case) run twice.
    """
    state = SchedulerBench().scheduler.state
    release = OwnerRecord(2, "c", "", 5, settled=False, unanswered=[])
    hold_previous_runs(state, release, NOW)
    assert state.takeover_hold_until == LONGEST_LEASE_END + AUTHORITY_SECONDS


def a_takeover_of_two_zones(listed: dict[str, str] | None) -> TakeoverHarness:
    """Return a takeover with workers in two data centres, of which w1 has answered."""
    harness = TakeoverHarness(listed)
    for name, zone in (("w1", "z1"), ("w2", "z2")):
        harness.state.workers[name].zone = zone
    harness.state.workers["w1"].confirmed = True
    harness.unconfirmed_workers = ["w2"]
    harness.try_release()
    return harness


def test_data_centre_is_reconciled_once_all_its_workers_reported() -> None:
    harness = a_takeover_of_two_zones({"w1": "z1", "w2": "z2"})
    assert harness.state.reconciled_zones == {"z1"}
    assert harness.plan_requests == 1
    assert harness.state.takeover_hold_until > 0


def test_worker_that_only_the_list_names_keeps_data_centre_unreconciled() -> None:
    assert (
        a_takeover_of_two_zones({"w1": "z1", "w9": "z1"}).state.reconciled_zones
        == frozenset()
    )


def test_no_data_centre_is_reconciled_before_the_list_is_read() -> None:
    assert a_takeover_of_two_zones(None).state.reconciled_zones == frozenset()


def test_data_centre_without_reports_is_not_reconciled() -> None:
    """Guard against starting tasks again whose runs continue in a network partition.

    A disconnected worker may have expired from both entries and list, and still run
    the tasks of the previous owner.
    """
    harness = a_takeover_of_two_zones({"w1": "z1"})
    del harness.state.workers["w2"]
    harness.unconfirmed_workers = []
    harness.listed = {"w1": "z1", "w8": "z3"}
    harness.try_release()
    assert harness.state.reconciled_zones == {"z1"}


@pytest.mark.anyio
async def test_expired_hold_is_logged_with_the_workers_that_did_not_report(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guard against jobs that are released early without a trace in the log."""
    lines: list[dict[str, object]] = []
    monkeypatch.setattr(
        takeover._LOGGER,
        "warning",
        lambda event, **fields: lines.append({"event": event, **fields}),
    )
    harness = TakeoverHarness({"w1": POOL, "w2": OTHER_POOL})
    harness.state.takeover_hold_until = -1.0
    directory: Any = SimpleNamespace(async_wait_loaded=_async_nothing)
    await harness.takeover.async_run(directory)
    (line,) = lines
    assert line["event"] == "takeover_hold_expired"
    assert (line["unconfirmed"], line["workers"]) == (2, "w1,w2")


async def _async_nothing() -> None:
    return None


def test_each_incarnation_that_reported_is_logged_once(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against a worker that restarted unseen between two owners."""
    caplog.set_level("INFO", "absl")
    harness = TakeoverHarness({"w1": POOL, "w2": OTHER_POOL})
    workers = harness.state.workers
    for number, name in enumerate(("w1", "w2"), start=1):
        workers[name].zone = f"z{number}"
        workers[name].started_at_ms = 10 * number
    workers["w1"].confirmed = True
    harness.unconfirmed_workers = ["w2"]
    assert not harness.try_release()
    workers["w2"].confirmed = True
    harness.unconfirmed_workers = []
    assert harness.try_release()
    lines = [
        read_pairs(record.getMessage())
        for record in caplog.records
        if "event=workers_confirmed " in record.getMessage()
    ]
    assert [line["workers"] for line in lines] == ["w1/10", "w2/20"]
    assert {line["epoch"] for line in lines} == {"2"}
