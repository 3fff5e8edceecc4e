"""Admit, queue and refuse the requests of one pool; pure.

Each method takes an event with its time and returns the waiting tickets that it
decided; a ticket's ``state`` says how.
"""

from __future__ import annotations

import math

from ...state.models.templates import Urgency
from .const import (
    CREDIT_SECONDS,
    SERVICE_SHARE,
    URGENT_DRAIN_SECONDS,
    URGENT_OVERDUE_SECONDS,
    URGENT_TRIALS,
    WAIT_SHARE,
)
from .fairness import OrganisationQueue
from .models import AdmissionStats, PoolCapacity, RefusalCause, Ticket, TicketState
from .places import Places
from .selection import Selection
from .shares import OrganisationTable
from .waiting import WaitingWatch


class PoolAdmission:
    """Hold one pool's places as this entry may use them.

    :param capacity: the pool's capacity in this data centre.
    :param queue_length: most requests that wait at once.
    """

    def __init__(self, capacity: PoolCapacity, queue_length: int) -> None:
        self._queue_length = queue_length
        self._places = Places(capacity)
        self._table = OrganisationTable(capacity.entries)
        self._selection = Selection(self._table)
        self._watch = WaitingWatch()
        self._virtual_time = 0.0
        self._in_flight = 0
        self._waiting = 0
        self._urgent_seconds = 0.0

    @property
    def places(self) -> Places:
        """Return the places of the pool."""
        return self._places

    @property
    def in_flight(self) -> int:
        """Return the requests in flight."""
        return self._in_flight

    @property
    def slots_to_reclaim(self) -> int:
        """Return the slots that would end the wait of urgent requests soon.

        Asking for one slot for each would stop far more long work than short requests
        can use.
        """
        return math.ceil(self._urgent_seconds / URGENT_DRAIN_SECONDS)

    def figures(self) -> AdmissionStats:
        """Return what reports show."""
        held = {queue.name: queue.in_flight for queue in self._table.queues()}
        limit = self._places.limit.limit
        return AdmissionStats(limit, self._in_flight, self._waiting, held)

    def expected_rate(self, ticket: Ticket) -> float:
        """Return the requests a second that its organisation may count on."""
        queue = self._table.find(ticket.organisation)
        places = self._places.total
        share = 1.0 if queue is None else self._table.backlog_share(queue, places)
        return max(1.0, share) / max(ticket.estimate.recent, 1e-3)

    def resize(self, capacity: PoolCapacity, now: float) -> list[Ticket]:
        """Follow a change of workers, entries or parameters, losing nothing."""
        if capacity == self._places.capacity:
            return []
        self._places.resize(capacity)
        self._table.set_entries(capacity.entries)
        self._selection.unpark_all()
        return self._pump(now)

    def submit(self, ticket: Ticket, now: float) -> list[Ticket]:
        """Admit a request, let it wait, or refuse it before any work is done."""
        cause = self._border_cause(ticket, now)
        if cause is not None:
            return [_refuse(ticket, cause)]
        queue = self._table.open(ticket, self._virtual_time)
        evicted = self._make_room(queue)
        if self._waiting >= self._queue_length or self._table.is_queue_full(queue):
            at_quota = self._table.is_at_quota(queue)
            cause = RefusalCause.QUOTA if at_quota else RefusalCause.QUEUE_FULL
            return [*evicted, _refuse(ticket, cause)]
        self._selection.unpark(queue)
        self._enqueue(queue, ticket)
        decided = [*evicted, *self._pump(now)]
        if ticket.state is not TicketState.WAITING:
            return decided
        if self._would_miss(queue, ticket, now):
            self._drop(queue, ticket, RefusalCause.WOULD_MISS_DEADLINE)
            return [*decided, ticket]
        self._watch.add(ticket)
        return decided

    def release(
        self, ticket: Ticket, latency: float, succeeded: bool, now: float
    ) -> list[Ticket]:
        """Give a place back and admit who is next."""
        if ticket.state is not TicketState.ADMITTED:
            return []
        ticket.state = TicketState.ENDED
        saturated = self._waiting > 0 or self._in_flight >= self._places.open
        queue = self._table[ticket.organisation]
        self._in_flight -= 1
        queue.in_flight -= 1
        queue.urgent_in_flight -= ticket.urgency is Urgency.URGENT
        queue.finish += (max(0.0, now - ticket.started) - ticket.cost) / queue.weight
        estimate = ticket.estimate
        estimate.in_flight -= 1
        ratio = estimate.add(latency) if succeeded else estimate.ratio(latency)
        self._places.limit.add(ratio, saturated, now)
        self._table.record_release(queue, max(0.0, now - ticket.started))
        self._table.weigh(queue)
        self._selection.unpark(queue)
        return self._pump(now)

    def withdraw(self, ticket: Ticket, now: float) -> list[Ticket]:
        """Forget a waiting request whose caller gave up."""
        if ticket.state is not TicketState.WAITING:
            return []
        queue = self._table[ticket.organisation]
        self._drop(queue, ticket, RefusalCause.DEADLINE)
        return self._pump(now)

    def record_busy(self, now: float) -> None:
        """Take into account that a worker had no slot for us."""
        self._places.limit.record_busy(now)

    def sweep(self, now: float) -> list[Ticket]:
        """Refuse what waited past its deadline, and renew what is protected."""
        self._table.sample(self._places.total, now)
        self._selection.unpark_all()
        decided = []
        for ticket in self._watch.overdue(now):
            queue = self._table[ticket.organisation]
            self._drop(queue, ticket, RefusalCause.DEADLINE)
            decided.append(ticket)
        return decided + self._pump(now) + self._start_overdue(now)

    def prune(self) -> None:
        """Forget organisations that are idle and owe nothing."""
        self._table.prune(self._virtual_time)

    def _border_cause(self, ticket: Ticket, now: float) -> RefusalCause | None:
        if now >= ticket.deadline:
            return RefusalCause.DEADLINE
        if not self._places.capacity.slots:
            return RefusalCause.NO_WORKER
        return None

    def _make_room(self, queue: OrganisationQueue) -> list[Ticket]:
        # One organisation's flood fills the common queue. If the newcomer were
        # refused, a small organisation would see errors that it did nothing for; so
        # the longest queue gives up its newest request instead.
        if self._waiting < self._queue_length:
            return []
        longest = max(self._table.queues(), key=lambda other: other.total_waiting)
        newest = longest.newest()
        if newest is None or longest.total_waiting <= queue.total_waiting + 1:
            return []
        self._drop(longest, newest, RefusalCause.QUEUE_FULL)
        return [newest]

    def _would_miss(self, queue: OrganisationQueue, ticket: Ticket, now: float) -> bool:
        if not queue.in_flight and queue.total_waiting == 1:
            return False
        # Urgent work has long work's slots as soon as they are given back; refused for
        # what is free at this moment, nobody would ask for them.
        urgent = ticket.urgency is Urgency.URGENT
        places = self._places.soon if urgent else self._places.total
        share = self._table.backlog_share(queue, places)
        wait = queue.cost_ahead(ticket.urgency) / max(1e-6, share)
        return wait > WAIT_SHARE * (ticket.deadline - now)

    def _start_overdue(self, now: float) -> list[Ticket]:
        # Long work that was throttled freed a slot, and no record says so; nor does one
        # while the log is out. Only trying shows it: the worker says if it is busy.
        places = self._places.total
        if not self._places.capacity.lent or self._in_flight >= places + URGENT_TRIALS:
            return []
        ticket = self._selection.next_urgent(places, places)
        if ticket is None or now - ticket.arrived < URGENT_OVERDUE_SECONDS:
            return []
        queue = self._table[ticket.organisation]
        self._start(queue, ticket, now)
        self._selection.file(queue)
        return [ticket]

    def _enqueue(self, queue: OrganisationQueue, ticket: Ticket) -> None:
        ticket.is_long = ticket.urgency is Urgency.LONG
        ticket.cost = ticket.estimate.recent
        if not queue.total_waiting:
            queue.tag = max(self._virtual_time - self._credit(queue), queue.finish)
        queue.push(ticket)
        self._count_waiting(ticket, 1)
        self._table.weigh(queue)
        self._selection.file(queue)

    def _credit(self, queue: OrganisationQueue) -> float:
        # Requests come in bursts, so one within its share still queues now and then.
        # Without credit its queue would shrink at the pace of a flood's; with credit
        # for all of a pause, a newcomer's flood would go before everybody.
        due = min(queue.demand, self._table.fair_share(queue, self._places.total))
        return CREDIT_SECONDS * due / queue.weight

    def _drop(
        self, queue: OrganisationQueue, ticket: Ticket, cause: RefusalCause
    ) -> None:
        queue.forget(ticket)
        self._count_waiting(ticket, -1)
        _refuse(ticket, cause)
        self._table.weigh(queue)

    def _pump(self, now: float) -> list[Ticket]:
        decided: list[Ticket] = []
        for aged in self._watch.aged(now):
            self._promote(aged)
        while (ticket := self._next()) is not None:
            queue = self._table[ticket.organisation]
            if self._is_too_late(ticket, now):
                self._drop(queue, ticket, RefusalCause.DEADLINE)
            else:
                self._start(queue, ticket, now)
            self._selection.file(queue)
            decided.append(ticket)
        return decided

    def _next(self) -> Ticket | None:
        if not self._waiting:
            return None
        places = self._places
        free = places.open - self._in_flight
        if free > 0:
            return self._selection.next_open(free, places.total)
        free = places.total - self._in_flight
        if free <= 0:
            return None
        urgent = self._selection.next_urgent(places.total, free)
        if urgent is not None or self._in_flight >= places.light:
            return urgent
        return self._selection.next_light(places.total)

    def _start(self, queue: OrganisationQueue, ticket: Ticket, now: float) -> None:
        queue.forget(ticket)
        self._count_waiting(ticket, -1)
        ticket.state = TicketState.ADMITTED
        ticket.started = now
        ticket.estimate.in_flight += 1
        queue.in_flight += 1
        queue.urgent_in_flight += ticket.urgency is Urgency.URGENT
        self._in_flight += 1
        self._virtual_time = max(self._virtual_time, queue.tag)
        queue.finish = max(queue.finish, queue.tag) + ticket.cost / queue.weight
        queue.tag = queue.finish
        self._table.weigh(queue)

    def _is_too_late(self, ticket: Ticket, now: float) -> bool:
        # Work that can't end in time takes a slot from work that still can; under a
        # lasting overload all answers then come late and goodput falls to nothing.
        # The first of a service always goes, or a wrong estimate would hold for ever.
        if now >= ticket.deadline:
            return True
        if not ticket.estimate.in_flight:
            return False
        return ticket.deadline - now < SERVICE_SHARE * ticket.estimate.recent

    def _promote(self, ticket: Ticket) -> None:
        queue = self._table[ticket.organisation]
        queue.forget(ticket)
        queue.queues[Urgency.LONG].remove(ticket)
        ticket.urgency = Urgency.NORMAL
        queue.push(ticket)
        self._selection.file(queue)

    def _count_waiting(self, ticket: Ticket, change: int) -> None:
        self._waiting += change
        if ticket.urgency is Urgency.URGENT:
            seconds = self._urgent_seconds + change * ticket.cost
            self._urgent_seconds = max(0.0, seconds) if self._waiting else 0.0


def _refuse(ticket: Ticket, cause: RefusalCause) -> Ticket:
    ticket.state = TicketState.REFUSED
    ticket.cause = cause
    return ticket
