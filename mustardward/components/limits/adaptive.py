"""Adapt one pool's concurrency limit to what its workers say; pure."""

from __future__ import annotations

from dataclasses import dataclass

from .const import (
    BACKOFF,
    BORROWING,
    BUSY_FEW,
    BUSY_MUCH,
    BUSY_SOME,
    LATENCY_TOLERANCE,
    MINIMUM_SHARE,
    RECOVERY,
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
    busy: int = 0
    ratio_sum: float = 0.0
    saturated: bool = False

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
        self._end_window(now)

    def record_busy(self, now: float) -> None:
        """Take a worker's busy refusal into account."""
        self.busy += 1
        self._end_window(now)

    def _end_window(self, now: float) -> None:
        seen = self.samples + self.busy
        if now - self.window_start < WINDOW_SECONDS or seen < WINDOW_SAMPLES:
            return
        ratio = self.ratio_sum / self.samples if self.samples else 1.0
        self._change(ratio, self.busy / seen)
        self.window_start = now
        self.samples = 0
        self.busy = 0
        self.ratio_sum = 0.0
        self.saturated = False

    def _change(self, ratio: float, busy_share: float) -> None:
        # Entries that can't see each other meet at some full worker now and then even
        # if the pool has room. Only many such refusals speak against the fair share;
        # giving way at each would leave a good part of the pool idle.
        if ratio > LATENCY_TOLERANCE or busy_share > BUSY_MUCH:
            self.limit *= BACKOFF
        elif self.limit < self.share:
            self._recover(busy_share)
        elif busy_share > BUSY_FEW:
            self.limit = max(self.share, self.limit * BACKOFF)
        elif self.saturated and not busy_share:
            self.limit *= BORROWING
        self._clamp()

    def _recover(self, busy_share: float) -> None:
        if self.saturated and busy_share <= BUSY_SOME:
            wanted = max(self.limit + 1.0, self.limit * RECOVERY)
            self.limit = min(self.share, wanted)

    def _clamp(self) -> None:
        least = max(1.0, self.share * MINIMUM_SHARE)
        self.limit = min(max(self.limit, least), float(self.slots))
