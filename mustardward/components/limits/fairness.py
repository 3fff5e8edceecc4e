"""Share permits between organisations by weight with start-time fair queueing.

Each organisation has a virtual time that advances by the expected seconds of each
request it starts, divided by its weight. The organisation with the lowest virtual time
goes next, so its share does not depend on how much another organisation sends.
"""

from __future__ import annotations

import heapq
from collections import deque
from dataclasses import dataclass, field

from ...state.models.templates import Quota, Urgency
from .models import Ticket, TicketState

URGENCY_ORDER = (Urgency.URGENT, Urgency.NORMAL, Urgency.LONG)


@dataclass(slots=True, eq=False)
class OrganisationQueue:
    """Hold the waiting requests of one organisation and its requests in flight.

    ``start_tag`` and ``finish_tag`` are its virtual times. ``demand`` is the smoothed
    number of permits that it needs at once, ``hold_seconds`` the smoothed time that it
    holds one, ``protected`` the number of permits kept free for it, and
    ``unused_protected`` those of them that are not in use.
    """

    name: str
    quota: Quota
    queues: dict[Urgency, deque[Ticket]] = field(
        default_factory=lambda: {urgency: deque() for urgency in URGENCY_ORDER}
    )
    waiting: dict[Urgency, int] = field(
        default_factory=lambda: dict.fromkeys(URGENCY_ORDER, 0)
    )
    waiting_cost: dict[Urgency, float] = field(
        default_factory=lambda: dict.fromkeys(URGENCY_ORDER, 0.0)
    )
    in_flight: int = 0
    urgent_in_flight: int = 0
    start_tag: float = 0.0
    finish_tag: float = 0.0
    active_weight: float = 0.0
    backlog_weight: float = 0.0
    demand: float = 0.0
    hold_seconds: float = 0.0
    protected: int = 0
    unused_protected: int = 0

    @property
    def weight(self) -> float:
        """Return the weight of its share."""
        return max(self.quota.weight, 1e-3)

    @property
    def total_waiting(self) -> int:
        """Return the number of waiting requests of all urgencies."""
        return sum(self.waiting.values())

    @property
    def is_idle(self) -> bool:
        """Return whether no request waits or is in flight."""
        return not self.in_flight and not self.total_waiting

    def push(self, ticket: Ticket) -> None:
        """Append a request to the queue of its urgency."""
        self.queues[ticket.urgency].append(ticket)
        self.waiting[ticket.urgency] += 1
        self.waiting_cost[ticket.urgency] += ticket.cost

    def remove(self, ticket: Ticket) -> None:
        """Stop counting a request as waiting; its queue entry is discarded later."""
        self.waiting[ticket.urgency] -= 1
        self.waiting_cost[ticket.urgency] -= ticket.cost

    def head(self, urgency: Urgency) -> Ticket | None:
        """Return the first waiting request of an urgency."""
        queue = self.queues[urgency]
        while queue and queue[0].state is not TicketState.WAITING:
            queue.popleft()
        return queue[0] if queue else None

    def newest(self) -> Ticket | None:
        """Return the newest waiting request of the lowest urgency present."""
        for urgency in reversed(URGENCY_ORDER):
            queue = self.queues[urgency]
            while queue and queue[-1].state is not TicketState.WAITING:
                queue.pop()
            if queue:
                return queue[-1]
        return None

    def cost_ahead(self, urgency: Urgency) -> float:
        """Return the cost of all waiting requests of this and higher urgencies."""
        total = 0.0
        for other in URGENCY_ORDER:
            total += self.waiting_cost[other]
            if other is urgency:
                break
        return max(0.0, total)


class VirtualTimeQueue:
    """Order organisations with waiting requests by virtual time, each at most once."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, OrganisationQueue]] = []
        self._members: set[OrganisationQueue] = set()
        self._count = 0

    def push(self, queue: OrganisationQueue) -> None:
        """Add an organisation at its current virtual time."""
        if queue in self._members:
            return
        self._members.add(queue)
        self._push(queue)

    def pop(self) -> OrganisationQueue | None:
        """Remove and return the organisation with the lowest virtual time."""
        while self._heap:
            start_tag, _, queue = heapq.heappop(self._heap)
            if start_tag < queue.start_tag:
                self._push(queue)
                continue
            self._members.discard(queue)
            return queue
        return None

    def _push(self, queue: OrganisationQueue) -> None:
        self._count += 1
        heapq.heappush(self._heap, (queue.start_tag, self._count, queue))
