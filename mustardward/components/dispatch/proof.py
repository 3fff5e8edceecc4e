"""Know when a worker was last proved alive."""

from __future__ import annotations

import math
from dataclasses import dataclass


@dataclass(slots=True, eq=False)
class Proof:
    """Hold when one incarnation of a worker answered, until it leaves a call so."""

    _at: float = -math.inf

    @property
    def stands(self) -> bool:
        """Return whether the last call was answered."""
        return not math.isinf(self._at)

    def give(self, now: float) -> None:
        """Take in an answer of the incarnation."""
        self._at = now

    def withdraw(self) -> None:
        """Take in that a call was not answered, or that another may have answered."""
        self._at = -math.inf

    def is_within(self, seconds: float, now: float) -> bool:
        """Return whether it answered its last call, and so lately."""
        return now - self._at <= seconds
