"""Test which pools a new owner starts again, and when."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

from mustardward.components.dispatch.const import AUTHORITY_SECONDS, lease_bound
from mustardward.components.ledger.models import OwnerRecord
from mustardward.components.ownership.takeover import Takeover, hold
from mustardward.helpers.timer import DrivenTimerService
from tests.components.scheduling.builders import POOL, SchedulerBench, a_job, an_entry

OTHER = "pool-b"
NOW = 1000.0


class TakeoverBench:
    """Hold a takeover of two pools with a worker each; none has answered."""

    def __init__(self, listed: dict[str, str] | None) -> None:
        self.bench = SchedulerBench(epoch=2)
        self.state = self.bench.scheduler.state
        self.unheard = ["w1", "w2"]
        self.listed = listed
        self.woken = 0
        for name, pool in (("w1", POOL), ("w2", OTHER)):
            entry = an_entry(service=pool)
            self.bench.scheduler.update_worker(name, entry, self.bench.now)
        for number, pool in enumerate((POOL, OTHER)):
            self.bench.add(a_job(job=f"{number:016x}", service=pool))
            job = self.state.jobs[f"{number:016x}"]
            job.policy = SimpleNamespace(service=pool)  # type: ignore[assignment]
        sessions = {"w1": None, "w2": None}
        dispatcher: Any = SimpleNamespace(
            unheard=lambda: self.unheard, sessions=sessions
        )
        fleet: Any = SimpleNamespace(listed_workers=lambda: self.listed)
        self.takeover = Takeover(
            2, self.state, dispatcher, DrivenTimerService(), self._wake, fleet
        )
        hold(self.state, OwnerRecord(1, "c", "node-1", 5), self.bench.now)

    def _wake(self) -> None:
        self.woken += 1

    def look(self) -> bool:
        """Look once, and return whether what was held may start."""
        self.takeover.release()
        return self.state.takeover_hold_until == 0.0


def test_all_pools_wait_until_every_worker_was_heard_of() -> None:
    """A silent worker of one pool holds up the others too.

    A worker that is cut off may be in neither entries nor list; what tells of the cut
    is that others are silent.
    """
    bench = TakeoverBench({"w1": POOL, "w2": OTHER})
    assert not bench.look()
    bench.unheard = ["w2"]
    assert not bench.look()
    bench.unheard = []
    assert bench.look()


def test_a_worker_that_only_the_list_names_holds_all_up() -> None:
    """Its entry may have lapsed while the store was away, and it may run something."""
    bench = TakeoverBench({"w1": POOL, "w2": OTHER, "w9": POOL})
    bench.unheard = []
    assert not bench.look()


def test_nothing_is_released_before_the_list_was_read() -> None:
    bench = TakeoverBench(None)
    bench.unheard = []
    assert not bench.look()


def test_an_owner_that_gave_the_shard_up_gives_no_more_orders() -> None:
    state = SchedulerBench().scheduler.state
    hold(state, OwnerRecord(1, "c", "", 5, settled=True), NOW)
    assert state.takeover_hold_until == lease_bound(NOW)
    hold(state, OwnerRecord(1, "c", "node-1", 5), NOW)
    assert state.takeover_hold_until == lease_bound(NOW) + AUTHORITY_SECONDS


def test_an_owner_that_gives_up_before_it_heard_of_all_workers_says_so() -> None:
    """The authority of an owner that was cut off outlives the one after it.

    Symptom: 15 lasting tasks ran twice. Sequence: a data centre was cut off with the
    owner, which went on renewing leases there for 4 s; a small entry claimed the shard,
    and gave way to a larger one a second later; that one waited for a lease only.
    Cause: whoever gave the shard up was taken for the only one that may give orders.
    """
    state = SchedulerBench().scheduler.state
    hold(state, OwnerRecord(2, "c", "", 5, settled=False), NOW)
    assert state.takeover_hold_until == lease_bound(NOW) + AUTHORITY_SECONDS


def with_zones(listed: dict[str, str] | None) -> TakeoverBench:
    """Return a takeover whose workers stand in two data centres; w1 has answered."""
    bench = TakeoverBench(listed)
    for name, zone in (("w1", "z1"), ("w2", "z2")):
        bench.state.workers[name].zone = zone
    bench.state.workers["w1"].confirmed = True
    bench.unheard = ["w2"]
    bench.look()
    return bench


def test_a_data_centre_is_accounted_for_once_all_its_workers_were_heard_of() -> None:
    bench = with_zones({"w1": "z1", "w2": "z2"})
    assert bench.state.accounted_zones == {"z1"}
    assert bench.woken == 1
    assert bench.state.takeover_hold_until > 0


def test_a_worker_that_only_the_list_names_keeps_its_data_centre_open() -> None:
    assert with_zones({"w1": "z1", "w9": "z1"}).state.accounted_zones == frozenset()


def test_no_data_centre_is_accounted_for_before_the_list_was_read() -> None:
    assert with_zones(None).state.accounted_zones == frozenset()


def test_a_data_centre_of_which_nobody_was_heard_is_not_accounted_for() -> None:
    """Its workers may have lapsed from entries and list, and run on behind a cut."""
    bench = with_zones({"w1": "z1"})
    del bench.state.workers["w2"]
    bench.unheard = []
    bench.listed = {"w1": "z1", "w8": "z3"}
    bench.look()
    assert bench.state.accounted_zones == {"z1"}
