"""Bound retries by a share of successes; pure."""

from __future__ import annotations

from dataclasses import dataclass

from .const import FIRST_TOKENS, MAXIMUM_TOKENS


@dataclass(slots=True)
class RetryBudget:
    """Hold what one organisation may spend on further attempts.

    Each success earns a share of a retry. When nothing succeeds nothing is earned, so
    an outage is not answered with a multiple of the load that may have caused it.
    """

    tokens: float = FIRST_TOKENS

    def earn(self, share: float) -> None:
        """Add what one success is worth."""
        self.tokens = min(MAXIMUM_TOKENS, self.tokens + max(0.0, share))

    def spend(self, cost: float) -> bool:
        """Take the cost of an attempt; tell whether there was enough."""
        if self.tokens < cost:
            return False
        self.tokens -= cost
        return True
