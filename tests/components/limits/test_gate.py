"""Test who gets a pool's places, who waits and who is refused."""

from __future__ import annotations

from collections import Counter

from mustardward.components.limits.gate import PoolAdmission
from mustardward.components.limits.latency import LatencyEstimates
from mustardward.components.limits.models import (
    PoolCapacity,
    RefusalCause,
    Ticket,
    TicketState,
)
from mustardward.state.models.templates import Quota, Urgency


class Gate:
    """Hold a gate, its tickets and the time."""

    def __init__(
        self, slots: int = 10, reserve: float = 0.1, entries: int = 1, queue: int = 512
    ) -> None:
        self.gate = PoolAdmission(PoolCapacity(slots, entries, reserve), queue)
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
        self._take(self.gate.submit(ticket, self.now))
        return ticket

    def finish(self, ticket: Ticket, latency: float = 0.1) -> None:
        self.running.remove(ticket)
        self._take(self.gate.release(ticket, latency, True, self.now))

    def pass_time(self, seconds: float) -> None:
        self.now += seconds
        self._take(self.gate.sweep(self.now))

    def held(self) -> Counter[str]:
        return Counter(ticket.organisation for ticket in self.running)

    def _take(self, decided: list[Ticket]) -> None:
        admitted = [item for item in decided if item.state is TicketState.ADMITTED]
        self.running.extend(admitted)


def test_keeps_the_reserve_for_urgent_work() -> None:
    gate = Gate(slots=10, reserve=0.2)
    for _ in range(20):
        gate.submit()
    assert len(gate.running) == 8
    urgent = gate.submit(urgency=Urgency.URGENT)
    assert urgent.state is TicketState.ADMITTED


def test_light_organisation_gets_a_place_under_a_neighbours_flood() -> None:
    """Symptom: a small organisation's answers are late whenever a large one is busy.

    Sequence: the large one sends far more than its share and fills slots and queue.
    Cause: one queue for all.
    """
    gate = Gate(slots=10)
    flood = [gate.submit("large") for _ in range(300)]
    small = gate.submit("small")
    assert small.state is TicketState.ADMITTED
    assert flood[-1].cause is RefusalCause.QUEUE_FULL


def test_urgent_flood_of_one_organisation_leaves_a_place_for_another() -> None:
    gate = Gate(slots=10)
    for _ in range(40):
        gate.submit("large", Urgency.URGENT)
    first = gate.submit("small")
    for ticket in list(gate.running):
        gate.finish(ticket)
    assert first.state in (TicketState.ADMITTED, TicketState.ENDED)


def test_shares_follow_weights_not_demand() -> None:
    gate = Gate(slots=12, reserve=0.0)
    started: Counter[str] = Counter()
    for _ in range(200):
        for _ in range(10):
            gate.submit("large", quota=Quota(weight=1.0, concurrency=100))
        for _ in range(2):
            gate.submit("small", quota=Quota(weight=3.0, concurrency=100))
        gate.now += 0.05
        for ticket in gate.running[:4]:
            started[ticket.organisation] += 1
            gate.finish(ticket)
    assert started["small"] / started["large"] > 0.9


def test_full_queue_drops_from_the_longest() -> None:
    gate = Gate(slots=1, reserve=0.0, queue=10)
    flood = [gate.submit("large", quota=Quota(queue=100)) for _ in range(11)]
    small = gate.submit("small")
    assert flood[-1].cause is RefusalCause.QUEUE_FULL
    assert small.state is TicketState.WAITING


def test_sheds_at_once_what_would_miss_its_deadline() -> None:
    """Symptom: under overload every caller waits its whole deadline for an error.

    Sequence: the queue is longer than what can be served before the newcomers'
    deadlines; they wait in it, are started too late and are then thrown away.
    Cause: finding out at the end of the wait.
    """
    gate = Gate(slots=2, reserve=0.0)
    tickets = [gate.submit(deadline=1.0) for _ in range(50)]
    waiting = [item for item in tickets if item.state is TicketState.WAITING]
    refused = [item for item in tickets if item.state is TicketState.REFUSED]
    assert 5 <= len(waiting) <= 12
    assert {item.cause for item in refused} == {RefusalCause.WOULD_MISS_DEADLINE}


