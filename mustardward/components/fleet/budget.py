"""Bound the orders for instances by what the platform takes a second; pure.

Load pattern: a turn ends in a large fleet, and a thousand instances may go off at once.
Ordered at once they wait for each other's connections until their time is out, most are
refused, and each announcement in the log names all of them.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import Final

from ...helpers.token_bucket import TokenBucket

ORDERS_SHARE: Final = 0.8
"""Share of the orders that an owner gives to moves: the rest is for maintenance, and
for the orders of one that was deposed a moment ago."""


@dataclass(slots=True)
class OrderBudget:
    """Hold how many orders may be given now.

    :param orders_per_second: what the platform takes of all entries together.
    """

    orders_per_second: float = math.inf
    _bucket: TokenBucket = field(
        default_factory=lambda: TokenBucket(math.inf, -math.inf)
    )

    def left(self, now: float) -> int | None:
        """Return how many orders may be given, or None if there is no bound."""
        rate = self.orders_per_second * ORDERS_SHARE
        if math.isinf(rate):
            return None
        self._bucket.fill(now, rate, max(1.0, rate))
        return int(self._bucket.left)

    def spend(self, orders: int) -> None:
        """Take in that orders were given."""
        self._bucket.left -= orders
