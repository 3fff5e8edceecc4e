"""Test how workers are chosen and judged."""

from __future__ import annotations

from collections import Counter
from random import Random
from typing import Any

import pytest
from returns.result import Success

from mustardward.components.entry.models import (
    Attempt,
    AttemptOutcome,
    RequestFacts,
)
from mustardward.components.entry.protocols import Choice
from mustardward.components.routing.health import (
    Health,
    is_failure,
    is_verdict,
    move_standing,
)
from mustardward.components.routing.models import (
    InstanceQuarantined,
    InstanceReleased,
    WorkerBusy,
)
from mustardward.components.routing.services import RouterService
from mustardward.helpers.timer import DrivenTimerService
from mustardward.standin.protocol.models import WorkerUsage
from mustardward.state.fleet import FleetState
from mustardward.state.models.maintenance import (
    Absence,
    AbsenceChange,
    Claim,
    ReleaseClaim,
    ReportAbsences,
    TakeClaim,
)
from mustardward.state.models.pools import Move, RequestMove, TransferInstance
from tests.fakes.policy import (
    FakeFleetLog,
    FakeMembership,
    add_workers,
    build_attempt,
    build_facts,
    build_member,
    build_state,
)

NONE: frozenset[str] = frozenset()


class Bench:
    """Hold a router with its fakes."""

    def __init__(
        self, state: FleetState, membership: FakeMembership | None = None
    ) -> None:
        self.log = FakeFleetLog(state)
        self.membership = membership or FakeMembership()
        self.timers = DrivenTimerService()
        self.events: list[Any] = []
        self.router = RouterService(
            log=self.log,
            membership=self.membership,
            timers=self.timers,
            data_centre="dc-1",
            publish=self.events.append,
            random=Random(1),
        )
        self.log.listen(self.router.on_record)

    def choose(
        self, facts: RequestFacts | None = None, exclude: frozenset[str] = NONE
    ) -> Choice:
        return self.router.choose(facts or build_facts(), exclude).unwrap()

    def refusal(self, exclude: frozenset[str] = NONE) -> str:
        return self.router.choose(build_facts(), exclude).failure().code

    def run(self, request_id: str, broken: frozenset[str], status: int = 500) -> str:
        facts = build_facts(request_id, deadline=self.timers.monotonic() + 30)
        choice = self.choose(facts)
        name = choice.instance.instance_id
        attempt = build_attempt(status=status if name in broken else 200)
        self.router.finish(choice, facts, attempt)
        self.timers.pause(0.01)
        return name

    def run_many(self, label: str, count: int, broken: frozenset[str]) -> Counter[str]:
        return Counter(self.run(f"{label}-{n}", broken) for n in range(count))

    def of_type(self, event_type: type) -> list[Any]:
        return [event for event in self.events if type(event) is event_type]


def quarantine(bench: Bench, broken: frozenset[str]) -> None:
    number = 0
    while not bench.of_type(InstanceQuarantined):
        bench.run(f"request-{number}", broken)
        number += 1
        assert number < 2000


def test_spreads_work_and_stops_at_the_slots() -> None:
    bench = Bench(build_state(4, slots=2))
    chosen = Counter(bench.choose().instance.instance_id for _ in range(8))
    assert set(chosen.values()) == {2}
    assert bench.refusal() == "no-capacity"


def test_excluded_and_barred_workers_get_nothing() -> None:
    bench = Bench(build_state(3))
    bench.membership.barred.add("dc-1-pool-1-0")
    exclude = frozenset({"dc-1-pool-1-1"})
    chosen = {bench.choose(exclude=exclude).instance.instance_id for _ in range(5)}
    assert chosen == {"dc-1-pool-1-2"}


def test_past_deadline_starts_nothing() -> None:
    bench = Bench(build_state(1))
    late = build_facts(deadline=bench.timers.monotonic())
    assert bench.router.choose(late, NONE).failure().status == 504


