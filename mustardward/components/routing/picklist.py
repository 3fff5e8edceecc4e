"""Provide a set whose members can be drawn at random in constant time."""

from __future__ import annotations

from typing import Generic, TypeVar

T = TypeVar("T")


class PickList(Generic[T]):
    """Hold members in no order, each at one place of a list."""

    def __init__(self) -> None:
        self._members: list[T] = []
        self._places: dict[T, int] = {}

    def __len__(self) -> int:
        """Return the number of members."""
        return len(self._members)

    def __getitem__(self, place: int) -> T:
        """Return the member at a place; places change with each removal."""
        return self._members[place]

    def keep(self, member: T, wanted: bool) -> None:
        """Put a member in or take it out."""
        if wanted:
            if member not in self._places:
                self._places[member] = len(self._members)
                self._members.append(member)
            return
        place = self._places.pop(member, None)
        if place is None:
            return
        last = self._members.pop()
        if place < len(self._members):
            self._members[place] = last
            self._places[last] = place
