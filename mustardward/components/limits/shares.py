"""Compute the fair share of one pool's permits for each organisation."""

from __future__ import annotations

import math

from .const import BELOW_SHARE_FACTOR
from .fairness import OrganisationQueue
from .models import Ticket
from .protection import DemandProtection


class OrganisationTable:
    """Hold the organisation queues of one pool and the sums of their weights."""

    def __init__(self, entries: int = 1) -> None:
        self._queues: dict[str, OrganisationQueue] = {}
        self._protection = DemandProtection()
        self._active_weight = 0.0
        self._backlog_weight = 0.0
        self._entries = max(1, entries)

    def __getitem__(self, name: str) -> OrganisationQueue:
        """Return the queue of an organisation."""
        return self._queues[name]

    def queues(self) -> list[OrganisationQueue]:
        """Return the queues of all organisations."""
        return list(self._queues.values())

    def find(self, name: str) -> OrganisationQueue | None:
        """Return the queue of an organisation, or ``None``."""
        return self._queues.get(name)

    def get_or_create(self, ticket: Ticket, virtual_time: float) -> OrganisationQueue:
        """Return the queue of a ticket's organisation with its current quota."""
        name = ticket.organisation
        queue = self._queues.get(name)
        if queue is None:
            queue = OrganisationQueue(name, ticket.quota, finish_tag=virtual_time)
            self._queues[name] = queue
        queue.quota = ticket.quota
        return queue

    def set_entries(self, entries: int) -> None:
        """Set the number of entries that share the data centre."""
        self._entries = max(1, entries)

    def prune(self, virtual_time: float) -> None:
        """Remove organisations that are idle and have no outstanding virtual time."""
        for name, queue in list(self._queues.items()):
            if queue.is_idle and queue.finish_tag <= virtual_time:
                self._protection.release_protection(queue)
                del self._queues[name]

    def update_weights(self, queue: OrganisationQueue) -> None:
        """Update the weight sums after a change of one organisation."""
        active = 0.0 if queue.is_idle else queue.weight
        backlog = queue.weight if queue.total_waiting else 0.0
        self._active_weight += active - queue.active_weight
        self._backlog_weight += backlog - queue.backlog_weight
        queue.active_weight = active
        queue.backlog_weight = backlog
        self._protection.update_unused(queue)

    def record_release(self, queue: OrganisationQueue, hold_seconds: float) -> None:
        """Record how long a released permit was held."""
        self._protection.record_release(queue, hold_seconds)

    def sample(self, permits: int, now: float) -> None:
        """Update the demand and the protected permits of each organisation."""
        self._protection.sample(self.queues(), permits, now)

    def leaves_protected(
        self, queue: OrganisationQueue, ticket: Ticket, free: int, permits: int
    ) -> bool:
        """Return whether a request leaves the protected permits of others free."""
        return self._protection.allows(queue, ticket, free, permits)

    def backlog_share(self, queue: OrganisationQueue, permits: int) -> float:
        """Return its share of permits among organisations with waiting requests."""
        total = max(self._backlog_weight, queue.weight)
        return min(permits * queue.weight / total, float(self.quota(queue)))

    def fair_share(self, queue: OrganisationQueue, permits: int) -> float:
        """Return an organisation's share of permits among all active organisations."""
        return permits * queue.weight / max(self._active_weight, queue.weight)

    def is_below_share(self, queue: OrganisationQueue, permits: int) -> bool:
        """Return whether it stays far below its fair share with one more request."""
        return queue.in_flight + 1 <= BELOW_SHARE_FACTOR * self.fair_share(
            queue, permits
        )

    def quota(self, queue: OrganisationQueue) -> int:
        """Return an organisation's concurrency quota at this entry.

        The quota applies to the data centre, and the load balancer distributes requests
        evenly only on average. While no other organisation waits, an entry therefore
        allows the whole quota; otherwise, it allows its part.
        """
        others = self._backlog_weight - queue.backlog_weight
        if others <= 0.0:
            return queue.quota.concurrency
        return self._per_entry(queue.quota.concurrency)

    def is_at_quota(self, queue: OrganisationQueue) -> bool:
        """Return whether an organisation's quota is exhausted at this entry."""
        return queue.in_flight >= self.quota(queue)

    def is_queue_full(self, queue: OrganisationQueue) -> bool:
        """Return whether an organisation has reached its limit of waiting requests."""
        return queue.total_waiting >= self._per_entry(queue.quota.queue)

    def _per_entry(self, number: int) -> int:
        return max(1, math.ceil(number / self._entries))