def test_nothing_is_started_past_its_deadline() -> None:
    gate = Gate(slots=1, reserve=0.0)
    first = gate.submit(deadline=5.0)
    second = gate.submit(deadline=1.0)
    gate.now += 2.0
    gate.finish(first)
    assert second.cause is RefusalCause.DEADLINE
    assert gate.submit(deadline=0.0).cause is RefusalCause.DEADLINE


def test_nothing_is_started_that_can_not_end_in_time() -> None:
    """Symptom: workers are busy, and all their answers come too late.

    Sequence: a request reaches the front of its queue with less time left than its
    service takes.
    Cause: looking at the deadline only once it has passed.
    """
    gate = Gate(slots=2, reserve=0.0)
    for _ in range(20):
        learnt = gate.submit()
        gate.now += 1.0
        gate.finish(learnt, 1.0)
    running = [gate.submit(), gate.submit()]
    hurried = gate.submit(deadline=1.2)
    gate.now += 0.8
    gate.finish(running[0], 0.8)
    assert hurried.cause is RefusalCause.DEADLINE


def test_sweep_refuses_what_waited_past_its_deadline() -> None:
    gate = Gate(slots=1, reserve=0.0)
    gate.submit()
    waiting = gate.submit(deadline=1.0)
    gate.pass_time(1.1)
    assert waiting.cause is RefusalCause.DEADLINE


def test_wrong_estimate_does_not_lock_a_service_out() -> None:
    """Symptom: a service is refused for ever although its pool is idle.

    Sequence: for a while its answers take a minute; every later request has a deadline
    of ten seconds, is refused for that, and so no newer latency is ever learnt.
    Cause: refusing by an estimate that only served requests correct.
    """
    gate = Gate(slots=2, reserve=0.0)
    slow = gate.submit(deadline=100.0)
    gate.now += 60.0
    gate.finish(slow, 60.0)
    for _ in range(40):
        ticket = gate.submit(deadline=10.0)
        assert ticket.state is TicketState.ADMITTED
        gate.now += 0.1
        gate.finish(ticket, 0.1)
    assert gate.estimates.get("large", "service").recent < 1.5


def test_long_work_gives_way_and_ages() -> None:
    """Symptom: urgent work waits behind a batch, or a batch never ends.

    Sequence: long work fills all places; or normal work never lets it through.
    Cause: no class below normal, or one without aging.
    """
    gate = Gate(slots=4, reserve=0.25)
    for _ in range(10):
        gate.submit("batch", Urgency.LONG, deadline=300.0)
    assert len(gate.running) == 3
    assert gate.submit("shop").state is TicketState.ADMITTED
    for _ in range(3):
        gate.submit("shop")
    for ticket in gate.running[:3]:
        gate.finish(ticket, 1.0)
    assert gate.held() == {"shop": 3}
    gate = Gate(slots=1, reserve=0.0)
    gate.submit("shop")
    long = gate.submit("batch", Urgency.LONG, deadline=300.0)
    for _ in range(400):
        gate.submit("shop")
        gate.pass_time(0.1)
        gate.finish(gate.running[0])
        if long.state is not TicketState.WAITING:
            break
    assert 30.0 <= gate.now < 31.0


def test_quota_is_shared_among_entries_and_lent_when_nobody_waits() -> None:
    quota = Quota(concurrency=8)
    gate = Gate(slots=80, reserve=0.0, entries=4)
    for _ in range(20):
        gate.submit("large", quota=quota)
    assert gate.held() == {"large": 8}
    gate = Gate(slots=8, reserve=0.0, entries=4)
    for _ in range(5):
        gate.submit("small", quota=Quota(concurrency=100))
    assert gate.held() == {"small": 2}
    gate.submit("large", quota=quota)
    for _ in range(12):
        gate.finish(gate.running[0])
        gate.submit("small", quota=Quota(concurrency=100))
        gate.submit("large", quota=quota)
    assert gate.held()["large"] <= 2


