"""Remember what became of the latest records, by record id."""

from __future__ import annotations

from array import array
from typing import Final

import xxhash

DEDUPE_WINDOW: Final = 65_536
_EMPTY: Final = -1

Verdict = int | str
"""Revision of an accepted record, or the code of its refusal."""


class DedupeWindow:
    """Hold the verdicts of the latest records within a fixed count.

    Ids are kept as 64-bit digests in a ring, and found through an open-addressed table
    of places in it. Arrays of numbers take a fifth of what a map of objects does, in
    every entry and for each stream.

    :param capacity: number of records remembered.
    """

    def __init__(self, capacity: int = DEDUPE_WINDOW) -> None:
        self._capacity = capacity
        self._mask = (1 << (capacity * 2 - 1).bit_length()) - 1
        self._codes: list[str] = []
        self._clear()

    def __len__(self) -> int:
        """Return the number of records remembered."""
        return len(self._keys)

    def get(self, record_id: str) -> Verdict | None:
        """Return what became of a record, or nothing if it is not remembered."""
        place = self._places[self._find(_key(record_id))]
        return None if place == _EMPTY else self._decode(self._verdicts[place])

    def add(self, record_id: str, verdict: Verdict) -> None:
        """Remember a record that is not in the window, and forget the oldest."""
        self._add(_key(record_id), self._encode(verdict))

    def export(self) -> tuple[bytes, list[Verdict]]:
        """Return the ids' digests, oldest first, and their verdicts."""
        keys = self._keys[self._start :] + self._keys[: self._start]
        verdicts = self._verdicts[self._start :] + self._verdicts[: self._start]
        return keys.tobytes(), [self._decode(verdict) for verdict in verdicts]

    def restore(self, keys: bytes, verdicts: list[Verdict]) -> None:
        """Hold what ``export`` returned in place of everything held now."""
        self._clear()
        restored = array("Q")
        restored.frombytes(keys)
        for key, verdict in zip(restored, verdicts, strict=True):
            self._add(key, self._encode(verdict))

    def _clear(self) -> None:
        self._keys = array("Q")
        self._verdicts = array("q")
        self._start = 0
        self._places = array("i", [_EMPTY]) * (self._mask + 1)

    def _add(self, key: int, verdict: int) -> None:
        place = len(self._keys)
        if place < self._capacity:
            self._keys.append(key)
            self._verdicts.append(verdict)
        else:
            place = self._start
            self._forget(self._keys[place])
            self._keys[place] = key
            self._verdicts[place] = verdict
            self._start = (place + 1) % self._capacity
        self._places[self._find(key)] = place

    def _find(self, key: int) -> int:
        """Return the slot that holds a key, or the empty one where it would go."""
        slot = key & self._mask
        while (place := self._places[slot]) != _EMPTY and self._keys[place] != key:
            slot = (slot + 1) & self._mask
        return slot

    def _forget(self, key: int) -> None:
        """Empty a key's slot, and move up what lies behind it.

        A gap would end the search for a key that had to go further, and a late copy of
        a remembered record would be folded as new.
        """
        gap = self._find(key)
        slot = gap
        while True:
            slot = (slot + 1) & self._mask
            place = self._places[slot]
            if place == _EMPTY:
                break
            home = self._keys[place] & self._mask
            if (slot - home) & self._mask >= (slot - gap) & self._mask:
                self._places[gap] = place
                gap = slot
        self._places[gap] = _EMPTY

    def _encode(self, verdict: Verdict) -> int:
        if isinstance(verdict, int):
            return verdict
        if verdict not in self._codes:
            self._codes.append(verdict)
        return -1 - self._codes.index(verdict)

    def _decode(self, verdict: int) -> Verdict:
        return verdict if verdict >= 0 else self._codes[-1 - verdict]


def _key(record_id: str) -> int:
    return xxhash.xxh3_64_intdigest(record_id.encode())
