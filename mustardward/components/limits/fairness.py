"""Share places between organisations by weight: start-time fair queueing; pure.

Each organisation has a virtual time that runs on by the expected seconds of each
request it starts, divided by its weight. The one furthest behind goes next, so what
an organisation gets does not depend on how much another one sends.
"""

from __future__ import annotations

import heapq
from collections import deque
from dataclasses import dataclass, field

from ...state.models.templates import Quota, Urgency
from .models import Ticket, TicketState

CLASSES = (Urgency.URGENT, Urgency.NORMAL, Urgency.LONG)


@dataclass(slots=True, eq=False)
class OrganisationQueue:
    """Hold one organisation's waiting requests and what it has in flight.

    ``demand`` is the number of places it lately wanted at once, ``protected`` those
    kept for it, and ``unused`` those of them that are idle.
    """

    name: str
    quota: Quota
    queues: dict[Urgency, deque[Ticket]] = field(
        default_factory=lambda: {urgency: deque() for urgency in CLASSES}
    )
    waiting: dict[Urgency, int] = field(
        default_factory=lambda: dict.fromkeys(CLASSES, 0)
    )
    waiting_cost: dict[Urgency, float] = field(
        default_factory=lambda: dict.fromkeys(CLASSES, 0.0)
    )
    in_flight: int = 0
    urgent_in_flight: int = 0
    tag: float = 0.0
    finish: float = 0.0
    active_weight: float = 0.0
    backlog_weight: float = 0.0
    demand: float = 0.0
    latency: float = 0.0
    protected: int = 0
    unused: int = 0

    @property
    def weight(self) -> float:
        """Return the weight of its share."""
        return max(self.quota.weight, 1e-3)

    @property
    def total_waiting(self) -> int:
        """Return the number of waiting requests."""
        return sum(self.waiting.values())

    @property
    def is_idle(self) -> bool:
        """Tell whether nothing waits or is in flight."""
        return not self.in_flight and not self.total_waiting

    def push(self, ticket: Ticket) -> None:
        """Put a request at the end of its class."""
        self.queues[ticket.urgency].append(ticket)
        self.waiting[ticket.urgency] += 1
        self.waiting_cost[ticket.urgency] += ticket.cost

    def forget(self, ticket: Ticket) -> None:
        """Count a request as no longer waiting; its place is skipped later."""
        self.waiting[ticket.urgency] -= 1
        self.waiting_cost[ticket.urgency] -= ticket.cost

    def head(self, urgency: Urgency) -> Ticket | None:
        """Return the first waiting request of a class."""
        queue = self.queues[urgency]
        while queue and queue[0].state is not TicketState.WAITING:
            queue.popleft()
        return queue[0] if queue else None

    def newest(self) -> Ticket | None:
        """Return the newest waiting request of the least urgent class."""
        for urgency in reversed(CLASSES):
            queue = self.queues[urgency]
            while queue and queue[-1].state is not TicketState.WAITING:
                queue.pop()
            if queue:
                return queue[-1]
        return None

    def cost_ahead(self, urgency: Urgency) -> float:
        """Return the expected seconds of what goes before a class's newest."""
        total = 0.0
        for other in CLASSES:
            total += self.waiting_cost[other]
            if other is urgency:
                break
        return max(0.0, total)


class FairOrder:
    """Order waiting organisations by their virtual times, each at most once."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, OrganisationQueue]] = []
        self._filed: set[OrganisationQueue] = set()
        self._count = 0

    def push(self, queue: OrganisationQueue) -> None:
        """File an organisation under its present virtual time."""
        if queue in self._filed:
            return
        self._filed.add(queue)
        self._push(queue)

    def pop(self) -> OrganisationQueue | None:
        """Return the organisation furthest behind, or nothing."""
        while self._heap:
            tag, _, queue = heapq.heappop(self._heap)
            if tag < queue.tag:
                self._push(queue)
                continue
            self._filed.discard(queue)
            return queue
        return None

    def _push(self, queue: OrganisationQueue) -> None:
        self._count += 1
        heapq.heappush(self._heap, (queue.tag, self._count, queue))