def test_parameters_take_effect_without_loss() -> None:
    gate = Gate(slots=4, reserve=0.0)
    for _ in range(10):
        gate.submit()
    gate._take(gate.gate.resize(PoolCapacity(8, 1, 0.0), gate.now))
    assert len(gate.running) == 8
    gate._take(gate.gate.resize(PoolCapacity(2, 1, 0.0), gate.now))
    assert gate.gate.figures().in_flight == 8
    while gate.running:
        gate.finish(gate.running[0])
    assert gate.gate.figures().waiting == 0


def test_withdrawn_request_frees_its_place() -> None:
    gate = Gate(slots=1, reserve=0.0)
    first = gate.submit()
    second = gate.submit()
    third = gate.submit()
    gate.gate.withdraw(second, gate.now)
    gate.finish(first)
    assert third.state is TicketState.ADMITTED
    gate.finish(third)
    gate.gate.prune()
    assert gate.gate.figures().by_organisation in ({}, {"large": 0})


def test_usual_demand_is_kept_free_from_requests_that_hold_places_long() -> None:
    """Symptom: a small organisation within its share waits seconds for a place.

    Sequence: a neighbour's requests take five seconds each and fill all places while
    the small one pauses; the next place falls free much later.
    Cause: giving whoever waits every place that is free at the moment.
    """
    gate = Gate(slots=10, reserve=0.0)
    for _ in range(200):
        quick = gate.submit("small")
        gate.pass_time(0.07)
        gate.finish(quick, 0.07)
        gate.pass_time(0.06)
    for _ in range(20):
        gate.submit("large", deadline=300.0)
    gate.pass_time(0.05)
    assert gate.held()["large"] == 7
    last = gate.submit("small")
    assert last.state is TicketState.ADMITTED
    gate.finish(last)
    gate.pass_time(120.0)
    gate.submit("large", deadline=300.0)
    assert gate.held()["large"] == 10


def test_quick_requests_need_not_leave_places_idle() -> None:
    gate = Gate(slots=10, reserve=0.0)
    for name in ("small", "large") * 200:
        quick = gate.submit(name)
        gate.pass_time(0.05)
        gate.finish(quick, 0.05)
    for _ in range(20):
        gate.submit("large")
    assert gate.held() == {"large": 10}


def test_unused_share_is_credit_for_a_while() -> None:
    """Symptom: an organisation at four fifths of its share queues as if above it.

    Sequence: its requests come in bursts; each burst drains no faster than the flood.
    Cause: forgetting at each pause what it left to the others.
    """
    gate = Gate(slots=8, reserve=0.0)
    for _ in range(100):
        gate.submit("large", quota=Quota(queue=1000))
    order: list[str] = []
    for step in range(100):
        if step % 20 == 0:
            for _ in range(6):
                gate.submit("small")
        gate.pass_time(0.0125)
        done = gate.running[0]
        order.append(done.organisation)
        gate.finish(done, 0.1)
    assert order[88:94] == ["small"] * 6


def test_organisation_forgotten_while_idle_is_served_again() -> None:
    """Symptom: an organisation that comes back after minutes is never admitted.

    Sequence: its last request was refused while it waited; idle, it is forgotten, but
    its old place in the order bars the new one.
    Cause: an order that knows organisations by name.
    """
    gate = Gate(slots=1, reserve=0.0)
    running = gate.submit("large")
    gate.submit("small", deadline=1.0)
    gate.pass_time(2.0)
    gate.gate.prune()
    again = gate.submit("small")
    gate.finish(running)
    assert again.state is TicketState.ADMITTED


def test_raised_quota_lets_waiting_requests_in() -> None:
    gate = Gate(slots=8, reserve=0.0)
    for _ in range(3):
        gate.submit("small", quota=Quota(concurrency=1))
    assert gate.held() == {"small": 1}
    gate.submit("small", quota=Quota(concurrency=4))
    assert gate.held() == {"small": 4}
