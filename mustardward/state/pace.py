"""Pace appends so that all entry nodes together stay within the log's rate limit."""

from __future__ import annotations

from typing import Final

_WIDENING_FACTOR: Final = 2.0
_NARROWING_FACTOR: Final = 0.95


class AppendPace:
    """Widen the group commit window at each rate refusal, and narrow it slowly.

    Several entry nodes share one rate limit that none of them can observe. Delayed
    retries alone would keep all of them at the limit, where a snapshot's append
    displaces a claim's; a wider window carries the same records in fewer appends.

    :param minimum_seconds: window while the log refuses no append.
    :param maximum_seconds: upper bound of the window.
    """

    def __init__(self, minimum_seconds: float, maximum_seconds: float) -> None:
        self._minimum_seconds = minimum_seconds
        self._maximum_seconds = max(minimum_seconds, maximum_seconds)
        self._window_seconds = minimum_seconds

    @property
    def window_seconds(self) -> float:
        """Return how long to collect records before the next append."""
        return self._window_seconds

    def record_refusal(self) -> None:
        """Widen the window after an append exceeded the rate limit."""
        widened = max(self._window_seconds, 0.01) * _WIDENING_FACTOR
        self._window_seconds = min(widened, self._maximum_seconds)

    def record_append(self) -> None:
        """Narrow the window after an append succeeded."""
        narrowed = self._window_seconds * _NARROWING_FACTOR
        self._window_seconds = max(narrowed, self._minimum_seconds)
