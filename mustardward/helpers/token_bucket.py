"""Count what may still be done within a rate that allows some at once; pure."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class TokenBucket:
    """Hold what is saved up, and until when it was filled.

    The rate and the most are told with each filling, since settings change them.

    :param left: tokens that may be taken now.
    :param filled_at: in seconds, on the clock of those who fill it.
    """

    left: float
    filled_at: float

    def refill(self, now: float, rate: float, most: float) -> None:
        """Save up what a rate, in tokens a second, gives until now.

        A time before the last filling adds nothing.
        """
        self.left = min(most, self.left + rate * max(0.0, now - self.filled_at))
        self.filled_at = max(self.filled_at, now)

    def try_take(self) -> bool:
        """Take a token, or tell that there is none."""
        if self.left < 1.0:
            return False
        self.left -= 1.0
        return True
