"""Spread retries out, so that many nodes never retry in step."""

from __future__ import annotations

from random import Random


class Backoff:
    """Give waits that double up to a bound, with full jitter.

    :param initial_seconds: upper end of the first wait.
    :param maximum_seconds: upper end that no wait passes.
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
        """Return the next wait, at least a tenth of its upper end."""
        ceiling = self._ceiling_seconds
        self._ceiling_seconds = min(ceiling * 2, self._maximum_seconds)
        return ceiling * (0.1 + 0.9 * self._random.random())

    def reset(self) -> None:
        """Begin again with the shortest wait, after a success."""
        self._ceiling_seconds = self._initial_seconds
