"""Watch waiting requests for their deadlines and for the aging of long work; pure."""

from __future__ import annotations

import heapq
from collections import deque

from .const import LONG_AGING_SECONDS
from .models import Ticket, TicketState


class WaitingWatch:
    """Hold waiting requests by deadline, and long ones by arrival as well."""

    def __init__(self) -> None:
        self._deadlines: list[tuple[float, int, Ticket]] = []
        self._long: deque[Ticket] = deque()
        self._count = 0

    def add(self, ticket: Ticket) -> None:
        """Watch one more request."""
        self._count += 1
        heapq.heappush(self._deadlines, (ticket.deadline, self._count, ticket))
        if ticket.is_long:
            self._long.append(ticket)

    def overdue(self, now: float) -> list[Ticket]:
        """Return, once, the waiting requests whose deadline has passed."""
        found = []
        while self._deadlines and self._deadlines[0][0] <= now:
            _, _, ticket = heapq.heappop(self._deadlines)
            if ticket.state is TicketState.WAITING:
                found.append(ticket)
        return found

    def aged(self, now: float) -> list[Ticket]:
        """Return, once, the long work that waited long enough to go with the rest."""
        found = []
        while self._long:
            ticket = self._long[0]
            if ticket.state is TicketState.WAITING:
                if now - ticket.arrived < LONG_AGING_SECONDS:
                    break
                found.append(ticket)
            self._long.popleft()
        return found
