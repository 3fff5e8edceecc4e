"""Learn run times by template, since declared ones are far from the truth."""

from __future__ import annotations

from collections import OrderedDict, deque
from typing import Final

MAX_SAMPLES: Final = 64
MAX_KEYS: Final = 1_024
MIN_SAMPLES: Final = 5

PRIOR_FACTOR: Final = 10.0
"""How far off a declared run time is taken to be while nothing is learnt."""


class RunTimes:
    """Hold the latest run times (seconds) of each kind of job."""

    def __init__(self) -> None:
        self._samples: OrderedDict[str, deque[float]] = OrderedDict()

    def record(self, key: str, seconds: float) -> None:
        """Learn from one job that ran to its end."""
        samples = self._samples.setdefault(key, deque(maxlen=MAX_SAMPLES))
        samples.append(seconds)
        self._samples.move_to_end(key)
        while len(self._samples) > MAX_KEYS:
            self._samples.popitem(last=False)

    def estimate(self, key: str, declared_seconds: float, quantile: float) -> float:
        """Return a quantile of the run time.

        With too few samples the declared time is a prior: its middle is taken as it
        is, its tail as ten times longer.
        """
        samples = self._samples.get(key, ())
        if len(samples) < MIN_SAMPLES:
            factor: float = PRIOR_FACTOR ** max(0.0, 2.0 * quantile - 1.0)
            return declared_seconds * factor
        ordered = sorted(samples)
        return ordered[min(len(ordered) - 1, int(quantile * len(ordered)))]
