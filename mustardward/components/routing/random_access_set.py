"""Provide a set with random access in constant time."""

from __future__ import annotations

from typing import Generic, TypeVar

T = TypeVar("T")


class RandomAccessSet(Generic[T]):
    """Hold members in no defined order, accessible by index."""

    def __init__(self) -> None:
        self._members: list[T] = []
        self._positions: dict[T, int] = {}

    def __len__(self) -> int:
        """Return the number of members."""
        return len(self._members)

    def __getitem__(self, index: int) -> T:
        """Return the member at an index; each removal changes the order."""
        return self._members[index]

    def set_member(self, member: T, present: bool) -> None:
        """Add or remove a member."""
        if present:
            if member not in self._positions:
                self._positions[member] = len(self._members)
                self._members.append(member)
            return
        index = self._positions.pop(member, None)
        if index is None:
            return
        last = self._members.pop()
        if index < len(self._members):
            self._members[index] = last
            self._positions[last] = index
