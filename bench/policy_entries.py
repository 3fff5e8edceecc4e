"""Drive the product's policy, and the baselines it is compared with."""

from __future__ import annotations

from collections import deque
from functools import partial
from random import Random
from typing import Any

from returns.result import Failure

from bench.policy_long import LongWork
from bench.policy_model import (
    DATA_CENTRE,
    POOL,
    Fleet,
    ModelMembership,
    Request,
    Worker,
)
from mustardward.components.entry.models import (
    Attempt,
    AttemptOutcome,
    Ran,
    RequestFacts,
    RequestFinished,
)
from mustardward.components.entry.protocols import Choice
from mustardward.components.limits.admission import PoolAdmission
from mustardward.components.limits.capacity import CapacityView
from mustardward.components.limits.latency import LatencyEstimates
from mustardward.components.limits.models import Ticket, TicketState
from mustardward.components.limits.retry_pacing import RetryAfterPacer
from mustardward.components.retries.services import RetryPolicyService
from mustardward.components.routing.models import (
    InstanceQuarantined,
    InstanceReleased,
    WorkerBusy,
)
from mustardward.components.routing.services import RouterService
from mustardward.state.models.maintenance import (
    Absence,
    AbsenceChange,
    ReportAbsences,
)

FOLD_SECONDS = 0.3
FIXED_RETRIES = 3
SWEEP_SECONDS = 0.05


def answer(request: Request, now: float, status: int, ran: Ran, code: str) -> None:
    """Give a caller the final answer."""
    request.answers += 1
    request.answered_at = now
    request.status = status
    request.claimed_ran = ran.value
    request.code = code
    if request.on_answer is not None:
        request.on_answer(request)


def what_ran(request: Request) -> Ran:
    """Return what may be said of a request by all its attempts."""
    if all(attempt.outcome.definitely_not_run for attempt in request.attempts):
        return Ran.NO
    return Ran.UNKNOWN


