"""Test how the router chooses workers and judges their health."""

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
    apply_event,
    is_conclusive,
    is_failure,
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

NO_EXCLUSIONS: frozenset[str] = frozenset()


class RouterHarness:
    """Provide a router with its fakes."""

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
        self, facts: RequestFacts | None = None, exclude: frozenset[str] = NO_EXCLUSIONS
    ) -> Choice:
        return self.router.choose(facts or build_facts(), exclude).unwrap()

    def refusal(self, exclude: frozenset[str] = NO_EXCLUSIONS) -> str:
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

    def events_of_type(self, event_type: type) -> list[Any]:
        return [event for event in self.events if type(event) is event_type]


def quarantine(harness: RouterHarness, broken: frozenset[str]) -> None:
    number = 0
    while not harness.events_of_type(InstanceQuarantined):
        harness.run(f"request-{number}", broken)
        number += 1
        assert number < 2000


def test_distributes_work_up_to_the_slots() -> None:
    harness = RouterHarness(build_state(4, slots=2))
    chosen = Counter(harness.choose().instance.instance_id for _ in range(8))
    assert set(chosen.values()) == {2}
    assert harness.refusal() == "no-capacity"


def test_excluded_and_blocked_workers_get_no_work() -> None:
    harness = RouterHarness(build_state(3))
    harness.membership.blocked.add("dc-1-pool-1-0")
    exclude = frozenset({"dc-1-pool-1-1"})
    chosen = {harness.choose(exclude=exclude).instance.instance_id for _ in range(5)}
    assert chosen == {"dc-1-pool-1-2"}


def test_chooses_no_worker_past_the_deadline() -> None:
    harness = RouterHarness(build_state(1))
    expired = build_facts(deadline=harness.timers.monotonic())
    assert harness.router.choose(expired, NO_EXCLUSIONS).failure().status == 504


def test_claims_moves_and_absences_make_a_worker_unusable() -> None:
    """Guard against new work for a draining worker, which its reboot then cuts off.

    A claim, a move or an absence is folded while requests are routed, so the list of
    available workers must follow the log.
    """
    harness = RouterHarness(build_state(1))
    name = "dc-1-pool-1-0"
    state = harness.log.state
    state.claims[name] = Claim(name, "wave", "entry", 2, "claimed", 1)
    harness.log.notify_accepted(TakeClaim("wave", name, "entry", 1))
    assert harness.refusal() == "no-worker"
    del state.claims[name]
    harness.log.notify_accepted(ReleaseClaim(name, 2, "given-back", 1))
    assert harness.choose().instance.instance_id == name
    state.moves[name] = Move("move", name, "pool-1", "pool-2", 1)
    harness.log.notify_accepted(RequestMove("move", name, "pool-2"))
    assert harness.refusal() == "no-worker"
    del state.moves[name]
    state.instances[name].pool = "pool-2"
    harness.log.notify_accepted(TransferInstance("move"))
    assert harness.refusal() == "no-worker"
    moved = harness.choose(build_facts(pool="pool-2"))
    assert moved.instance.pool == "pool-2"
    state.absences[name] = Absence(name, "failed", "entry", 1)
    down = AbsenceChange(name, False, 1)
    harness.log.notify_accepted(ReportAbsences("dc-1", (down,)))
    assert not harness.router.slots("pool-2")


def test_in_flight_counts_survive_a_snapshot() -> None:
    harness = RouterHarness(build_state(1, slots=1))
    choice = harness.choose()
    harness.log.state = build_state(1, slots=1)
    assert harness.refusal() == "no-capacity"
    harness.router.finish(choice, build_facts(), build_attempt())
    assert isinstance(harness.router.choose(build_facts(), NO_EXCLUSIONS), Success)


def test_busy_refusal_is_no_failure_but_lowers_preference() -> None:
    harness = RouterHarness(build_state(2))
    choice = harness.choose()
    busy = build_attempt(AttemptOutcome.REFUSED, cause="busy")
    harness.router.finish(choice, build_facts(), busy)
    others = {harness.choose().instance.instance_id for _ in range(4)}
    assert choice.instance.instance_id not in others
    assert len(harness.events_of_type(WorkerBusy)) == 1
    assert not harness.events_of_type(InstanceQuarantined)


def test_usage_report_counts_as_load() -> None:
    harness = RouterHarness(build_state(2))
    harness.router.on_usage(WorkerUsage("dc-1-pool-1-0", 6, 6, 0.0))
    chosen = Counter(harness.choose().instance.instance_id for _ in range(4))
    assert chosen == {"dc-1-pool-1-1": 4}


