"""Admit, queue or refuse the requests of one pool, without I/O.

Each method that takes the current time returns the waiting tickets that it admitted or
refused, as their ``state`` says.
"""

from __future__ import annotations

import math

from ...state.models.templates import Urgency
from .const import (
    IDLE_CREDIT_SECONDS,
    MAXIMUM_WAIT_SHARE,
    MINIMUM_SERVICE_SHARE,
    URGENT_DRAIN_SECONDS,
    URGENT_OVERCOMMIT,
    URGENT_OVERDUE_SECONDS,
)
from .fairness import OrganisationQueue
from .models import AdmissionStats, PoolCapacity, RefusalCause, Ticket, TicketState
from .permits import PermitLimits
from .selection import RequestSelector
from .shares import OrganisationTable
from .waiting import WaitTracker


class PoolAdmission:
    """Control admission to one pool at this entry.

    :param capacity: the pool's capacity in this data centre.
    :param queue_length: maximum number of waiting requests.
    """

    def __init__(self, capacity: PoolCapacity, queue_length: int) -> None:
        self._queue_length = queue_length
        self._permits = PermitLimits(capacity)
        self._table = OrganisationTable(capacity.entries)
        self._selector = RequestSelector(self._table)
        self._wait_tracker = WaitTracker()
        self._virtual_time = 0.0
        self._in_flight = 0
        self._waiting = 0
        self._urgent_backlog_seconds = 0.0

    @property
    def permits(self) -> PermitLimits:
        """Return the permit limits of the pool."""
        return self._permits

    @property
    def in_flight(self) -> int:
        """Return the number of requests in flight."""
        return self._in_flight

    @property
    def slots_to_reclaim(self) -> int:
        """Return the number of job slots that would soon clear the urgent backlog.

        Reclaiming a slot for each waiting request would stop far more jobs than short
        requests can make use of.
        """
        return math.ceil(self._urgent_backlog_seconds / URGENT_DRAIN_SECONDS)

    def stats(self) -> AdmissionStats:
        """Return the current statistics."""
        in_flight = {queue.name: queue.in_flight for queue in self._table.queues()}
        limit = self._permits.limit.limit
        return AdmissionStats(limit, self._in_flight, self._waiting, in_flight)

    def expected_rate(self, ticket: Ticket) -> float:
        """Return the requests per second that a ticket's organisation can expect."""
        queue = self._table.find(ticket.organisation)
        permits = self._permits.total
        share = 1.0 if queue is None else self._table.backlog_share(queue, permits)
        return max(1.0, share) / max(ticket.estimate.recent, 1e-3)

    def resize(self, capacity: PoolCapacity, now: float) -> list[Ticket]:
        """Apply a change of workers, entries or parameters and admit what now fits."""
        if capacity == self._permits.capacity:
            return []
        self._permits.resize(capacity)
        self._table.set_entries(capacity.entries)
        self._selector.unblock_all()
        return self._admit_waiting(now)

    def submit(self, ticket: Ticket, now: float) -> list[Ticket]:
        """Admit a request, queue it, or refuse it before any work is done."""
        cause = self._immediate_refusal_cause(ticket, now)
        if cause is not None:
            return [_refuse(ticket, cause)]
        queue = self._table.get_or_create(ticket, self._virtual_time)
        evicted = self._evict_for(queue)
        if self._waiting >= self._queue_length or self._table.is_queue_full(queue):
            at_quota = self._table.is_at_quota(queue)
            cause = RefusalCause.QUOTA if at_quota else RefusalCause.QUEUE_FULL
            return [*evicted, _refuse(ticket, cause)]
        self._selector.unblock(queue)
        self._enqueue(queue, ticket)
        decided = [*evicted, *self._admit_waiting(now)]
        if ticket.state is not TicketState.WAITING:
            return decided
        if self._would_miss_deadline(queue, ticket, now):
            self._drop(queue, ticket, RefusalCause.WOULD_MISS_DEADLINE)
            return [*decided, ticket]
        self._wait_tracker.add(ticket)
        return decided

    def release(
        self, ticket: Ticket, latency: float, succeeded: bool, now: float
    ) -> list[Ticket]:
        """Release a permit and admit the next requests."""
        if ticket.state is not TicketState.ADMITTED:
            return []
        ticket.state = TicketState.ENDED
        saturated = self._waiting > 0 or self._in_flight >= self._permits.general
        queue = self._table[ticket.organisation]
        self._in_flight -= 1
        queue.in_flight -= 1
        queue.urgent_in_flight -= ticket.urgency is Urgency.URGENT
        queue.finish_tag += (
            max(0.0, now - ticket.started) - ticket.cost
        ) / queue.weight
        estimate = ticket.estimate
        estimate.in_flight -= 1
        ratio = estimate.record(latency) if succeeded else estimate.ratio(latency)
        self._permits.limit.record(ratio, saturated, now)
        self._table.record_release(queue, max(0.0, now - ticket.started))
        self._table.update_weights(queue)
        self._selector.unblock(queue)
        return self._admit_waiting(now)

    def cancel(self, ticket: Ticket, now: float) -> list[Ticket]:
        """Remove a waiting request whose caller gave up."""
        if ticket.state is not TicketState.WAITING:
            return []
        queue = self._table[ticket.organisation]
        self._drop(queue, ticket, RefusalCause.DEADLINE)
        return self._admit_waiting(now)

    def record_busy(self, now: float) -> None:
        """Record that a worker refused an attempt as busy."""
        self._permits.limit.record_busy(now)

    def sweep(self, now: float) -> list[Ticket]:
        """Refuse waiting requests past their deadline and update protected permits."""
        self._table.sample(self._permits.total, now)
        self._selector.unblock_all()
        decided = []
        for ticket in self._wait_tracker.expired(now):
            queue = self._table[ticket.organisation]
            self._drop(queue, ticket, RefusalCause.DEADLINE)
            decided.append(ticket)
        return decided + self._admit_waiting(now) + self._start_overdue_urgent(now)

    def prune(self) -> None:
        """Remove organisations that are idle and have no outstanding virtual time."""
        self._table.prune(self._virtual_time)

    def _immediate_refusal_cause(
        self, ticket: Ticket, now: float
    ) -> RefusalCause | None:
        if now >= ticket.deadline:
            return RefusalCause.DEADLINE
        if not self._permits.capacity.slots:
            return RefusalCause.NO_WORKER
        return None

    def _evict_for(self, queue: OrganisationQueue) -> list[Ticket]:
        # A flood from one organisation can fill the shared queue. Refusing the new
        # request would punish a small organisation for it, so the newest request of the
        # longest queue is evicted instead.
        if self._waiting < self._queue_length:
            return []
        longest = max(self._table.queues(), key=lambda other: other.total_waiting)
        newest = longest.newest()
        if newest is None or longest.total_waiting <= queue.total_waiting + 1:
            return []
        self._drop(longest, newest, RefusalCause.QUEUE_FULL)
        return [newest]

    def _would_miss_deadline(
        self, queue: OrganisationQueue, ticket: Ticket, now: float
    ) -> bool:
        if not queue.in_flight and queue.total_waiting == 1:
            return False
        # Urgent requests can use job slots as soon as these are reclaimed. If they were
        # refused by the permits free now, no slots would be requested for them.
        urgent = ticket.urgency is Urgency.URGENT
        permits = self._permits.with_job_slots if urgent else self._permits.total
        share = self._table.backlog_share(queue, permits)
        wait = queue.cost_ahead(ticket.urgency) / max(1e-6, share)
        return wait > MAXIMUM_WAIT_SHARE * (ticket.deadline - now)

    def _start_overdue_urgent(self, now: float) -> list[Ticket]:
        # A throttled job frees its slot without a record, and no record arrives while
        # the log is unavailable. The only way to find such a slot is to send a request;
        # the worker refuses if it is busy.
        permits = self._permits.total
        if (
            not self._permits.capacity.job_slots
            or self._in_flight >= permits + URGENT_OVERCOMMIT
        ):
            return []
        ticket = self._selector.next_urgent(permits, permits)
        if ticket is None or now - ticket.arrived < URGENT_OVERDUE_SECONDS:
            return []
        queue = self._table[ticket.organisation]
        self._start(queue, ticket, now)
        self._selector.enqueue(queue)
        return [ticket]

    def _enqueue(self, queue: OrganisationQueue, ticket: Ticket) -> None:
        ticket.is_long = ticket.urgency is Urgency.LONG
        ticket.cost = ticket.estimate.recent
        if not queue.total_waiting:
            queue.start_tag = max(
                self._virtual_time - self._idle_credit(queue), queue.finish_tag
            )
        queue.push(ticket)
        self._count_waiting(ticket, 1)
        self._table.update_weights(queue)
        self._selector.enqueue(queue)

    def _idle_credit(self, queue: OrganisationQueue) -> float:
        # Requests come in bursts, so an organisation within its share still queues at
        # times. Without credit, its queue would drain no faster than that of a flooding
        # organisation; with credit for an entire pause, a flood from a new organisation
        # would go before all others.
        due = min(queue.demand, self._table.fair_share(queue, self._permits.total))
        return IDLE_CREDIT_SECONDS * due / queue.weight

    def _drop(
        self, queue: OrganisationQueue, ticket: Ticket, cause: RefusalCause
    ) -> None:
        queue.remove(ticket)
        self._count_waiting(ticket, -1)
        _refuse(ticket, cause)
        self._table.update_weights(queue)

    def _admit_waiting(self, now: float) -> list[Ticket]:
        decided: list[Ticket] = []
        for aged in self._wait_tracker.aged(now):
            self._promote(aged)
        while (ticket := self._next()) is not None:
            queue = self._table[ticket.organisation]
            if self._is_too_late(ticket, now):
                self._drop(queue, ticket, RefusalCause.DEADLINE)
            else:
                self._start(queue, ticket, now)
            self._selector.enqueue(queue)
            decided.append(ticket)
        return decided

    def _next(self) -> Ticket | None:
        if not self._waiting:
            return None
        permits = self._permits
        free = permits.general - self._in_flight
        if free > 0:
            return self._selector.next_general(free, permits.total)
        free = permits.total - self._in_flight
        if free <= 0:
            return None
        urgent = self._selector.next_urgent(permits.total, free)
        if urgent is not None or self._in_flight >= permits.below_share:
            return urgent
        return self._selector.next_below_share(permits.total)

    def _start(self, queue: OrganisationQueue, ticket: Ticket, now: float) -> None:
        queue.remove(ticket)
        self._count_waiting(ticket, -1)
        ticket.state = TicketState.ADMITTED
        ticket.started = now
        ticket.estimate.in_flight += 1
        queue.in_flight += 1
        queue.urgent_in_flight += ticket.urgency is Urgency.URGENT
        self._in_flight += 1
        self._virtual_time = max(self._virtual_time, queue.start_tag)
        queue.finish_tag = (
            max(queue.finish_tag, queue.start_tag) + ticket.cost / queue.weight
        )
        queue.start_tag = queue.finish_tag
        self._table.update_weights(queue)

    def _is_too_late(self, ticket: Ticket, now: float) -> bool:
        # A request that can't finish in time takes a slot from one that still can;
        # under lasting overload all responses would then be late and goodput would drop
        # to zero. If none of the service's requests is in flight, one is admitted
        # regardless, or a wrong estimate would never be corrected.
        if now >= ticket.deadline:
            return True
        if not ticket.estimate.in_flight:
            return False
        return ticket.deadline - now < MINIMUM_SERVICE_SHARE * ticket.estimate.recent

    def _promote(self, ticket: Ticket) -> None:
        queue = self._table[ticket.organisation]
        queue.remove(ticket)
        queue.queues[Urgency.LONG].remove(ticket)
        ticket.urgency = Urgency.NORMAL
        queue.push(ticket)
        self._selector.enqueue(queue)

    def _count_waiting(self, ticket: Ticket, change: int) -> None:
        self._waiting += change
        if ticket.urgency is Urgency.URGENT:
            seconds = self._urgent_backlog_seconds + change * ticket.cost
            self._urgent_backlog_seconds = max(0.0, seconds) if self._waiting else 0.0


def _refuse(ticket: Ticket, cause: RefusalCause) -> Ticket:
    ticket.state = TicketState.REFUSED
    ticket.cause = cause
    return ticket
