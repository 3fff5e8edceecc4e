"""Number the changes of this process's knowledge."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Generic, TypeVar

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class Changes(Generic[T]):
    """Hold changed things, oldest first; ``until`` is the change they are whole to."""

    items: tuple[T, ...]
    until: int


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

    def oldest(self, changed: Iterable[tuple[int, T]], limit: int) -> Changes[T]:
        """Return the oldest of some numbered changes."""
        ordered = sorted(changed, key=lambda pair: pair[0])
        items = tuple(item for _, item in ordered[:limit])
        if len(ordered) <= limit:
            return Changes(items, self._value)
        return Changes(items, ordered[limit - 1][0])
