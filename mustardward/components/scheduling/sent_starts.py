"""Remember under which renewal starts were sent, for log lines."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass


def _unset_clock() -> float:
    return 0.0


@dataclass(slots=True, eq=False)
class SentStarts:
    """Count the starts that were sent under the newest stored renewal.

    :param renewed_at: when the newest stored renewal was sent, on the clock.
    """

    clock: Callable[[], float] = _unset_clock
    renewed_at: Callable[[], float] = _unset_clock
    _count: int = 0
    _counted_since: float | None = None

    def record(self) -> None:
        """Record that a start is being sent."""
        renewed_at = self.renewed_at()
        if renewed_at != self._counted_since:
            self._counted_since = renewed_at
            self._count = 0
        self._count += 1

    def count_since_renewal(self) -> int:
        """Return how many starts were sent since the newest renewal was stored."""
        return self._count if self._counted_since == self.renewed_at() else 0
