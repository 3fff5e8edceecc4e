"""Learn a quantile of a stream of latencies in constant memory; pure."""

from __future__ import annotations

from dataclasses import dataclass

from .const import HEDGE_QUANTILE, HEDGE_STEP


@dataclass(slots=True)
class LatencyQuantile:
    """Follow one quantile by small steps up and down.

    A value above moves it up by ``quantile`` steps, one below down by the rest; the
    two balance where just that share of values lies below.
    """

    value: float = 0.0
    samples: int = 0
    quantile: float = HEDGE_QUANTILE

    def add(self, latency: float) -> None:
        """Take one latency into account."""
        self.samples += 1
        if self.samples == 1:
            self.value = latency
            return
        step = HEDGE_STEP * max(self.value, 1e-4)
        if latency > self.value:
            self.value += step * self.quantile
        else:
            self.value -= step * (1 - self.quantile)