class ProductEntry:
    """Run the product's limits, routing and retries for one entry."""

    def __init__(
        self,
        fleet: Fleet,
        name: str,
        membership: ModelMembership,
        long_work: LongWork | None,
    ) -> None:
        self._fleet = fleet
        self._name = name
        self._long_work = long_work
        self._clock = fleet.clock
        random = Random(f"{fleet.seed}/{name}")
        self.events: list[Any] = []
        self.router = RouterService(
            log=fleet.log,  # type: ignore[arg-type]
            membership=membership,  # type: ignore[arg-type]
            timers=fleet.clock,  # type: ignore[arg-type]
            data_centre=DATA_CENTRE,
            publish=self._publish,
            count_job_slots=self._count_long,
            random=random,
        )
        if long_work is not None:
            long_work.listeners.append(self.router.on_job_slots_changed)
        fleet.log.listen(self.router.on_record)
        self._capacity = CapacityView(
            log=fleet.log,  # type: ignore[arg-type]
            membership=membership,  # type: ignore[arg-type]
            slots=self.router.slots,
            job_slots=self.router.job_slots,
            data_centre=DATA_CENTRE,
        )
        self.gate = PoolAdmission(self._capacity.get(POOL, 0.0), 512)
        self.retries = RetryPolicyService(random)
        self._estimates = LatencyEstimates()
        self._spread = RetryAfterPacer(random)
        self._open: dict[Ticket, tuple[Request, RequestFacts]] = {}
        self._sent: dict[Ticket, tuple[Choice, float]] = {}
        self._clock.every(SWEEP_SECONDS, self._sweep)

    def arrive(self, request: Request) -> None:
        """Take one request."""
        facts = RequestFacts(
            request_id=request.request_id,
            organisation=request.organisation,
            service="service",
            pool=POOL,
            parameters=request.parameters,
            urgency=request.urgency,
            idempotent=request.idempotent,
            arrived=request.arrived,
            deadline=request.deadline,
        )
        ticket = Ticket(
            request.organisation,
            request.urgency,
            request.parameters.quota,
            request.arrived,
            request.deadline,
            self._estimates.get(request.organisation, "service"),
        )
        self._open[ticket] = (request, facts)
        self._decided(self.gate.submit(ticket, self._clock.now))

    def _sweep(self) -> None:
        now = self._clock.now
        self._decided(self.gate.resize(self._capacity.get(POOL, now), now))
        self._decided(self.gate.sweep(now))
        if self._long_work is not None and self.gate.slots_to_reclaim:
            self._long_work.wanted(self._name, self.gate.slots_to_reclaim)

    def _count_long(self, instance_id: str) -> int:
        if self._long_work is None:
            return 0
        return self._long_work.folded.get(instance_id, 0)

    def _decided(self, tickets: list[Ticket]) -> None:
        for ticket in tickets:
            request, facts = self._open[ticket]
            if ticket.state is TicketState.ADMITTED:
                self.retries.record_first(facts)
                self._clock.after(
                    request.deadline - self._clock.now, self._expire, ticket
                )
                self._attempt(ticket, frozenset())
            elif ticket.state is TicketState.REFUSED:
                cause = ticket.cause.value if ticket.cause else ""
                rate = self.gate.expected_rate(ticket)
                request.retry_after = self._spread.next_delay_seconds(
                    rate, self._clock.now
                )
                self._end(ticket, 503, what_ran(request), cause)

    def _attempt(self, ticket: Ticket, exclude: frozenset[str]) -> None:
        if ticket not in self._open:
            return
        request, facts = self._open[ticket]
        chosen = self.router.choose(facts, exclude)
        if isinstance(chosen, Failure):
            refusal = chosen.failure()
            request.retry_after = refusal.retry_after_seconds
            self._end(ticket, refusal.status, what_ran(request), refusal.code)
            return
        choice = chosen.unwrap()
        worker = self._fleet.workers[choice.instance.instance_id]
        self._sent[ticket] = (choice, self._clock.now)
        worker.send(request, partial(self._outcome, ticket, choice, exclude))

    def _outcome(
        self,
        ticket: Ticket,
        choice: Choice,
        exclude: frozenset[str],
        outcome: AttemptOutcome,
        status: int,
        cause: str,
    ) -> None:
        # An answer after its caller gave up: its attempt was recorded then.
        if ticket not in self._sent:
            return
        attempt = self._record(ticket, outcome, status, cause)
        request, facts = self._open[ticket]
        if outcome is AttemptOutcome.ANSWERED and status < 500:
            self._end(ticket, status, Ran.YES, "")
            return
        decision = self.retries.decide(facts, request.attempts, self._clock.now)
        if decision.should_retry:
            excluded = exclude | {attempt.instance_id}
            self._clock.after(decision.delay_seconds, self._attempt, ticket, excluded)
            return
        ran = Ran.YES if outcome is AttemptOutcome.ANSWERED else what_ran(request)
        self._end(ticket, status or 503, ran, decision.cause)

    def _record(
        self, ticket: Ticket, outcome: AttemptOutcome, status: int, cause: str
    ) -> Attempt:
        choice, started = self._sent.pop(ticket)
        request, facts = self._open[ticket]
        latency = self._clock.now - started
        instance_id = choice.instance.instance_id
        attempt = Attempt(
            choice.attempt_id, instance_id, outcome, latency, status, cause
        )
        request.attempts = (*request.attempts, attempt)
        self.router.finish(choice, facts, attempt)
        return attempt

    def _expire(self, ticket: Ticket) -> None:
        if ticket not in self._open:
            return
        if ticket in self._sent:
            self._record(ticket, AttemptOutcome.UNKNOWN, 0, "abandoned")
        request, _ = self._open[ticket]
        self._end(ticket, 504, what_ran(request), "deadline-exceeded")

    def _end(self, ticket: Ticket, status: int, ran: Ran, code: str) -> None:
        now = self._clock.now
        request, facts = self._open.pop(ticket)
        answer(request, now, status, ran, code)
        if ticket.state is not TicketState.ADMITTED:
            return
        self.retries.on_finished(
            RequestFinished(
                facts.request_id,
                facts.organisation,
                facts.service,
                facts.urgency,
                status,
                ran,
                request.latency,
                len(request.attempts),
            )
        )
        latency = now - ticket.started
        self._decided(self.gate.release(ticket, latency, status == 200, now))

    def _publish(self, event: object) -> None:
        self.events.append(event)
        if isinstance(event, WorkerBusy):
            self.gate.record_busy(self._clock.now)
        if isinstance(event, InstanceQuarantined):
            self._clock.after(FOLD_SECONDS, self._fold, event.instance_id, False)
        if isinstance(event, InstanceReleased):
            self._clock.after(FOLD_SECONDS, self._fold, event.instance_id, True)

    def _fold(self, instance_id: str, up: bool) -> None:
        absences = self._fleet.log.state.absences
        absences.pop(instance_id, None)
        if not up:
            absences[instance_id] = Absence(instance_id, "quarantined", "model", 1)
        change = AbsenceChange(instance_id, up, 1, "quarantined")
        self._fleet.log.folded(ReportAbsences(DATA_CENTRE, (change,)))