def test_claims_moves_and_absences_take_a_worker_out_and_back() -> None:
    """Symptom: a draining worker gets new work, and its reboot cuts it off.

    Sequence: a claim (or move, or failure) is folded while requests go on.
    Cause: choosing from a list that does not follow the log.
    """
    bench = Bench(build_state(1))
    name = "dc-1-pool-1-0"
    state = bench.log.state
    state.claims[name] = Claim(name, "wave", "entry", 2, "claimed", 1)
    bench.log.folded(TakeClaim("wave", name, "entry", 1))
    assert bench.refusal() == "no-worker"
    del state.claims[name]
    bench.log.folded(ReleaseClaim(name, 2, "given-back", 1))
    assert bench.choose().instance.instance_id == name
    state.moves[name] = Move("move", name, "pool-1", "pool-2", 1)
    bench.log.folded(RequestMove("move", name, "pool-2"))
    assert bench.refusal() == "no-worker"
    del state.moves[name]
    state.instances[name].pool = "pool-2"
    bench.log.folded(TransferInstance("move"))
    assert bench.refusal() == "no-worker"
    moved = bench.choose(build_facts(pool="pool-2"))
    assert moved.instance.pool == "pool-2"
    state.absences[name] = Absence(name, "failed", "entry", 1)
    down = AbsenceChange(name, False, 1)
    bench.log.folded(ReportAbsences("dc-1", (down,)))
    assert not bench.router.slots("pool-2")


def test_state_replaced_by_a_snapshot_keeps_in_flight_counts() -> None:
    bench = Bench(build_state(1, slots=1))
    choice = bench.choose()
    bench.log.state = build_state(1, slots=1)
    assert bench.refusal() == "no-capacity"
    bench.router.finish(choice, build_facts(), build_attempt())
    assert isinstance(bench.router.choose(build_facts(), NONE), Success)


def test_busy_refusal_is_no_failure_and_steers_away() -> None:
    bench = Bench(build_state(2))
    choice = bench.choose()
    busy = build_attempt(AttemptOutcome.REFUSED, cause="busy")
    bench.router.finish(choice, build_facts(), busy)
    others = {bench.choose().instance.instance_id for _ in range(4)}
    assert choice.instance.instance_id not in others
    assert len(bench.of_type(WorkerBusy)) == 1
    assert not bench.of_type(InstanceQuarantined)


def test_lagging_usage_counts_and_fades() -> None:
    bench = Bench(build_state(2))
    bench.router.on_usage(WorkerUsage("dc-1-pool-1-0", 6, 6, 0.0))
    chosen = Counter(bench.choose().instance.instance_id for _ in range(4))
    assert chosen == {"dc-1-pool-1-1": 4}


def test_worker_that_fails_everything_fast_attracts_no_work() -> None:
    """Symptom: most requests fail while most workers are idle.

    Sequence: one worker fails everything at once, so it never has anything in flight
    and always looks least loaded.
    Cause: choosing by load alone.
    """
    bench = Bench(build_state(8))
    broken = frozenset({"dc-1-pool-1-3"})
    chosen = bench.run_many("request", 2000, broken)
    assert chosen["dc-1-pool-1-3"] <= 12
    assert len(bench.of_type(InstanceQuarantined)) == 1


def test_quarantine_does_not_eat_the_pool() -> None:
    """Symptom: no worker is left although each could still serve something.

    Sequence: half of the workers of a pool fail at once, for one common cause; each
    is judged worse than its peers and taken out.
    Cause: quarantine without a cap.
    """
    bench = Bench(build_state(6))
    broken = frozenset({f"dc-1-pool-1-{n}" for n in range(3)})
    bench.run_many("request", 3000, broken)
    assert len(bench.of_type(InstanceQuarantined)) == 2
    assert bench.router.slots("pool-1") == 4 * 8


