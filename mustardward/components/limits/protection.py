"""Keep places free for organisations that lately used them; pure.

Fair queueing gives a small organisation the next place that falls free. Where a large
neighbour's requests hold places for seconds, that is seconds away, and the small one's
answers are late although it is within its share. So requests that hold a place for
long, or for nobody knows how long, leave the others' usual demand free. Quick ones
need not: a place falls free at once.
"""

from __future__ import annotations

import math

from .const import (
    DEMAND_FALL_SECONDS,
    DEMAND_RISE_SECONDS,
    HELD_SMOOTHING,
    LEAST_DEMAND,
    PROTECTION_DEVIATIONS,
    PROTECTION_WAIT_SHARE,
    SAMPLE_SECONDS,
)
from .fairness import OrganisationQueue
from .models import Ticket


class Protection:
    """Follow demand, and keep the sum of the places that are kept but idle."""

    def __init__(self) -> None:
        self._unused = 0
        self._least_latency = 0.0
        self._sampled_at = float("-inf")

    def allows(
        self, queue: OrganisationQueue, ticket: Ticket, free: int, places: int
    ) -> bool:
        """Tell whether a request may have one of the free places."""
        # One place is everybody's, or a newcomer would wait until it is known.
        if queue.in_flight < max(1, queue.protected):
            return True
        if free > self._unused - queue.unused:
            return True
        estimate = ticket.estimate
        if not estimate.samples:
            return False
        wait = estimate.recent / max(1, places)
        return wait <= PROTECTION_WAIT_SHARE * self._least_latency

    def record_release(self, queue: OrganisationQueue, held_seconds: float) -> None:
        """Learn how long an organisation holds a place."""
        if not queue.latency:
            queue.latency = held_seconds
        queue.latency += HELD_SMOOTHING * (held_seconds - queue.latency)

    def count(self, queue: OrganisationQueue) -> None:
        """Bring the sum in line with one organisation."""
        unused = max(0, queue.protected - queue.in_flight)
        self._unused += unused - queue.unused
        queue.unused = unused

    def forget(self, queue: OrganisationQueue) -> None:
        """Keep nothing for an organisation any more."""
        queue.protected = 0
        self.count(queue)

    def sample(self, queues: list[OrganisationQueue], places: int, now: float) -> None:
        """Renew what is kept for each organisation, at most its fair share.

        The share is taken among all that had demand lately. Among those active at the
        moment, a large organisation would be due every place whenever a small one
        pauses between two requests.
        """
        if now - self._sampled_at < SAMPLE_SECONDS:
            return
        first = self._sampled_at == float("-inf")
        seconds = 0.0 if first else now - self._sampled_at
        self._sampled_at = now
        for queue in queues:
            _follow_demand(queue, seconds)
        wanting = [queue for queue in queues if queue.demand >= LEAST_DEMAND]
        latencies = [queue.latency for queue in wanting if queue.latency]
        self._least_latency = min(latencies, default=math.inf)
        weight = sum(queue.weight for queue in wanting)
        for queue in queues:
            wants = queue.demand >= LEAST_DEMAND
            share = places * queue.weight / weight if wants else 0.0
            queue.protected = math.ceil(min(share, _usual_demand(queue)))
            self.count(queue)


def _follow_demand(queue: OrganisationQueue, seconds: float) -> None:
    wanted = queue.in_flight + queue.total_waiting
    rises = wanted > queue.demand
    span = DEMAND_RISE_SECONDS if rises else DEMAND_FALL_SECONDS
    queue.demand += (1.0 - math.exp(-seconds / span)) * (wanted - queue.demand)


def _usual_demand(queue: OrganisationQueue) -> float:
    return queue.demand + PROTECTION_DEVIATIONS * math.sqrt(queue.demand)
