"""Learn how long services take; pure."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from .const import (
    FIRST_LATENCY_SECONDS,
    MAXIMUM_ESTIMATES,
    RECENT_SMOOTHING,
    USUAL_SMOOTHING,
)


@dataclass(slots=True)
class LatencyEstimate:
    """Hold what is known of one service's latency, in seconds.

    ``recent`` follows within some ten answers, ``usual`` within some hundred.
    ``in_flight`` counts the requests that will tell more.
    """

    recent: float = FIRST_LATENCY_SECONDS
    usual: float = 0.0
    samples: int = 0
    in_flight: int = 0

    def add(self, latency: float) -> float:
        """Take an answer into account; return its ratio to the usual latency."""
        self.samples += 1
        if self.samples == 1:
            self.recent = self.usual = latency
            return 1.0
        self.recent += max(RECENT_SMOOTHING, 1 / self.samples) * (latency - self.recent)
        ratio = latency / max(self.usual, 1e-6)
        self.usual += max(USUAL_SMOOTHING, 1 / self.samples) * (latency - self.usual)
        return ratio

    def ratio(self, latency: float) -> float:
        """Return the ratio of a latency to the usual one."""
        return latency / self.usual if self.usual > 0.0 else 1.0


class LatencyEstimates:
    """Hold the estimates of the services used most recently."""

    def __init__(self) -> None:
        self._by_service: OrderedDict[tuple[str, str], LatencyEstimate] = OrderedDict()

    def get(self, organisation: str, service: str) -> LatencyEstimate:
        """Return the estimate of an organisation's service."""
        key = (organisation, service)
        estimate = self._by_service.get(key)
        if estimate is None:
            estimate = self._by_service[key] = LatencyEstimate()
            if len(self._by_service) > MAXIMUM_ESTIMATES:
                self._by_service.popitem(last=False)
        self._by_service.move_to_end(key)
        return estimate
