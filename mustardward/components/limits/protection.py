"""Protect permits for organisations that needed them recently.

Fair queueing gives a small organisation the next permit that is released. If the
requests of a large organisation hold permits for seconds, that release is seconds away,
and the small organisation is served late although it is within its share. Requests that
hold a permit for long, or for an unknown time, must therefore leave the usual demand of
other organisations free. Short requests need not, because they release their permit
soon.
"""

from __future__ import annotations

import math

from .const import (
    DEMAND_FALL_SECONDS,
    DEMAND_RISE_SECONDS,
    DEMAND_SAMPLE_SECONDS,
    HOLD_SMOOTHING,
    MINIMUM_DEMAND,
    PROTECTION_DEVIATIONS,
    PROTECTION_WAIT_SHARE,
)
from .fairness import OrganisationQueue
from .models import Ticket


class DemandProtection:
    """Track demand and the total of protected permits that are not in use."""

    def __init__(self) -> None:
        self._unused_protected = 0
        self._shortest_hold_seconds = 0.0
        self._sampled_at = float("-inf")

    def allows(
        self, queue: OrganisationQueue, ticket: Ticket, free: int, permits: int
    ) -> bool:
        """Return whether a request may take one of the free permits."""
        # Every organisation may use one permit, or a new one would wait until its
        # demand is known.
        if queue.in_flight < max(1, queue.protected):
            return True
        if free > self._unused_protected - queue.unused_protected:
            return True
        estimate = ticket.estimate
        if not estimate.samples:
            return False
        wait = estimate.recent / max(1, permits)
        return wait <= PROTECTION_WAIT_SHARE * self._shortest_hold_seconds

    def record_release(self, queue: OrganisationQueue, hold_seconds: float) -> None:
        """Record how long an organisation held a permit."""
        if not queue.hold_seconds:
            queue.hold_seconds = hold_seconds
        queue.hold_seconds += HOLD_SMOOTHING * (hold_seconds - queue.hold_seconds)

    def update_unused(self, queue: OrganisationQueue) -> None:
        """Update the total after a change of one organisation."""
        unused_protected = max(0, queue.protected - queue.in_flight)
        self._unused_protected += unused_protected - queue.unused_protected
        queue.unused_protected = unused_protected

    def release_protection(self, queue: OrganisationQueue) -> None:
        """Protect no more permits for an organisation."""
        queue.protected = 0
        self.update_unused(queue)

    def sample(self, queues: list[OrganisationQueue], permits: int, now: float) -> None:
        """Update the protected permits of each organisation, up to its fair share.

        The fair share is computed among all organisations with recent demand. Among
        those active at this moment, a large organisation would be entitled to every
        permit whenever a small one pauses between two requests.
        """
        if now - self._sampled_at < DEMAND_SAMPLE_SECONDS:
            return
        first = self._sampled_at == float("-inf")
        seconds = 0.0 if first else now - self._sampled_at
        self._sampled_at = now
        for queue in queues:
            _update_demand(queue, seconds)
        active = [queue for queue in queues if queue.demand >= MINIMUM_DEMAND]
        hold_times = [queue.hold_seconds for queue in active if queue.hold_seconds]
        self._shortest_hold_seconds = min(hold_times, default=math.inf)
        weight = sum(queue.weight for queue in active)
        for queue in queues:
            has_demand = queue.demand >= MINIMUM_DEMAND
            share = permits * queue.weight / weight if has_demand else 0.0
            queue.protected = math.ceil(min(share, _demand_bound(queue)))
            self.update_unused(queue)


def _update_demand(queue: OrganisationQueue, seconds: float) -> None:
    current = queue.in_flight + queue.total_waiting
    rises = current > queue.demand
    time_constant = DEMAND_RISE_SECONDS if rises else DEMAND_FALL_SECONDS
    queue.demand += (1.0 - math.exp(-seconds / time_constant)) * (
        current - queue.demand
    )


def _demand_bound(queue: OrganisationQueue) -> float:
    return queue.demand + PROTECTION_DEVIATIONS * math.sqrt(queue.demand)
