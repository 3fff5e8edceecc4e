"""Work out what each organisation is due of one pool's places; pure."""

from __future__ import annotations

import math

from .const import LIGHT_SHARE
from .fairness import OrganisationQueue
from .models import Ticket
from .protection import Protection


class OrganisationTable:
    """Hold the organisations of one pool and the sums of their weights."""

    def __init__(self, entries: int = 1) -> None:
        self._queues: dict[str, OrganisationQueue] = {}
        self._protection = Protection()
        self._active_weight = 0.0
        self._backlog_weight = 0.0
        self._entries = max(1, entries)

    def __getitem__(self, name: str) -> OrganisationQueue:
        """Return an organisation's queue."""
        return self._queues[name]

    def queues(self) -> list[OrganisationQueue]:
        """Return the queues of all organisations."""
        return list(self._queues.values())

    def find(self, name: str) -> OrganisationQueue | None:
        """Return an organisation's queue, if it has one."""
        return self._queues.get(name)

    def open(self, ticket: Ticket, virtual_time: float) -> OrganisationQueue:
        """Return the queue of a request's organisation with the quota now in force."""
        name = ticket.organisation
        queue = self._queues.get(name)
        if queue is None:
            queue = OrganisationQueue(name, ticket.quota, finish=virtual_time)
            self._queues[name] = queue
        queue.quota = ticket.quota
        return queue

    def set_entries(self, entries: int) -> None:
        """Follow the number of entries that share the data centre."""
        self._entries = max(1, entries)

    def prune(self, virtual_time: float) -> None:
        """Forget organisations that are idle and owe nothing."""
        for name, queue in list(self._queues.items()):
            if queue.is_idle and queue.finish <= virtual_time:
                self._protection.forget(queue)
                del self._queues[name]

    def weigh(self, queue: OrganisationQueue) -> None:
        """Bring the sums in line with one organisation."""
        active = 0.0 if queue.is_idle else queue.weight
        backlog = queue.weight if queue.total_waiting else 0.0
        self._active_weight += active - queue.active_weight
        self._backlog_weight += backlog - queue.backlog_weight
        queue.active_weight = active
        queue.backlog_weight = backlog
        self._protection.count(queue)

    def record_release(self, queue: OrganisationQueue, held_seconds: float) -> None:
        """Learn how long places are held."""
        self._protection.record_release(queue, held_seconds)

    def sample(self, places: int, now: float) -> None:
        """Renew what is protected for each organisation."""
        self._protection.sample(self.queues(), places, now)

    def leaves_protected(
        self, queue: OrganisationQueue, ticket: Ticket, free: int, places: int
    ) -> bool:
        """Tell whether one more request leaves the others what is kept for them."""
        return self._protection.allows(queue, ticket, free, places)

    def backlog_share(self, queue: OrganisationQueue, places: int) -> float:
        """Return the places an organisation gets while others wait too."""
        total = max(self._backlog_weight, queue.weight)
        return min(places * queue.weight / total, float(self.quota(queue)))

    def fair_share(self, queue: OrganisationQueue, places: int) -> float:
        """Return the places an organisation is due among all active ones."""
        return places * queue.weight / max(self._active_weight, queue.weight)

    def is_light(self, queue: OrganisationQueue, places: int) -> bool:
        """Tell whether one more request keeps it far below what it is due."""
        return queue.in_flight + 1 <= LIGHT_SHARE * self.fair_share(queue, places)

    def quota(self, queue: OrganisationQueue) -> int:
        """Return the places an organisation's quota gives it at this entry.

        The quota holds for the data centre, and the balancer spreads requests evenly
        only on average; so an entry lends all of it while nobody else waits.
        """
        others = self._backlog_weight - queue.backlog_weight
        if others <= 0.0:
            return queue.quota.concurrency
        return self._per_entry(queue.quota.concurrency)

    def is_at_quota(self, queue: OrganisationQueue) -> bool:
        """Tell whether an organisation's quota is used up at this entry."""
        return queue.in_flight >= self.quota(queue)

    def is_queue_full(self, queue: OrganisationQueue) -> bool:
        """Tell whether an organisation may have no more requests waiting."""
        return queue.total_waiting >= self._per_entry(queue.quota.queue)

    def _per_entry(self, number: int) -> int:
        return max(1, math.ceil(number / self._entries))
