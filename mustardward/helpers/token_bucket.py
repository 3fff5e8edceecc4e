"""Limit a rate with a token bucket; pure."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class TokenBucket:
    """Token bucket.

    Each refill takes the rate and the capacity, since settings may change them.

    :param left: available tokens.
    :param filled_at: time of the last refill in seconds, on the caller's clock.
    """

    left: float
    filled_at: float

    def refill(self, now: float, rate: float, capacity: float) -> None:
        """Add tokens for the time since the last refill.

        A time before the last refill adds nothing.

        :param rate: in tokens per second.
        """
        self.left = min(capacity, self.left + rate * max(0.0, now - self.filled_at))
        self.filled_at = max(self.filled_at, now)

    def try_take(self) -> bool:
        """Take a token and return True, or return False if there is none."""
        if self.left < 1.0:
            return False
        self.left -= 1.0
        return True
