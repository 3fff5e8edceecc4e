"""Track when a worker last answered a call."""

from __future__ import annotations

import math
from dataclasses import dataclass


@dataclass(slots=True, eq=False)
class Liveness:
    """Hold the time of an incarnation's last answer until a call to it fails."""

    _confirmed_at: float = -math.inf

    @property
    def is_confirmed(self) -> bool:
        """Return whether the last call was answered."""
        return not math.isinf(self._confirmed_at)

    def confirm(self, now: float) -> None:
        """Record an answer of the incarnation."""
        self._confirmed_at = now

    def reset(self) -> None:
        """Discard the answer: a call failed or another incarnation may be running."""
        self._confirmed_at = -math.inf

    def was_confirmed_within(self, seconds: float, now: float) -> bool:
        """Return whether the last call was answered within this time."""
        return now - self._confirmed_at <= seconds
