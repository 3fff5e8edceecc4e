"""Adapt one pool's concurrency limit to what its workers say; pure."""

from __future__ import annotations

from dataclasses import dataclass

from .const import (
    BUSY_BACKOFF,
    BUSY_QUIET_SECONDS,
    LATENCY_BACKOFF,
    LATENCY_TOLERANCE,
    MINIMUM_SHARE,
    WINDOW_SAMPLES,
    WINDOW_SECONDS,
)


@dataclass(slots=True)
class AdaptiveLimit:
    """Hold the number of requests that this entry keeps in a pool at once.

    ``share`` is this entry's fair share of the slots and ``slots`` all of them. The
    limit begins at the share, borrows what other entries leave while no worker says
    that it is busy, and shrinks when latency rises.
    """

    share: float = 1.0
    slots: int = 1
    limit: float = 1.0
    window_start: float = 0.0
    samples: int = 0
    ratio_sum: float = 0.0
    saturated: bool = False
    busy_at: float = float("-inf")
    busy_seen: bool = False

    def resize(self, share: float, slots: int) -> None:
        """Follow a change of workers or entries, keeping what was learnt."""
        share = max(1.0, share)
        if share == self.share and slots == self.slots:
            return
        self.limit *= share / self.share
        self.share = share
        self.slots = max(1, slots)
        self._clamp()

    def add(self, ratio: float, saturated: bool, now: float) -> None:
        """Take an answer into account, by the ratio of its latency to the usual."""
        self.samples += 1
        self.ratio_sum += ratio
        self.saturated = self.saturated or saturated
        if now - self.window_start < WINDOW_SECONDS or self.samples < WINDOW_SAMPLES:
            return
        self._change(self.ratio_sum / self.samples, now)
        self.window_start = now
        self.samples = 0
        self.ratio_sum = 0.0
        self.saturated = False
        self.busy_seen = False

    def note_busy(self, now: float) -> None:
        """Take a worker's busy refusal into account, once in a window."""
        self.busy_at = now
        if self.busy_seen:
            return
        self.busy_seen = True
        self.limit *= BUSY_BACKOFF
        self._clamp()

    def _change(self, ratio: float, now: float) -> None:
        if ratio > LATENCY_TOLERANCE:
            self.limit *= LATENCY_BACKOFF
        elif self.saturated and self._may_grow(now):
            self.limit += 1.0
        self._clamp()

    def _may_grow(self, now: float) -> bool:
        if self.limit < self.share:
            return not self.busy_seen
        return now - self.busy_at >= BUSY_QUIET_SECONDS

    def _clamp(self) -> None:
        least = max(1.0, self.share * MINIMUM_SHARE)
        self.limit = min(max(self.limit, least), float(self.slots))
