"""Admit requests: the waiting around the pure gates."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

import anyio
from returns.result import Failure, Result, Success

from ...helpers.logging import get_logger
from ...helpers.timer import TimerService
from ..entry.models import Ran, RequestFacts, RequestRefusal
from ..entry.protocols import Permit
from .capacity import CapacityView
from .gate import PoolAdmission
from .latency import LatencyEstimates
from .models import (
    AdmissionStats,
    RefusalCause,
    SlotReclaimRequested,
    Ticket,
    TicketState,
)
from .spread import RetryAfterPacer

_LOGGER = get_logger(__name__)

_STATUS = {
    RefusalCause.DEADLINE: 504,
    RefusalCause.QUOTA: 429,
    RefusalCause.QUEUE_FULL: 429,
}
_UNAVAILABLE = 503


class TicketPermit:
    """Hold an admitted request's place."""

    def __init__(self, service: LimiterService, pool: str, ticket: Ticket) -> None:
        self._service = service
        self._pool = pool
        self._ticket = ticket

    def release(self, latency_seconds: float, succeeded: bool) -> None:
        """Give the place back; a second call does nothing."""
        self._service.release(self._pool, self._ticket, latency_seconds, succeeded)


class LimiterService:
    """Serve as the process's limiter.

    :param capacity: tells each pool's capacity as the folded state has it now.
    :param publish: takes :class:`SlotReclaimRequested`.
    :param queue_length: most requests that wait for one pool.
    """

    def __init__(
        self,
        *,
        capacity: CapacityView,
        timers: TimerService,
        publish: Callable[[object], None],
        queue_length: int,
        random: Random | None = None,
    ) -> None:
        self._capacity = capacity
        self._timers = timers
        self._publish = publish
        self._queue_length = queue_length
        self._random = random or Random()
        self._gates: dict[str, PoolAdmission] = {}
        self._spreads: dict[tuple[str, str], RetryAfterPacer] = {}
        self._estimates = LatencyEstimates()
        self._events: dict[Ticket, anyio.Event] = {}

    @property
    def in_flight(self) -> int:
        """Return the requests in flight, which peers are told."""
        return sum(gate.in_flight for gate in self._gates.values())

    async def async_admit(self, facts: RequestFacts) -> Result[Permit, RequestRefusal]:
        """Wait in the organisation's queue for a place, or say why there is none."""
        now = self._timers.monotonic()
        gate = self._gate(facts.pool, now)
        ticket = self._ticket(facts)
        self._wake(gate.submit(ticket, now))
        if ticket.state is TicketState.WAITING:
            await self._async_wait(facts.pool, gate, ticket)
        if ticket.state is TicketState.ADMITTED:
            return Success(TicketPermit(self, facts.pool, ticket))
        return Failure(self._refusal(facts, gate, ticket))

    def release(
        self, pool: str, ticket: Ticket, latency: float, succeeded: bool
    ) -> None:
        """Give a place back and wake who is next."""
        now = self._timers.monotonic()
        # What callers feel includes the wait for the place. Taken for the service's
        # own latency it would shrink the limit, which makes the wait longer still.
        latency = min(latency, now - ticket.started)
        self._wake(self._gates[pool].release(ticket, latency, succeeded, now))

    def record_busy(self, pool: str) -> None:
        """Take into account that a worker had no slot for us."""
        gate = self._gates.get(pool)
        if gate is not None:
            gate.record_busy(self._timers.monotonic())

    def figures(self) -> dict[str, AdmissionStats]:
        """Return each pool's figures for reports."""
        return {pool: gate.figures() for pool, gate in self._gates.items()}

    async def async_sweep(self) -> None:
        """Follow capacity and refuse what waited past its deadline."""
        now = self._timers.monotonic()
        for pool, gate in self._gates.items():
            self._wake(gate.resize(self._capacity.get(pool, now), now))
            self._wake(gate.sweep(now))
            if gate.slots_to_reclaim:
                self._publish(SlotReclaimRequested(pool, gate.slots_to_reclaim))

    async def async_prune(self) -> None:
        """Forget organisations that are idle."""
        for gate in self._gates.values():
            gate.prune()

    async def _async_wait(self, pool: str, gate: PoolAdmission, ticket: Ticket) -> None:
        event = self._events[ticket] = anyio.Event()
        try:
            await event.wait()
        except anyio.get_cancelled_exc_class():
            # The caller gave up. A place given at the same moment would be held for
            # ever, which shows as a limit that shrinks by one each time.
            now = self._timers.monotonic()
            self._wake(gate.withdraw(ticket, now))
            self._wake(gate.release(ticket, 0.0, False, now))
            raise
        finally:
            self._events.pop(ticket, None)

    def _gate(self, pool: str, now: float) -> PoolAdmission:
        gate = self._gates.get(pool)
        capacity = self._capacity.get(pool, now)
        if gate is None:
            gate = self._gates[pool] = PoolAdmission(capacity, self._queue_length)
        self._wake(gate.resize(capacity, now))
        return gate

    def _ticket(self, facts: RequestFacts) -> Ticket:
        return Ticket(
            organisation=facts.organisation,
            urgency=facts.urgency,
            quota=facts.parameters.quota,
            arrived=facts.arrived,
            deadline=facts.deadline,
            estimate=self._estimates.get(facts.organisation, facts.service),
        )

    def _wake(self, decided: list[Ticket]) -> None:
        for ticket in decided:
            event = self._events.get(ticket)
            if event is not None:
                event.set()

    def _refusal(
        self, facts: RequestFacts, gate: PoolAdmission, ticket: Ticket
    ) -> RequestRefusal:
        cause = ticket.cause or RefusalCause.OVERLOADED
        retry_after = None
        if cause is not RefusalCause.DEADLINE:
            retry_after = self._retry_after(facts, gate.expected_rate(ticket))
        return RequestRefusal(
            code=cause.value,
            status=_STATUS.get(cause, _UNAVAILABLE),
            ran=Ran.NO,
            detail=f"pool={facts.pool} organisation={facts.organisation}",
            retry_after_seconds=retry_after,
        )

    def _retry_after(self, facts: RequestFacts, rate: float) -> float:
        key = (facts.pool, facts.organisation)
        spread = self._spreads.get(key)
        if spread is None:
            spread = self._spreads[key] = RetryAfterPacer(self._random)
        return spread.next_delay_seconds(rate, self._timers.monotonic())
