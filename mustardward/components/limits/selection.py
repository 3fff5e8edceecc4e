"""Select the next request to admit."""

from __future__ import annotations

from collections.abc import Callable

from ...state.models.templates import Urgency
from .const import SELECTION_SCAN
from .fairness import OrganisationQueue, VirtualTimeQueue
from .models import Ticket
from .shares import OrganisationTable

_Head = Callable[[OrganisationQueue], Ticket | None]
_Eligible = Callable[[OrganisationQueue, Ticket], bool]


class RequestSelector:
    """Select among the organisations with waiting requests.

    General permits go to the organisation with the lowest virtual time, its urgent
    requests first; long requests get one only if nothing else waits. Reserved permits
    go to urgent requests, and half of them also to organisations far below their fair
    share.
    """

    def __init__(self, table: OrganisationTable) -> None:
        self._table = table
        self._foreground = VirtualTimeQueue()
        self._urgent = VirtualTimeQueue()
        self._long = VirtualTimeQueue()
        self._blocked: dict[str, OrganisationQueue] = {}

    def enqueue(self, queue: OrganisationQueue) -> None:
        """Make an organisation selectable for the requests that it has waiting."""
        if queue.name in self._blocked:
            return
        if queue.waiting[Urgency.URGENT]:
            self._urgent.push(queue)
        if queue.waiting[Urgency.URGENT] or queue.waiting[Urgency.NORMAL]:
            self._foreground.push(queue)
        if queue.waiting[Urgency.LONG]:
            self._long.push(queue)

    def unblock(self, queue: OrganisationQueue) -> None:
        """Make an organisation selectable again after it was blocked at its quota."""
        if self._blocked.pop(queue.name, None) is not None:
            self.enqueue(queue)

    def unblock_all(self) -> None:
        """Make all organisations blocked at their quota selectable again."""
        for queue in list(self._blocked.values()):
            self.unblock(queue)

    def next_general(self, free: int, permits: int) -> Ticket | None:
        """Return the request for one of ``free`` general permits."""

        def leaves_protected(queue: OrganisationQueue, head: Ticket) -> bool:
            return self._table.leaves_protected(queue, head, free, permits)

        ticket = self._select(self._foreground, _foreground_head, leaves_protected)
        return ticket or self._select(self._long, _long_head, leaves_protected)

    def next_urgent(self, permits: int, free: int) -> Ticket | None:
        """Return the urgent request for one of ``free`` reserved permits."""

        def may_use_reserve(queue: OrganisationQueue, head: Ticket) -> bool:
            share = self._table.fair_share(queue, permits)
            if queue.urgent_in_flight >= max(1.0, share):
                return False
            return self._table.leaves_protected(queue, head, free, permits)

        return self._select(self._urgent, _urgent_head, may_use_reserve)

    def next_below_share(self, permits: int) -> Ticket | None:
        """Return the request of an organisation below its share to admit."""

        def is_below_share(queue: OrganisationQueue, head: Ticket) -> bool:
            return not head.is_long and self._table.is_below_share(queue, permits)

        return self._select(self._foreground, _foreground_head, is_below_share)

    def _select(
        self, order: VirtualTimeQueue, head: _Head, eligible: _Eligible
    ) -> Ticket | None:
        examined: list[OrganisationQueue] = []
        found: Ticket | None = None
        while len(examined) < SELECTION_SCAN and (queue := order.pop()) is not None:
            ticket = head(queue)
            if ticket is None:
                continue
            if self._table.is_at_quota(queue):
                self._blocked[queue.name] = queue
                continue
            examined.append(queue)
            if eligible(queue, ticket):
                found = ticket
                break
        for queue in examined:
            order.push(queue)
        return found


def _urgent_head(queue: OrganisationQueue) -> Ticket | None:
    return queue.head(Urgency.URGENT)


def _long_head(queue: OrganisationQueue) -> Ticket | None:
    return queue.head(Urgency.LONG)


def _foreground_head(queue: OrganisationQueue) -> Ticket | None:
    return queue.head(Urgency.URGENT) or queue.head(Urgency.NORMAL)
