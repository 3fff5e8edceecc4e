"""Provide the limiter service, which waits for admission decisions."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

import anyio
from returns.result import Failure, Result, Success

from ...helpers.logging import get_logger
from ...helpers.timer import TimerService
from ..entry.models import Ran, RequestFacts, RequestRefusal
from ..entry.protocols import Permit
from .admission import PoolAdmission
from .capacity import CapacityView
from .latency import LatencyEstimates
from .models import (
    AdmissionStats,
    RefusalCause,
    SlotReclaimRequested,
    Ticket,
    TicketState,
)
from .retry_pacing import RetryAfterPacer

_LOGGER = get_logger(__name__)

_STATUS = {
    RefusalCause.DEADLINE: 504,
    RefusalCause.QUOTA: 429,
    RefusalCause.QUEUE_FULL: 429,
}
_UNAVAILABLE = 503


class TicketPermit:
    """Permit of an admitted request."""

    def __init__(self, service: LimiterService, pool: str, ticket: Ticket) -> None:
        self._service = service
        self._pool = pool
        self._ticket = ticket

    def release(self, latency_seconds: float, succeeded: bool) -> None:
        """Release the permit; a second call does nothing."""
        self._service.release(self._pool, self._ticket, latency_seconds, succeeded)


class LimiterService:
    """Limit the requests of this process.

    :param capacity: provides each pool's capacity according to the folded state.
    :param publish: takes :class:`SlotReclaimRequested`.
    :param queue_length: maximum number of waiting requests for each pool.
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
        self._admissions: dict[str, PoolAdmission] = {}
        self._pacers: dict[tuple[str, str], RetryAfterPacer] = {}
        self._estimates = LatencyEstimates()
        self._events: dict[Ticket, anyio.Event] = {}

    @property
    def in_flight(self) -> int:
        """Return the number of requests in flight, which is shared with peers."""
        return sum(admission.in_flight for admission in self._admissions.values())

    async def async_admit(self, facts: RequestFacts) -> Result[Permit, RequestRefusal]:
        """Wait in the organisation's queue for a permit, or return the refusal."""
        now = self._timers.monotonic()
        admission = self._admission(facts.pool, now)
        ticket = self._ticket(facts)
        self._wake(admission.submit(ticket, now))
        if ticket.state is TicketState.WAITING:
            await self._async_wait(facts.pool, admission, ticket)
        if ticket.state is TicketState.ADMITTED:
            return Success(TicketPermit(self, facts.pool, ticket))
        return Failure(self._refusal(facts, admission, ticket))

    def release(
        self, pool: str, ticket: Ticket, latency: float, succeeded: bool
    ) -> None:
        """Release a permit and wake the requests admitted next."""
        now = self._timers.monotonic()
        # The caller's latency includes the wait for the permit. Counted as latency of
        # the service, it would shrink the limit, which makes the wait even longer.
        latency = min(latency, now - ticket.started)
        self._wake(self._admissions[pool].release(ticket, latency, succeeded, now))

    def record_busy(self, pool: str) -> None:
        """Record that a worker of a pool refused an attempt as busy."""
        admission = self._admissions.get(pool)
        if admission is not None:
            admission.record_busy(self._timers.monotonic())

    def stats(self) -> dict[str, AdmissionStats]:
        """Return the current statistics of each pool."""
        return {pool: admission.stats() for pool, admission in self._admissions.items()}

    async def async_sweep(self) -> None:
        """Update capacities and refuse waiting requests past their deadline."""
        now = self._timers.monotonic()
        for pool, admission in self._admissions.items():
            self._wake(admission.resize(self._capacity.get(pool, now), now))
            self._wake(admission.sweep(now))
            if admission.slots_to_reclaim:
                self._publish(SlotReclaimRequested(pool, admission.slots_to_reclaim))

    async def async_prune(self) -> None:
        """Remove idle organisations."""
        for admission in self._admissions.values():
            admission.prune()

    async def _async_wait(
        self, pool: str, admission: PoolAdmission, ticket: Ticket
    ) -> None:
        event = self._events[ticket] = anyio.Event()
        try:
            await event.wait()
        except anyio.get_cancelled_exc_class():
            # The caller gave up. A permit granted at the same moment must be released,
            # or it would be held for ever and the limit would effectively shrink by one
            # each time.
            now = self._timers.monotonic()
            self._wake(admission.cancel(ticket, now))
            self._wake(admission.release(ticket, 0.0, False, now))
            raise
        finally:
            self._events.pop(ticket, None)

    def _admission(self, pool: str, now: float) -> PoolAdmission:
        admission = self._admissions.get(pool)
        capacity = self._capacity.get(pool, now)
        if admission is None:
            admission = self._admissions[pool] = PoolAdmission(
                capacity, self._queue_length
            )
        self._wake(admission.resize(capacity, now))
        return admission

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
        self, facts: RequestFacts, admission: PoolAdmission, ticket: Ticket
    ) -> RequestRefusal:
        cause = ticket.cause or RefusalCause.OVERLOADED
        retry_after = None
        if cause is not RefusalCause.DEADLINE:
            retry_after = self._retry_after(facts, admission.expected_rate(ticket))
        return RequestRefusal(
            code=cause.value,
            status=_STATUS.get(cause, _UNAVAILABLE),
            ran=Ran.NO,
            detail=f"pool={facts.pool} organisation={facts.organisation}",
            retry_after_seconds=retry_after,
        )

    def _retry_after(self, facts: RequestFacts, rate: float) -> float:
        key = (facts.pool, facts.organisation)
        pacer = self._pacers.get(key)
        if pacer is None:
            pacer = self._pacers[key] = RetryAfterPacer(self._random)
        return pacer.next_delay_seconds(rate, self._timers.monotonic())
