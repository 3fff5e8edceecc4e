"""Tell what of an organisation's jobs lies within its share of a full pool; pure.

Load pattern: one organisation sends many times its usual. Taken in the order of arrival
or of slack, its jobs stand before those of all others, and one job in four is late
whoever sent it. What it sends within its rate keeps its place; what lies beyond goes
after all that can still be in time of the others, and takes what room is left.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from ...helpers.policies import switchable
from ...helpers.token_bucket import TokenBucket

BURST_SECONDS: Final = 1.0
"""Time of its rate that an organisation may send at once: callers come in bursts, and a
job that comes a moment after another is no sign of too many."""

RateLookup = Callable[[str], float]


def unlimited_rate(organisation: str) -> float:
    """Return that an organisation's rate is not bounded."""
    return 0.0


def _never_exceeds_rate(shares: RateShares, /, organisation: str, at: float) -> bool:
    return False


@dataclass(slots=True, eq=False)
class RateShares:
    """Hold a token bucket for each organisation.

    :param rate_of: jobs a second that are an organisation's share; 0 is no bound.
    """

    rate_of: RateLookup = unlimited_rate
    _buckets: dict[str, TokenBucket] = field(default_factory=dict)

    @switchable(
        "shares",
        "what an organisation sends beyond its rate waits for all others' jobs",
        without=_never_exceeds_rate,
    )
    def exceeds_rate(self, organisation: str, at: float) -> bool:
        """Take in a job; return whether it lies beyond its organisation's rate."""
        rate = self.rate_of(organisation) if organisation else 0.0
        if rate <= 0.0:
            return False
        capacity = max(1.0, rate * BURST_SECONDS)
        bucket = self._buckets.setdefault(organisation, TokenBucket(capacity, at))
        bucket.fill(at, rate, capacity)
        return not bucket.take()
