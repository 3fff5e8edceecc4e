"""Compute retry delays, spread so that nodes don't retry at the same time."""

from __future__ import annotations

from random import Random


class Backoff:
    """Exponential backoff with jitter; the upper bound doubles with each delay.

    :param initial_seconds: upper bound of the first delay.
    :param maximum_seconds: upper bound of all delays.
    :param random: source of the jitter.
    """

    def __init__(
        self, initial_seconds: float, maximum_seconds: float, random: Random
    ) -> None:
        self._initial_seconds = initial_seconds
        self._maximum_seconds = maximum_seconds
        self._random = random
        self._ceiling_seconds = initial_seconds

    def next_seconds(self) -> float:
        """Return the next delay, at least a tenth of its upper bound."""
        ceiling = self._ceiling_seconds
        self._ceiling_seconds = min(ceiling * 2, self._maximum_seconds)
        return ceiling * (0.1 + 0.9 * self._random.random())

    def reset(self) -> None:
        """Restart with the initial delay, after a success."""
        self._ceiling_seconds = self._initial_seconds
