"""Remember a worker's usage, so that it can be reported late."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import Final

KEPT_SAMPLES: Final = 10_000


@dataclass(frozen=True, slots=True)
class UsageSample:
    """Hold the usage from one moment on."""

    at: float
    slots_busy: int
    connections_open: int


class UsageHistory:
    """Keep the latest changes of a worker's usage."""

    def __init__(self) -> None:
        self._samples: deque[UsageSample] = deque(maxlen=KEPT_SAMPLES)

    def note(self, now: float, slots_busy: int, connections_open: int) -> None:
        """Remember the usage from now on, if it changed."""
        sample = UsageSample(now, slots_busy, connections_open)
        if self._samples:
            last = self._samples[-1]
            same = (last.slots_busy, last.connections_open)
            if same == (slots_busy, connections_open):
                return
        self._samples.append(sample)

    def at(self, moment: float) -> UsageSample:
        """Return the usage that held at a moment; idle before the first sample."""
        found = UsageSample(moment, 0, 0)
        for sample in reversed(self._samples):
            if sample.at <= moment:
                return sample
        return found
