"""Test which requests a pool admits, queues and refuses."""

from __future__ import annotations

from collections import Counter

from mustardward.components.limits.admission import PoolAdmission
from mustardward.components.limits.latency import LatencyEstimates
from mustardward.components.limits.models import (
    PoolCapacity,
    RefusalCause,
    Ticket,
    TicketState,
)
from mustardward.state.models.templates import Quota, Urgency


class AdmissionHarness:
    """Provide a pool admission with its tickets and a manual clock."""

    def __init__(
        self, slots: int = 10, reserve: float = 0.1, entries: int = 1, queue: int = 512
    ) -> None:
        self.admission = PoolAdmission(PoolCapacity(slots, entries, reserve), queue)
        self.estimates = LatencyEstimates()
        self.now = 0.0
        self.running: list[Ticket] = []

    def submit(
        self,
        organisation: str = "large",
        urgency: Urgency = Urgency.NORMAL,
        quota: Quota | None = None,
        deadline: float = 30.0,
    ) -> Ticket:
        ticket = Ticket(
            organisation,
            urgency,
            quota or Quota(),
            self.now,
            self.now + deadline,
            self.estimates.get(organisation, "service"),
        )
        self._add_admitted(self.admission.submit(ticket, self.now))
        return ticket

    def finish(self, ticket: Ticket, latency: float = 0.1) -> None:
        self.running.remove(ticket)
        self._add_admitted(self.admission.release(ticket, latency, True, self.now))

    def advance(self, seconds: float) -> None:
        self.now += seconds
        self._add_admitted(self.admission.sweep(self.now))

    def running_by_organisation(self) -> Counter[str]:
        return Counter(ticket.organisation for ticket in self.running)

    def _add_admitted(self, decided: list[Ticket]) -> None:
        admitted = [item for item in decided if item.state is TicketState.ADMITTED]
        self.running.extend(admitted)


def test_reserve_is_kept_for_urgent_requests() -> None:
    admission = AdmissionHarness(slots=10, reserve=0.2)
    for _ in range(20):
        admission.submit()
    assert len(admission.running) == 8
    urgent = admission.submit(urgency=Urgency.URGENT)
    assert urgent.state is TicketState.ADMITTED


def test_organisation_below_its_share_is_admitted_during_a_flood() -> None:
    """Guard against late responses for a small organisation during a flood.

    With one queue for all, a large organisation that sends far more than its share
    fills the slots and the queue.
    """
    admission = AdmissionHarness(slots=10)
    flood = [admission.submit("large") for _ in range(300)]
    small = admission.submit("small")
    assert small.state is TicketState.ADMITTED
    assert flood[-1].cause is RefusalCause.QUEUE_FULL


def test_urgent_flood_leaves_a_permit_for_another_organisation() -> None:
    admission = AdmissionHarness(slots=10)
    for _ in range(40):
        admission.submit("large", Urgency.URGENT)
    first = admission.submit("small")
    for ticket in list(admission.running):
        admission.finish(ticket)
    assert first.state in (TicketState.ADMITTED, TicketState.ENDED)


def test_shares_follow_weights_not_demand() -> None:
    admission = AdmissionHarness(slots=12, reserve=0.0)
    started: Counter[str] = Counter()
    for _ in range(200):
        for _ in range(10):
            admission.submit("large", quota=Quota(weight=1.0, concurrency=100))
        for _ in range(2):
            admission.submit("small", quota=Quota(weight=3.0, concurrency=100))
        admission.now += 0.05
        for ticket in admission.running[:4]:
            started[ticket.organisation] += 1
            admission.finish(ticket)
    assert started["small"] / started["large"] > 0.9


def test_full_queue_evicts_from_the_longest_organisation_queue() -> None:
    admission = AdmissionHarness(slots=1, reserve=0.0, queue=10)
    flood = [admission.submit("large", quota=Quota(queue=100)) for _ in range(11)]
    small = admission.submit("small")
    assert flood[-1].cause is RefusalCause.QUEUE_FULL
    assert small.state is TicketState.WAITING


