"""Assign version numbers to the changes in the membership tables."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Generic, TypeVar

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class Changes(Generic[T]):
    """Hold changed items, oldest first, complete up to version ``until``."""

    items: tuple[T, ...]
    until: int


class ChangeCounter:
    """Count changes; tables that share a counter share one sequence of versions."""

    def __init__(self) -> None:
        self._value = 0

    @property
    def value(self) -> int:
        """Return the version of the last change."""
        return self._value

    def advance(self) -> int:
        """Return the version for a new change."""
        self._value += 1
        return self._value

    def oldest(self, changed: Iterable[tuple[int, T]], limit: int) -> Changes[T]:
        """Return the oldest changes, at most ``limit``.

        :param changed: pairs of a version and an item.
        """
        ordered = sorted(changed, key=lambda pair: pair[0])
        items = tuple(item for _, item in ordered[:limit])
        if len(ordered) <= limit:
            return Changes(items, self._value)
        return Changes(items, ordered[limit - 1][0])
