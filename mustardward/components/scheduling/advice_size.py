"""Choose how many workers to name in a request for advice.

Each worker that is named makes the call longer, for its own step and for all that wait
for the service. Each one that is not named makes it more likely that a second call is
needed.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from ...platform.models import QueueAdvice

MAX_NAMED: Final = 400
"""Answers about this many workers are remembered; older ones count for less."""


def expected_seconds(advice: QueueAdvice | None, workers: int) -> float:
    """Return how long the service takes to answer a call that names some workers."""
    if advice is None:
        return 0.0
    milliseconds: float = advice.decide_ms + advice.period_ms * workers
    return milliseconds / 1000


@dataclass(slots=True)
class AllowedShare:
    """Estimate the share of workers that advice allows to the steps of a queue.

    It begins at one half, with the weight of two answers.
    """

    _allowed: float = 1.0
    _named: float = 2.0

    @property
    def value(self) -> float:
        """Return the estimated share, between 0 and 1."""
        return self._allowed / self._named

    def record(self, allowed: int, named: int) -> None:
        """Record an answer."""
        self._allowed += allowed
        self._named += named
        if self._named > MAX_NAMED:
            self._allowed *= MAX_NAMED / self._named
            self._named = MAX_NAMED


def count_to_name(
    needed: int, available: int, share: float, advice: QueueAdvice
) -> int:
    """Return how many workers to name so that enough are allowed soonest.

    The expected time until then is estimated as the duration of a call divided by the
    probability that it suffices.

    :param needed: how many allowed workers the step needs.
    :param available: how many workers may be named.
    :param share: the probability that a worker is allowed.
    """
    if needed >= available:
        return available
    # Probabilities that so many of the workers named are allowed, below those needed.
    fewer = [1.0] + [0.0] * (needed - 1)
    best, best_seconds = available, float("inf")
    for count in range(1, available + 1):
        for allowed in range(needed - 1, 0, -1):
            fewer[allowed] += share * (fewer[allowed - 1] - fewer[allowed])
        fewer[0] *= 1 - share
        suffices = 1 - sum(fewer)
        if suffices <= 0:
            continue
        seconds = expected_seconds(advice, count) / suffices
        if seconds <= best_seconds:
            best, best_seconds = count, seconds
    return best
