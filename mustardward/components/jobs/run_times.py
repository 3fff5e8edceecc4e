"""Estimate run times from samples by template, since declared ones are unreliable."""

from __future__ import annotations

from collections import OrderedDict, deque
from typing import Final

MAX_SAMPLES: Final = 64
MAX_KEYS: Final = 1_024
MIN_SAMPLES: Final = 5

PRIOR_FACTOR: Final = 10.0
"""Assumed error factor of a declared run time while there are too few samples."""


class RunTimes:
    """Keep the latest run times in seconds by kind of job."""

    def __init__(self) -> None:
        self._samples: OrderedDict[str, deque[float]] = OrderedDict()

    def record(self, key: str, seconds: float) -> None:
        """Record the run time of a job that ran to completion."""
        samples = self._samples.setdefault(key, deque(maxlen=MAX_SAMPLES))
        samples.append(seconds)
        self._samples.move_to_end(key)
        while len(self._samples) > MAX_KEYS:
            self._samples.popitem(last=False)

    def estimate(self, key: str, declared_seconds: float, quantile: float) -> float:
        """Return a quantile of the run time in seconds.

        With too few samples the declared time serves as a prior: it is taken as the
        median, and the tail approaches ``PRIOR_FACTOR`` times that.
        """
        samples = self._samples.get(key, ())
        if len(samples) < MIN_SAMPLES:
            factor: float = PRIOR_FACTOR ** max(0.0, 2.0 * quantile - 1.0)
            return declared_seconds * factor
        ordered = sorted(samples)
        return ordered[min(len(ordered) - 1, int(quantile * len(ordered)))]