def test_bad_requests_do_not_condemn_good_workers() -> None:
    """Symptom: an organisation's faulty release takes a shared pool out.

    Sequence: its requests fail on whichever worker runs them, and are tried again on
    another one each time.
    Cause: counting attempts in place of distinct requests.
    """
    bench = Bench(build_state(6))
    unlucky = "dc-1-pool-1-0"
    others = frozenset(bench.log.state.instances) - {unlucky}
    for number in range(100):
        bad = build_facts(f"bad-{number}", "large", deadline=2e6)
        first = bench.choose(bad, others)
        second = bench.choose(bad, frozenset({unlucky}))
        for choice in (first, second):
            bench.router.finish(choice, bad, build_attempt(status=500))
        bench.timers.pause(3.0)
    assert first.instance.instance_id == unlucky
    assert not bench.of_type(InstanceQuarantined)


def test_abandoned_attempts_of_hurried_callers_condemn_nobody() -> None:
    """Symptom: workers go into quarantine in an overload, which makes it worse.

    Sequence: requests leave the queue with little time left, and their callers give
    up while healthy workers are at them.
    Cause: blaming whoever had the request when time was up.
    """
    bench = Bench(build_state(6))
    bench.run_many("request", 100, NONE)
    others = frozenset(bench.log.state.instances) - {"dc-1-pool-1-0"}
    for number in range(50):
        facts = build_facts(f"hurried-{number}", deadline=2e6)
        choice = bench.choose(facts, others)
        gone = build_attempt(AttemptOutcome.UNKNOWN, cause="abandoned")
        bench.timers.pause(3.0)
        bench.router.finish(choice, facts, gone)
    assert choice.instance.instance_id == "dc-1-pool-1-0"
    assert not bench.of_type(InstanceQuarantined)


@pytest.mark.parametrize(
    ("status", "cause", "verdict", "failure"),
    [
        (200, "", True, False),
        (500, "", True, True),
        (500, "worker-failed", True, True),
        (200, "answer-late", True, True),
        (200, "hedge-lost", False, False),
        (200, "answer-not-whole", False, False),
    ],
)
def test_answers_are_judged_by_what_the_worker_did(
    status: int, cause: str, verdict: bool, failure: bool
) -> None:
    attempt = build_attempt(status=status, cause=cause)
    assert is_verdict(attempt, 0.05) is verdict
    assert is_failure(attempt) is failure


def test_own_shortage_is_no_evidence_against_a_worker() -> None:
    """Symptom: a healthy worker is suspected of being down.

    Sequence: this entry has used up its connections to it, or the request's time.
    Cause: taking every attempt that was not sent for a failed connection.
    """
    bench = Bench(build_state(1))
    for cause in ("connections-used-up", "deadline-exceeded"):
        own = build_attempt(AttemptOutcome.NOT_SENT, cause=cause)
        bench.router.finish(bench.choose(), build_facts(), own)
    assert not bench.membership.reports
    failed = build_attempt(AttemptOutcome.NOT_SENT, cause="connect-failed")
    bench.router.finish(bench.choose(), build_facts(), failed)
    assert bench.membership.reports == [("dc-1-pool-1-0", False, "connect-failed")]
    assert bench.refusal() == "no-capacity"


def test_worker_that_finishes_nothing_is_found() -> None:
    """Symptom: a share of all requests ends at its deadline.

    Sequence: one worker starts everything and finishes nothing.
    Cause: judging only by answers.
    """
    bench = Bench(build_state(6))
    bench.run_many("request", 100, NONE)
    for number in range(400):
        facts = build_facts(f"stuck-{number}", deadline=bench.timers.monotonic() + 30)
        choice = bench.choose(facts)
        attempt = build_attempt()
        if choice.instance.instance_id == "dc-1-pool-1-2":
            attempt = Attempt("a", "w", AttemptOutcome.UNKNOWN, 2.0, 0, "abandoned")
        bench.timers.pause(0.05)
        bench.router.finish(choice, facts, attempt)
    (event,) = bench.of_type(InstanceQuarantined)
    assert event.instance_id == "dc-1-pool-1-2"


