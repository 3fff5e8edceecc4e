"""Pace the ``Retry-After`` delays of refused callers."""

from __future__ import annotations

from random import Random

from .const import RETRY_BASE_SECONDS, RETRY_MAXIMUM_SECONDS, RETRY_RATE_SHARE


class RetryAfterPacer:
    """Assign retry delays at a rate that capacity can serve.

    Callers that are refused together and get the same delay return together and are
    refused again, so the load oscillates between idle and overload.
    """

    def __init__(self, random: Random) -> None:
        self._random = random
        self._cursor = 0.0

    def next_delay_seconds(self, rate: float, now: float) -> float:
        """Return the number of seconds after which a refused caller may retry.

        :param rate: requests per second that the organisation can expect to be served.
        """
        earliest = now + RETRY_BASE_SECONDS
        step = 1.0 / max(1e-3, RETRY_RATE_SHARE * rate)
        self._cursor = max(self._cursor, earliest) + step
        wait = self._cursor - now + self._random.random() * RETRY_BASE_SECONDS
        if wait <= RETRY_MAXIMUM_SECONDS:
            return wait
        # More callers are refused than can be served within the longest delay. They get
        # uniformly random delays, because delays beyond the maximum would all be cut to
        # the same value.
        self._cursor = now + RETRY_MAXIMUM_SECONDS
        window = RETRY_MAXIMUM_SECONDS - RETRY_BASE_SECONDS
        return RETRY_BASE_SECONDS + self._random.random() * window