class RoundRobinEntry:
    """Send to one worker after another, with a fixed number of retries."""

    def __init__(self, fleet: Fleet, number: int) -> None:
        self._clock = fleet.clock
        self._workers = list(fleet.workers.values())
        self._next = number

    def arrive(self, request: Request) -> None:
        """Take one request."""
        self._clock.after(request.deadline - request.arrived, self._expire, request)
        self._attempt(request)

    def _attempt(self, request: Request) -> None:
        if request.answers:
            return
        self._next = (self._next + 1) % len(self._workers)
        worker = self._workers[self._next]
        worker.send(request, partial(self._outcome, request, worker))

    def _outcome(
        self,
        request: Request,
        worker: Worker,
        outcome: AttemptOutcome,
        status: int,
        cause: str,
    ) -> None:
        if request.answers:
            return
        attempt = Attempt("", worker.instance.instance_id, outcome, 0.0, status, cause)
        request.attempts = (*request.attempts, attempt)
        if outcome is AttemptOutcome.ANSWERED and status < 500:
            answer(request, self._clock.now, status, Ran.YES, "")
        elif len(request.attempts) <= FIXED_RETRIES:
            self._attempt(request)
        else:
            answer(request, self._clock.now, status or 503, what_ran(request), cause)

    def _expire(self, request: Request) -> None:
        if not request.answers:
            answer(request, self._clock.now, 504, Ran.UNKNOWN, "deadline-exceeded")


class FifoEntry(RoundRobinEntry):
    """Hold all requests in one queue before this entry's share of the slots."""

    def __init__(self, fleet: Fleet, number: int, entries: int) -> None:
        super().__init__(fleet, number)
        self._places = max(1, fleet.slots // entries)
        self._in_flight = 0
        self._queue: deque[Request] = deque()

    def arrive(self, request: Request) -> None:
        """Take one request."""
        self._clock.after(request.deadline - request.arrived, self._expire, request)
        self._queue.append(request)
        self._pump()

    def _pump(self) -> None:
        while self._queue and self._in_flight < self._places:
            self._in_flight += 1
            request = self._queue.popleft()
            self._send(request, 0)

    def _send(self, request: Request, retries: int) -> None:
        self._next = (self._next + 1) % len(self._workers)
        worker = self._workers[self._next]
        worker.send(request, partial(self._done, request, worker, retries))

    def _done(
        self,
        request: Request,
        worker: Worker,
        retries: int,
        outcome: AttemptOutcome,
        status: int,
        cause: str,
    ) -> None:
        failed = outcome is not AttemptOutcome.ANSWERED or status >= 500
        if failed and retries < FIXED_RETRIES:
            self._send(request, retries + 1)
            return
        self._in_flight -= 1
        attempt = Attempt("", worker.instance.instance_id, outcome, 0.0, status, cause)
        request.attempts = (*request.attempts, attempt)
        if not request.answers:
            ran = what_ran(request) if failed else Ran.YES
            answer(request, self._clock.now, status or 503, ran, cause)
        self._pump()


def build_entries(
    fleet: Fleet, kind: str, count: int, long_work: LongWork | None = None
) -> list[Any]:
    """Return entries of one kind: ``product``, ``round-robin`` or ``fifo``."""
    if kind == "round-robin":
        return [RoundRobinEntry(fleet, number) for number in range(count)]
    if kind == "fifo":
        return [FifoEntry(fleet, number, count) for number in range(count)]
    names = [f"entry-{number}" for number in range(count)]
    return [
        ProductEntry(fleet, name, ModelMembership(name, names), long_work)
        for name in names
    ]
