"""Select whose request goes next; pure."""

from __future__ import annotations

from collections.abc import Callable

from ...state.models.templates import Urgency
from .const import RESERVE_SCAN
from .fairness import FairOrder, OrganisationQueue
from .models import Ticket
from .shares import OrganisationTable

_Head = Callable[[OrganisationQueue], Ticket | None]
_Eligible = Callable[[OrganisationQueue, Ticket], bool]


class Selection:
    """Order waiting organisations and select among them.

    Open places go to the organisation furthest behind, its urgent requests first, and
    to long work only if nothing else waits. Places of the reserve go to urgent
    requests, and half of them to organisations far below their share.
    """

    def __init__(self, table: OrganisationTable) -> None:
        self._table = table
        self._prompt = FairOrder()
        self._urgent = FairOrder()
        self._long = FairOrder()
        self._parked: dict[str, OrganisationQueue] = {}

    def file(self, queue: OrganisationQueue) -> None:
        """Let an organisation take part with what it has waiting."""
        if queue.name in self._parked:
            return
        if queue.waiting[Urgency.URGENT]:
            self._urgent.push(queue)
        if queue.waiting[Urgency.URGENT] or queue.waiting[Urgency.NORMAL]:
            self._prompt.push(queue)
        if queue.waiting[Urgency.LONG]:
            self._long.push(queue)

    def unpark(self, queue: OrganisationQueue) -> None:
        """Let an organisation take part again after its quota had stopped it."""
        if self._parked.pop(queue.name, None) is not None:
            self.file(queue)

    def unpark_all(self) -> None:
        """Let all organisations take part again."""
        for queue in list(self._parked.values()):
            self.unpark(queue)

    def next_open(self, free: int, places: int) -> Ticket | None:
        """Return the request for one of ``free`` places that anyone may use."""

        def leaves_protected(queue: OrganisationQueue, head: Ticket) -> bool:
            return self._table.leaves_protected(queue, head, free, places)

        ticket = self._take(self._prompt, _prompt_head, leaves_protected)
        return ticket or self._take(self._long, _long_head, leaves_protected)

    def next_urgent(self, places: int, free: int) -> Ticket | None:
        """Return the urgent request for one of ``free`` places of the reserve."""

        def may_be_urgent(queue: OrganisationQueue, head: Ticket) -> bool:
            share = self._table.fair_share(queue, places)
            if queue.urgent_in_flight >= max(1.0, share):
                return False
            return self._table.leaves_protected(queue, head, free, places)

        return self._take(self._urgent, _urgent_head, may_be_urgent)

    def next_light(self, places: int) -> Ticket | None:
        """Return the request of a light organisation for a place of the reserve."""

        def is_light(queue: OrganisationQueue, head: Ticket) -> bool:
            return not head.is_long and self._table.is_light(queue, places)

        return self._take(self._prompt, _prompt_head, is_light)

    def _take(
        self, order: FairOrder, head: _Head, eligible: _Eligible
    ) -> Ticket | None:
        passed: list[OrganisationQueue] = []
        found: Ticket | None = None
        while len(passed) < RESERVE_SCAN and (queue := order.pop()) is not None:
            ticket = head(queue)
            if ticket is None:
                continue
            if self._table.is_at_quota(queue):
                self._parked[queue.name] = queue
                continue
            passed.append(queue)
            if eligible(queue, ticket):
                found = ticket
                break
        for queue in passed:
            order.push(queue)
        return found


def _urgent_head(queue: OrganisationQueue) -> Ticket | None:
    return queue.head(Urgency.URGENT)


def _long_head(queue: OrganisationQueue) -> Ticket | None:
    return queue.head(Urgency.LONG)


def _prompt_head(queue: OrganisationQueue) -> Ticket | None:
    return queue.head(Urgency.URGENT) or queue.head(Urgency.NORMAL)