def test_worker_that_fails_immediately_attracts_no_work() -> None:
    """Guard against a pool where most requests fail while most workers are idle.

    A worker that fails every request immediately has nothing in flight, so it looks
    least loaded if only load counts.
    """
    harness = RouterHarness(build_state(8))
    broken = frozenset({"dc-1-pool-1-3"})
    chosen = harness.run_many("request", 2000, broken)
    assert chosen["dc-1-pool-1-3"] <= 12
    assert len(harness.events_of_type(InstanceQuarantined)) == 1


def test_quarantine_is_capped_for_each_pool() -> None:
    """Guard against a pool without workers although each could still serve requests.

    Half of the workers fail at once for a common cause, and each is judged worse than
    its peers.
    """
    harness = RouterHarness(build_state(6))
    broken = frozenset({f"dc-1-pool-1-{n}" for n in range(3)})
    harness.run_many("request", 3000, broken)
    assert len(harness.events_of_type(InstanceQuarantined)) == 2
    assert harness.router.slots("pool-1") == 4 * 8


def test_bad_requests_quarantine_no_worker() -> None:
    """Guard against a shared pool lost to the faulty release of one organisation.

    Its requests fail on every worker and are retried on another one each time, so
    attempts must not count instead of distinct requests.
    """
    harness = RouterHarness(build_state(6))
    tried_first = "dc-1-pool-1-0"
    others = frozenset(harness.log.state.instances) - {tried_first}
    for number in range(100):
        bad = build_facts(f"bad-{number}", "large", deadline=2e6)
        first = harness.choose(bad, others)
        second = harness.choose(bad, frozenset({tried_first}))
        for choice in (first, second):
            harness.router.finish(choice, bad, build_attempt(status=500))
        harness.timers.pause(3.0)
    assert first.instance.instance_id == tried_first
    assert not harness.events_of_type(InstanceQuarantined)


def test_attempts_abandoned_early_quarantine_no_worker() -> None:
    """Guard against quarantines during an overload, which make it worse.

    Requests leave the queue with little time left, and their callers give up while
    healthy workers process them. That must not count against these workers.
    """
    harness = RouterHarness(build_state(6))
    harness.run_many("request", 100, NO_EXCLUSIONS)
    others = frozenset(harness.log.state.instances) - {"dc-1-pool-1-0"}
    for number in range(50):
        facts = build_facts(f"hurried-{number}", deadline=2e6)
        choice = harness.choose(facts, others)
        abandoned = build_attempt(AttemptOutcome.UNKNOWN, cause="abandoned")
        harness.timers.pause(3.0)
        harness.router.finish(choice, facts, abandoned)
    assert choice.instance.instance_id == "dc-1-pool-1-0"
    assert not harness.events_of_type(InstanceQuarantined)


@pytest.mark.parametrize(
    ("status", "cause", "conclusive", "failure"),
    [
        (200, "", True, False),
        (500, "", True, True),
        (500, "worker-failed", True, True),
        (200, "answer-late", True, True),
        (200, "hedge-lost", False, False),
        (200, "answer-not-whole", False, False),
    ],
)
def test_responses_are_classified_by_status_and_cause(
    status: int, cause: str, conclusive: bool, failure: bool
) -> None:
    attempt = build_attempt(status=status, cause=cause)
    assert is_conclusive(attempt, 0.05) is conclusive
    assert is_failure(attempt) is failure


def test_local_shortage_is_no_evidence_against_a_worker() -> None:
    """Guard against a healthy worker that is suspected of being down.

    An attempt can also remain unsent because this entry has used up its connections to
    the worker, or because the deadline has passed.
    """
    harness = RouterHarness(build_state(1))
    for cause in ("connections-used-up", "deadline-exceeded"):
        local = build_attempt(AttemptOutcome.NOT_SENT, cause=cause)
        harness.router.finish(harness.choose(), build_facts(), local)
    assert not harness.membership.reports
    failed = build_attempt(AttemptOutcome.NOT_SENT, cause="connect-failed")
    harness.router.finish(harness.choose(), build_facts(), failed)
    assert harness.membership.reports == [("dc-1-pool-1-0", False, "connect-failed")]
    assert harness.refusal() == "no-capacity"


