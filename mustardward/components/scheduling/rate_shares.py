"""Determine which jobs of an organisation are within its rate.

When one organisation submits many times its usual load and jobs are ordered by arrival
or slack, its jobs rank before those of all others, and one job in four is late whoever
submitted it. Jobs within the organisation's rate keep their rank; jobs over the rate go
after all jobs of others that can still meet their objective, and use the room that is
left.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from ...helpers.policies import switchable
from ...helpers.token_bucket import TokenBucket

BURST_SECONDS: Final = 1.0
"""Capacity of the token bucket as a time at the organisation's rate. Callers submit in
bursts, so two jobs in quick succession do not mean that the rate is exceeded."""

RateLookup = Callable[[str], float]


def unlimited_rate(organisation: str) -> float:
    """Return 0, so that an organisation's rate is not limited."""
    return 0.0


def _never_exceeds_rate(shares: RateShares, /, organisation: str, at: float) -> bool:
    return False


@dataclass(slots=True, eq=False)
class RateShares:
    """Hold a token bucket for each organisation.

    :param rate_of: returns an organisation's rate in jobs per second; 0 is no limit.
    """

    rate_of: RateLookup = unlimited_rate
    _buckets: dict[str, TokenBucket] = field(default_factory=dict)

    @switchable(
        "shares",
        "jobs over an organisation's rate wait for the jobs of all others",
        without=_never_exceeds_rate,
    )
    def exceeds_rate(self, organisation: str, at: float) -> bool:
        """Count a job; return whether it exceeds its organisation's rate."""
        rate = self.rate_of(organisation) if organisation else 0.0
        if rate <= 0.0:
            return False
        capacity = max(1.0, rate * BURST_SECONDS)
        bucket = self._buckets.setdefault(organisation, TokenBucket(capacity, at))
        bucket.refill(at, rate, capacity)
        return not bucket.try_take()