def test_probation_ends_a_quarantine_once_the_worker_answers() -> None:
    bench = Bench(build_state(8))
    broken = frozenset({"dc-1-pool-1-3"})
    quarantine(bench, broken)
    bench.timers.pause(6.0)
    assert bench.choose(build_facts("probe")).probation
    bench.router.finish(
        Choice(bench.log.state.instances["dc-1-pool-1-3"], "attempt", True),
        build_facts("probe"),
        build_attempt(),
    )
    bench.run_many("later", 20, NONE)
    assert bench.of_type(InstanceReleased)
    assert bench.router.slots("pool-1") == 64


def test_failed_probe_doubles_the_term() -> None:
    bench = Bench(build_state(8))
    broken = frozenset({"dc-1-pool-1-3"})
    quarantine(bench, broken)
    bench.timers.pause(6.0)
    probes = bench.run_many("again", 50, broken)
    assert probes["dc-1-pool-1-3"] == 1
    bench.timers.pause(6.0)
    probes = bench.run_many("early", 50, broken)
    assert probes["dc-1-pool-1-3"] == 0
    bench.timers.pause(5.0)
    probes = bench.run_many("due", 50, broken)
    assert probes["dc-1-pool-1-3"] == 1


def test_worker_that_fails_its_probes_does_not_hold_back_another() -> None:
    """Symptom: a recovered worker stays in quarantine for ever.

    Sequence: two workers are in quarantine; one keeps failing its probes, and its
    overdue entry stays in front of the other's.
    Cause: looking only at the front of the order of terms.
    """
    bench = Bench(build_state(8))
    broken = frozenset({"dc-1-pool-1-3", "dc-1-pool-1-5"})
    bench.run_many("request", 3000, broken)
    assert bench.router.slots("pool-1") == 48
    bench.timers.pause(30.0)
    bench.run_many("later", 400, frozenset({"dc-1-pool-1-3"}))
    released = [event.instance_id for event in bench.of_type(InstanceReleased)]
    assert released == ["dc-1-pool-1-5"]


def test_old_terms_of_quarantine_are_forgotten() -> None:
    health = Health()
    terms = []
    for now in (0.0, 100.0, 2000.0):
        move_standing(health, "judged_outlier", now)
        terms.append(health.due - now)
        move_standing(health, "seen_up", health.due)
    assert terms == [5.0, 10.0, 5.0]


def test_folded_quarantine_of_another_entry_is_followed() -> None:
    bench = Bench(build_state(3))
    name = "dc-1-pool-1-0"
    bench.log.state.absences[name] = Absence(name, "quarantined", "entry-2", 1)
    change = AbsenceChange(name, False, 1, "quarantined")
    bench.log.folded(ReportAbsences("dc-1", (change,)))
    assert bench.router.slots("pool-1") == 16
    del bench.log.state.absences[name]
    bench.log.folded(ReportAbsences("dc-1", (AbsenceChange(name, True, 2),)))
    assert bench.router.slots("pool-1") == 24


def test_other_data_centre_is_used_once_and_only_with_room() -> None:
    """Symptom: requests go round between full data centres until their deadlines.

    Sequence: all data centres are full; each forwards to the next one.
    Cause: forwarding what was forwarded, and forwarding to where there is no room.
    """
    state = build_state(1)
    add_workers(state, 1, "pool-1", "dc-2")
    members = (
        build_member("entry-1"),
        build_member("entry-2", "dc-2", in_flight=3),
        build_member("entry-3", "dc-2", in_flight=9),
    )
    bench = Bench(state, FakeMembership(members))
    remote = bench.router.choose_remote(build_facts())
    assert remote is not None
    assert remote.member.name == "entry-2"
    assert bench.router.choose_remote(build_facts(hops=1)) is None
    soon = build_facts(deadline=bench.timers.monotonic() + 0.01)
    assert bench.router.choose_remote(soon) is None
    state.silent.add("dc-2")
    assert bench.router.choose_remote(build_facts()) is None
