"""Adapt the concurrency limit of one pool to latency and busy refusals."""

from __future__ import annotations

from dataclasses import dataclass

from .const import (
    BORROWING_FACTOR,
    BUSY_SHARE_HIGH,
    BUSY_SHARE_LOW,
    BUSY_SHARE_MODERATE,
    DECREASE_FACTOR,
    LATENCY_TOLERANCE,
    MINIMUM_SHARE,
    RECOVERY_FACTOR,
    WINDOW_SAMPLES,
    WINDOW_SECONDS,
)


@dataclass(slots=True)
class AdaptiveLimit:
    """Limit the number of requests that this entry has in flight in a pool.

    ``fair_share`` is this entry's share of ``slots``, the slots of the pool. The limit
    starts at the fair share, grows beyond it into slots that other entries leave unused
    while no worker refuses as busy, and shrinks when latency rises.
    """

    fair_share: float = 1.0
    slots: int = 1
    limit: float = 1.0
    window_start: float = 0.0
    samples: int = 0
    busy_refusals: int = 0
    ratio_sum: float = 0.0
    saturated: bool = False

    def resize(self, fair_share: float, slots: int) -> None:
        """Apply a change of workers or entries, scaling the current limit."""
        fair_share = max(1.0, fair_share)
        if fair_share == self.fair_share and slots == self.slots:
            return
        self.limit *= fair_share / self.fair_share
        self.fair_share = fair_share
        self.slots = max(1, slots)
        self._clamp()

    def record(self, ratio: float, saturated: bool, now: float) -> None:
        """Record a response by the ratio of its latency to the baseline."""
        self.samples += 1
        self.ratio_sum += ratio
        self.saturated = self.saturated or saturated
        self._end_window(now)

    def record_busy(self, now: float) -> None:
        """Record a busy refusal by a worker."""
        self.busy_refusals += 1
        self._end_window(now)

    def _end_window(self, now: float) -> None:
        total = self.samples + self.busy_refusals
        if now - self.window_start < WINDOW_SECONDS or total < WINDOW_SAMPLES:
            return
        ratio = self.ratio_sum / self.samples if self.samples else 1.0
        self._adjust(ratio, self.busy_refusals / total)
        self.window_start = now
        self.samples = 0
        self.busy_refusals = 0
        self.ratio_sum = 0.0
        self.saturated = False

    def _adjust(self, ratio: float, busy_share: float) -> None:
        # Entries do not see each other's requests, so they occasionally meet at a full
        # worker even if the pool has room. Only frequent busy refusals count against
        # the fair share; shrinking at each would leave a good part of the pool idle.
        if ratio > LATENCY_TOLERANCE or busy_share > BUSY_SHARE_HIGH:
            self.limit *= DECREASE_FACTOR
        elif self.limit < self.fair_share:
            self._grow_to_fair_share(busy_share)
        elif busy_share > BUSY_SHARE_LOW:
            self.limit = max(self.fair_share, self.limit * DECREASE_FACTOR)
        elif self.saturated and not busy_share:
            self.limit *= BORROWING_FACTOR
        self._clamp()

    def _grow_to_fair_share(self, busy_share: float) -> None:
        if self.saturated and busy_share <= BUSY_SHARE_MODERATE:
            target = max(self.limit + 1.0, self.limit * RECOVERY_FACTOR)
            self.limit = min(self.fair_share, target)

    def _clamp(self) -> None:
        least = max(1.0, self.fair_share * MINIMUM_SHARE)
        self.limit = min(max(self.limit, least), float(self.slots))