def test_refuses_immediately_what_would_miss_its_deadline() -> None:
    """Guard against callers that wait until their deadline only for an error.

    With a queue longer than can be served before the deadlines, requests that are not
    refused on arrival start too late or never.
    """
    admission = AdmissionHarness(slots=2, reserve=0.0)
    tickets = [admission.submit(deadline=1.0) for _ in range(50)]
    waiting = [item for item in tickets if item.state is TicketState.WAITING]
    refused = [item for item in tickets if item.state is TicketState.REFUSED]
    assert 5 <= len(waiting) <= 12
    assert {item.cause for item in refused} == {RefusalCause.WOULD_MISS_DEADLINE}


def test_starts_no_request_past_its_deadline() -> None:
    admission = AdmissionHarness(slots=1, reserve=0.0)
    first = admission.submit(deadline=5.0)
    second = admission.submit(deadline=1.0)
    admission.now += 2.0
    admission.finish(first)
    assert second.cause is RefusalCause.DEADLINE
    assert admission.submit(deadline=0.0).cause is RefusalCause.DEADLINE


def test_starts_no_request_that_cannot_finish_in_time() -> None:
    """Guard against busy workers whose responses are all too late.

    A request can reach the front of its queue with less time left than its service
    takes, so checking for a passed deadline is not enough.
    """
    admission = AdmissionHarness(slots=2, reserve=0.0)
    for _ in range(20):
        sample = admission.submit()
        admission.now += 1.0
        admission.finish(sample, 1.0)
    running = [admission.submit(), admission.submit()]
    tight_deadline = admission.submit(deadline=1.2)
    admission.now += 0.8
    admission.finish(running[0], 0.8)
    assert tight_deadline.cause is RefusalCause.DEADLINE


def test_sweep_refuses_waiting_requests_past_their_deadline() -> None:
    admission = AdmissionHarness(slots=1, reserve=0.0)
    admission.submit()
    waiting = admission.submit(deadline=1.0)
    admission.advance(1.1)
    assert waiting.cause is RefusalCause.DEADLINE


def test_outdated_latency_estimate_is_corrected() -> None:
    """Guard against a service that is refused for ever by an outdated estimate.

    After one response that took a minute, requests with a deadline of ten seconds are
    expected to miss it. If all were refused, no newer latency would be recorded.
    """
    admission = AdmissionHarness(slots=2, reserve=0.0)
    slow = admission.submit(deadline=100.0)
    admission.now += 60.0
    admission.finish(slow, 60.0)
    for _ in range(40):
        ticket = admission.submit(deadline=10.0)
        assert ticket.state is TicketState.ADMITTED
        admission.now += 0.1
        admission.finish(ticket, 0.1)
    assert admission.estimates.get("large", "service").recent < 1.5


def test_long_requests_yield_and_age() -> None:
    """Guard against urgent work behind a batch, and against a batch that starves.

    Long requests must not fill all permits, and with steady normal load they are only
    admitted because they are promoted after a time.
    """
    admission = AdmissionHarness(slots=4, reserve=0.25)
    for _ in range(10):
        admission.submit("batch", Urgency.LONG, deadline=300.0)
    assert len(admission.running) == 3
    assert admission.submit("shop").state is TicketState.ADMITTED
    for _ in range(3):
        admission.submit("shop")
    for ticket in admission.running[:3]:
        admission.finish(ticket, 1.0)
    assert admission.running_by_organisation() == {"shop": 3}
    admission = AdmissionHarness(slots=1, reserve=0.0)
    admission.submit("shop")
    long = admission.submit("batch", Urgency.LONG, deadline=300.0)
    for _ in range(400):
        admission.submit("shop")
        admission.advance(0.1)
        admission.finish(admission.running[0])
        if long.state is not TicketState.WAITING:
            break
    assert 30.0 <= admission.now < 31.0


def test_quota_is_divided_among_entries_only_while_others_wait() -> None:
    quota = Quota(concurrency=8)
    admission = AdmissionHarness(slots=80, reserve=0.0, entries=4)
    for _ in range(20):
        admission.submit("large", quota=quota)
    assert admission.running_by_organisation() == {"large": 8}
    admission = AdmissionHarness(slots=8, reserve=0.0, entries=4)
    for _ in range(5):
        admission.submit("small", quota=Quota(concurrency=100))
    assert admission.running_by_organisation() == {"small": 2}
    admission.submit("large", quota=quota)
    for _ in range(12):
        admission.finish(admission.running[0])
        admission.submit("small", quota=Quota(concurrency=100))
        admission.submit("large", quota=quota)
    assert admission.running_by_organisation()["large"] <= 2


