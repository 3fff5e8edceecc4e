"""Limit the rate of move orders to what the platform accepts per second; pure.

Load pattern: when a demand peak ends in a large fleet, a thousand instances may go to
standby at once. Ordered together, the calls wait for each other's connections until
they time out, most are refused, and each announcement in the log names all of them.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import Final

from ...helpers.token_bucket import TokenBucket

MOVES_SHARE: Final = 0.8
"""Share of the order rate that moves may use: the rest is left for maintenance and for
the orders of an owner that was deposed a moment ago."""


@dataclass(slots=True)
class OrderBudget:
    """Limit the rate of move orders.

    :param orders_per_second: what the platform accepts from all entry nodes together.
    """

    orders_per_second: float = math.inf
    _bucket: TokenBucket = field(
        default_factory=lambda: TokenBucket(math.inf, -math.inf)
    )

    def available(self, now: float) -> int | None:
        """Return how many orders may be issued now, or None if there is no limit."""
        rate = self.orders_per_second * MOVES_SHARE
        if math.isinf(rate):
            return None
        self._bucket.refill(now, rate, max(1.0, rate))
        return int(self._bucket.left)

    def consume(self, orders: int) -> None:
        """Deduct orders that are issued."""
        self._bucket.left -= orders
