"""Track the deadlines and the aging of waiting requests."""

from __future__ import annotations

import heapq
from collections import deque

from .const import LONG_AGING_SECONDS
from .models import Ticket, TicketState


class WaitTracker:
    """Track waiting requests by deadline, and long ones also by arrival."""

    def __init__(self) -> None:
        self._deadlines: list[tuple[float, int, Ticket]] = []
        self._long: deque[Ticket] = deque()
        self._count = 0

    def add(self, ticket: Ticket) -> None:
        """Add a waiting request."""
        self._count += 1
        heapq.heappush(self._deadlines, (ticket.deadline, self._count, ticket))
        if ticket.is_long:
            self._long.append(ticket)

    def expired(self, now: float) -> list[Ticket]:
        """Remove and return the waiting requests whose deadline has passed."""
        tickets = []
        while self._deadlines and self._deadlines[0][0] <= now:
            _, _, ticket = heapq.heappop(self._deadlines)
            if ticket.state is TicketState.WAITING:
                tickets.append(ticket)
        return tickets

    def aged(self, now: float) -> list[Ticket]:
        """Remove and return the long requests that are due for promotion."""
        tickets = []
        while self._long:
            ticket = self._long[0]
            if ticket.state is TicketState.WAITING:
                if now - ticket.arrived < LONG_AGING_SECONDS:
                    break
                tickets.append(ticket)
            self._long.popleft()
        return tickets