def test_worker_that_finishes_nothing_is_quarantined() -> None:
    """Guard against a share of requests that all run into their deadline.

    One worker accepts every request and finishes none, so there are no responses by
    which to judge it.
    """
    harness = RouterHarness(build_state(6))
    harness.run_many("request", 100, NO_EXCLUSIONS)
    for number in range(400):
        facts = build_facts(f"stuck-{number}", deadline=harness.timers.monotonic() + 30)
        choice = harness.choose(facts)
        attempt = build_attempt()
        if choice.instance.instance_id == "dc-1-pool-1-2":
            attempt = Attempt("a", "w", AttemptOutcome.UNKNOWN, 2.0, 0, "abandoned")
        harness.timers.pause(0.05)
        harness.router.finish(choice, facts, attempt)
    (event,) = harness.events_of_type(InstanceQuarantined)
    assert event.instance_id == "dc-1-pool-1-2"


def test_successful_probation_ends_a_quarantine() -> None:
    harness = RouterHarness(build_state(8))
    broken = frozenset({"dc-1-pool-1-3"})
    quarantine(harness, broken)
    harness.timers.pause(6.0)
    assert harness.choose(build_facts("probe")).probation
    harness.router.finish(
        Choice(harness.log.state.instances["dc-1-pool-1-3"], "attempt", True),
        build_facts("probe"),
        build_attempt(),
    )
    harness.run_many("later", 20, NO_EXCLUSIONS)
    assert harness.events_of_type(InstanceReleased)
    assert harness.router.slots("pool-1") == 64


def test_failed_probe_doubles_the_quarantine() -> None:
    harness = RouterHarness(build_state(8))
    broken = frozenset({"dc-1-pool-1-3"})
    quarantine(harness, broken)
    harness.timers.pause(6.0)
    probes = harness.run_many("again", 50, broken)
    assert probes["dc-1-pool-1-3"] == 1
    harness.timers.pause(6.0)
    probes = harness.run_many("early", 50, broken)
    assert probes["dc-1-pool-1-3"] == 0
    harness.timers.pause(5.0)
    probes = harness.run_many("due", 50, broken)
    assert probes["dc-1-pool-1-3"] == 1


def test_failing_probes_do_not_block_other_workers() -> None:
    """Guard against a recovered worker that stays in quarantine for ever.

    Of two quarantined workers, one keeps failing its probes. Its overdue entry must not
    stay ahead of the other's in the schedule.
    """
    harness = RouterHarness(build_state(8))
    broken = frozenset({"dc-1-pool-1-3", "dc-1-pool-1-5"})
    harness.run_many("request", 3000, broken)
    assert harness.router.slots("pool-1") == 48
    harness.timers.pause(30.0)
    harness.run_many("later", 400, frozenset({"dc-1-pool-1-3"}))
    released = [event.instance_id for event in harness.events_of_type(InstanceReleased)]
    assert released == ["dc-1-pool-1-5"]


def test_old_quarantines_do_not_lengthen_new_ones() -> None:
    health = Health()
    durations = []
    for now in (0.0, 100.0, 2000.0):
        apply_event(health, "judged_outlier", now)
        durations.append(health.quarantine_ends_at - now)
        apply_event(health, "seen_up", health.quarantine_ends_at)
    assert durations == [5.0, 10.0, 5.0]


def test_quarantine_by_another_entry_is_applied() -> None:
    harness = RouterHarness(build_state(3))
    name = "dc-1-pool-1-0"
    harness.log.state.absences[name] = Absence(name, "quarantined", "entry-2", 1)
    change = AbsenceChange(name, False, 1, "quarantined")
    harness.log.notify_accepted(ReportAbsences("dc-1", (change,)))
    assert harness.router.slots("pool-1") == 16
    del harness.log.state.absences[name]
    harness.log.notify_accepted(ReportAbsences("dc-1", (AbsenceChange(name, True, 2),)))
    assert harness.router.slots("pool-1") == 24


def test_requests_are_forwarded_once_and_only_to_capacity() -> None:
    """Guard against requests that circulate between full data centres.

    All data centres are full and each would forward to the next one until the deadline.
    """
    state = build_state(1)
    add_workers(state, 1, "pool-1", "dc-2")
    members = (
        build_member("entry-1"),
        build_member("entry-2", "dc-2", in_flight=3),
        build_member("entry-3", "dc-2", in_flight=9),
    )
    harness = RouterHarness(state, FakeMembership(members))
    remote = harness.router.choose_remote(build_facts())
    assert remote is not None
    assert remote.member.name == "entry-2"
    assert harness.router.choose_remote(build_facts(hops=1)) is None
    near_deadline = build_facts(deadline=harness.timers.monotonic() + 0.01)
    assert harness.router.choose_remote(near_deadline) is None
    state.silent.add("dc-2")
    assert harness.router.choose_remote(build_facts()) is None
