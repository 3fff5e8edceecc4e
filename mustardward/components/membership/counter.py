"""Number the changes of this process's knowledge."""

from __future__ import annotations


class ChangeCounter:
    """Count changes; tables that share one can be compared by one number."""

    def __init__(self) -> None:
        self._value = 0

    @property
    def value(self) -> int:
        """Return the number of the last change."""
        return self._value

    def advance(self) -> int:
        """Return the number for a new change."""
        self._value += 1
        return self._value
