"""Record the latencies of about the last hour in mergeable sketches."""

from __future__ import annotations

from collections.abc import Iterable

from hdrh.histogram import HdrHistogram

from .const import (
    LATENCY_DIGITS,
    LATENCY_HIGHEST_UNITS,
    LATENCY_UNIT_SECONDS,
    SKETCH_ROTATION_SECONDS,
)


def create_sketch() -> HdrHistogram:
    """Return an empty sketch for latencies from 0.1 ms to 10 minutes."""
    return HdrHistogram(1, LATENCY_HIGHEST_UNITS, LATENCY_DIGITS)


def merge_sketches(encoded: Iterable[bytes]) -> HdrHistogram:
    """Return the sum of encoded sketches."""
    merged = create_sketch()
    for item in encoded:
        if item:
            merged.decode_and_add(item)
    return merged


def quantile_seconds(sketch: HdrHistogram, percentile: float) -> float:
    """Return a percentile (0 to 100) in seconds, 0 for an empty sketch."""
    if not sketch.get_total_count():
        return 0.0
    units: int = sketch.get_value_at_percentile(percentile)
    return units * LATENCY_UNIT_SECONDS


class RotatingSketch:
    """Hold the sketch of the current half hour and, encoded, the previous one."""

    def __init__(self, now: float) -> None:
        self._started = now
        self._current = create_sketch()
        self._previous = b""

    def record(self, latency_seconds: float, now: float) -> None:
        """Add one latency."""
        self._rotate(now)
        units = round(latency_seconds / LATENCY_UNIT_SECONDS)
        self._current.record_value(min(max(units, 1), LATENCY_HIGHEST_UNITS))

    def encode(self, now: float) -> bytes:
        """Return both sketches as one."""
        self._rotate(now)
        merged = merge_sketches([self._previous])
        merged.add(self._current)
        encoded: bytes = merged.encode()
        return encoded

    def _rotate(self, now: float) -> None:
        age = now - self._started
        if age < SKETCH_ROTATION_SECONDS:
            return
        is_recent = age < 2 * SKETCH_ROTATION_SECONDS
        self._previous = self._current.encode() if is_recent else b""
        self._current.reset()
        self._started = now - age % SKETCH_ROTATION_SECONDS
