"""Estimate a quantile of a stream of latencies in constant memory."""

from __future__ import annotations

from dataclasses import dataclass

from .const import HEDGE_QUANTILE, HEDGE_STEP


@dataclass(slots=True)
class LatencyQuantile:
    """Estimate one quantile by small steps up and down.

    A latency above the estimate raises it by ``quantile`` steps, any other lowers it by
    ``1 - quantile`` steps. Both balance where that share of latencies lies below.
    """

    value: float = 0.0
    samples: int = 0
    quantile: float = HEDGE_QUANTILE

    def add(self, latency: float) -> None:
        """Update the estimate with one latency."""
        self.samples += 1
        if self.samples == 1:
            self.value = latency
            return
        step = HEDGE_STEP * max(self.value, 1e-4)
        if latency > self.value:
            self.value += step * self.quantile
        else:
            self.value -= step * (1 - self.quantile)