def test_capacity_change_loses_no_requests() -> None:
    admission = AdmissionHarness(slots=4, reserve=0.0)
    for _ in range(10):
        admission.submit()
    admission._add_admitted(
        admission.admission.resize(PoolCapacity(8, 1, 0.0), admission.now)
    )
    assert len(admission.running) == 8
    admission._add_admitted(
        admission.admission.resize(PoolCapacity(2, 1, 0.0), admission.now)
    )
    assert admission.admission.stats().in_flight == 8
    while admission.running:
        admission.finish(admission.running[0])
    assert admission.admission.stats().waiting == 0


def test_cancelled_request_leaves_the_queue() -> None:
    admission = AdmissionHarness(slots=1, reserve=0.0)
    first = admission.submit()
    second = admission.submit()
    third = admission.submit()
    admission.admission.cancel(second, admission.now)
    admission.finish(first)
    assert third.state is TicketState.ADMITTED
    admission.finish(third)
    admission.admission.prune()
    assert admission.admission.stats().in_flight_by_organisation in ({}, {"large": 0})


def test_recent_demand_is_protected_from_requests_that_hold_permits_long() -> None:
    """Guard against waits of seconds for an organisation within its share.

    If requests of five seconds fill all permits while a small organisation pauses, its
    next request waits until one of them ends.
    """
    admission = AdmissionHarness(slots=10, reserve=0.0)
    for _ in range(200):
        short = admission.submit("small")
        admission.advance(0.07)
        admission.finish(short, 0.07)
        admission.advance(0.06)
    for _ in range(20):
        admission.submit("large", deadline=300.0)
    admission.advance(0.05)
    assert admission.running_by_organisation()["large"] == 7
    last = admission.submit("small")
    assert last.state is TicketState.ADMITTED
    admission.finish(last)
    admission.advance(120.0)
    admission.submit("large", deadline=300.0)
    assert admission.running_by_organisation()["large"] == 10


def test_short_requests_may_use_protected_permits() -> None:
    admission = AdmissionHarness(slots=10, reserve=0.0)
    for name in ("small", "large") * 200:
        short = admission.submit(name)
        admission.advance(0.05)
        admission.finish(short, 0.05)
    for _ in range(20):
        admission.submit("large")
    assert admission.running_by_organisation() == {"large": 10}


def test_unused_share_gives_temporary_credit() -> None:
    """Guard against queueing of an organisation that uses four fifths of its share.

    Its requests come in bursts. If the share left unused between bursts did not count,
    a burst would drain no faster than a flood.
    """
    admission = AdmissionHarness(slots=8, reserve=0.0)
    for _ in range(100):
        admission.submit("large", quota=Quota(queue=1000))
    order: list[str] = []
    for step in range(100):
        if step % 20 == 0:
            for _ in range(6):
                admission.submit("small")
        admission.advance(0.0125)
        done = admission.running[0]
        order.append(done.organisation)
        admission.finish(done, 0.1)
    assert order[88:94] == ["small"] * 6


def test_pruned_organisation_is_served_again() -> None:
    """Guard against an organisation that is never admitted after a long pause.

    Its last request is refused while waiting and the organisation is pruned, but its
    old entry stays in the virtual time queue. Identified by name, that entry would
    block the new one.
    """
    admission = AdmissionHarness(slots=1, reserve=0.0)
    running = admission.submit("large")
    admission.submit("small", deadline=1.0)
    admission.advance(2.0)
    admission.admission.prune()
    again = admission.submit("small")
    admission.finish(running)
    assert again.state is TicketState.ADMITTED


def test_raised_quota_admits_waiting_requests() -> None:
    admission = AdmissionHarness(slots=8, reserve=0.0)
    for _ in range(3):
        admission.submit("small", quota=Quota(concurrency=1))
    assert admission.running_by_organisation() == {"small": 1}
    admission.submit("small", quota=Quota(concurrency=4))
    assert admission.running_by_organisation() == {"small": 4}
