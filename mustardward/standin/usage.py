"""Record the usage of a worker, so that it can be reported with a delay."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import Final

MAX_SAMPLES: Final = 10_000


@dataclass(frozen=True, slots=True)
class UsageSample:
    """Usage since a point in time."""

    at: float
    slots_busy: int
    connections_open: int


class UsageHistory:
    """Latest changes of a worker's usage."""

    def __init__(self) -> None:
        self._samples: deque[UsageSample] = deque(maxlen=MAX_SAMPLES)

    def record(self, now: float, slots_busy: int, connections_open: int) -> None:
        """Record the current usage if it changed."""
        sample = UsageSample(now, slots_busy, connections_open)
        if self._samples:
            last = self._samples[-1]
            same = (last.slots_busy, last.connections_open)
            if same == (slots_busy, connections_open):
                return
        self._samples.append(sample)

    def at(self, moment: float) -> UsageSample:
        """Return the usage at a point in time; idle before the first sample."""
        idle = UsageSample(moment, 0, 0)
        for sample in reversed(self._samples):
            if sample.at <= moment:
                return sample
        return idle
