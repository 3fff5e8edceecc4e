"""Spread the times at which refused callers come back; pure but for the dice."""

from __future__ import annotations

from random import Random

from .const import RETRY_BASE_SECONDS, RETRY_MAXIMUM_SECONDS, RETRY_RATE_SHARE


class RetryAfterPacer:
    """Hand out times to come back, no faster than capacity can take them.

    Callers that are refused together and told the same time come back together, and
    are refused together again: the load swings between nothing and far too much.
    """

    def __init__(self, random: Random) -> None:
        self._random = random
        self._cursor = 0.0

    def next_delay_seconds(self, rate: float, now: float) -> float:
        """Return seconds until a caller should come back.

        :param rate: requests a second that the refused organisation may count on.
        """
        earliest = now + RETRY_BASE_SECONDS
        step = 1.0 / max(1e-3, RETRY_RATE_SHARE * rate)
        self._cursor = max(self._cursor, earliest) + step
        wait = self._cursor - now + self._random.random() * RETRY_BASE_SECONDS
        if wait <= RETRY_MAXIMUM_SECONDS:
            return wait
        # More callers than can be served within the longest wait: they get uniform
        # places in it, since places past its end would all become the same one.
        self._cursor = now + RETRY_MAXIMUM_SECONDS
        spread = RETRY_MAXIMUM_SECONDS - RETRY_BASE_SECONDS
        return RETRY_BASE_SECONDS + self._random.random() * spread
