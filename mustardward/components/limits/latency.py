"""Estimate the latency of services."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from .const import (
    BASELINE_SMOOTHING,
    INITIAL_LATENCY_SECONDS,
    MAXIMUM_ESTIMATES,
    RECENT_SMOOTHING,
)


@dataclass(slots=True)
class LatencyEstimate:
    """Estimate the latency of one service, in seconds.

    ``recent`` adapts within about ten responses, ``baseline`` within a few hundred.
    ``in_flight`` counts the requests that have yet to add a sample.
    """

    recent: float = INITIAL_LATENCY_SECONDS
    baseline: float = 0.0
    samples: int = 0
    in_flight: int = 0

    def record(self, latency: float) -> float:
        """Record a latency and return its ratio to the baseline."""
        self.samples += 1
        if self.samples == 1:
            self.recent = self.baseline = latency
            return 1.0
        self.recent += max(RECENT_SMOOTHING, 1 / self.samples) * (latency - self.recent)
        ratio = latency / max(self.baseline, 1e-6)
        self.baseline += max(BASELINE_SMOOTHING, 1 / self.samples) * (
            latency - self.baseline
        )
        return ratio

    def ratio(self, latency: float) -> float:
        """Return the ratio of a latency to the baseline."""
        return latency / self.baseline if self.baseline > 0.0 else 1.0


class LatencyEstimates:
    """Hold the estimates of the most recently used services."""

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
