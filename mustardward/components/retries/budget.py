"""Limit retries to a share of the successful requests."""

from __future__ import annotations

from dataclasses import dataclass

from .const import INITIAL_TOKENS, MAX_TOKENS


@dataclass(slots=True)
class RetryBudget:
    """Hold the retry tokens of one organisation.

    Each success earns a share of a retry. Without successes nothing is earned, so that
    retries don't multiply the load during an outage.
    """

    tokens: float = INITIAL_TOKENS

    def earn(self, share: float) -> None:
        """Add the tokens of one success."""
        self.tokens = min(MAX_TOKENS, self.tokens + max(0.0, share))

    def spend(self, cost: float) -> bool:
        """Deduct the cost of an attempt; return whether there were enough tokens."""
        if self.tokens < cost:
            return False
        self.tokens -= cost
        return True
