"""Store the verdicts on the latest records by record id."""

from __future__ import annotations

from array import array
from typing import Final

import xxhash

DEDUPE_WINDOW: Final = 65_536
_EMPTY: Final = -1

Verdict = int | str
"""Revision of an accepted record, or the code of its refusal."""


class DedupeWindow:
    """Store the verdicts on a fixed number of the latest records.

    Ids are stored as 64-bit digests in a ring buffer and found through an
    open-addressed hash table of ring indexes. Arrays of numbers take a fifth of the
    memory of a dict of objects, in every entry process and for each stream.

    :param capacity: maximum number of records stored.
    """

    def __init__(self, capacity: int = DEDUPE_WINDOW) -> None:
        self._capacity = capacity
        self._mask = (1 << (capacity * 2 - 1).bit_length()) - 1
        self._codes: list[str] = []
        self._clear()

    def __len__(self) -> int:
        """Return the number of records stored."""
        return len(self._keys)

    def get(self, record_id: str) -> Verdict | None:
        """Return the verdict on a record, or ``None`` if it is not in the window."""
        position = self._table[self._find_slot(_key(record_id))]
        return None if position == _EMPTY else self._decode(self._verdicts[position])

    def add(self, record_id: str, verdict: Verdict) -> None:
        """Add a record that is not in the window, and drop the oldest if it is full."""
        self._add(_key(record_id), self._encode(verdict))

    def export(self) -> tuple[bytes, list[Verdict]]:
        """Return the digests of the ids, oldest first, and their verdicts."""
        keys = self._keys[self._start :] + self._keys[: self._start]
        verdicts = self._verdicts[self._start :] + self._verdicts[: self._start]
        return keys.tobytes(), [self._decode(verdict) for verdict in verdicts]

    def restore(self, keys: bytes, verdicts: list[Verdict]) -> None:
        """Replace the contents by what ``export`` returned."""
        self._clear()
        restored = array("Q")
        restored.frombytes(keys)
        for key, verdict in zip(restored, verdicts, strict=True):
            self._add(key, self._encode(verdict))

    def _clear(self) -> None:
        self._keys = array("Q")
        self._verdicts = array("q")
        self._start = 0
        self._table = array("i", [_EMPTY]) * (self._mask + 1)

    def _add(self, key: int, verdict: int) -> None:
        position = len(self._keys)
        if position < self._capacity:
            self._keys.append(key)
            self._verdicts.append(verdict)
        else:
            position = self._start
            self._remove(self._keys[position])
            self._keys[position] = key
            self._verdicts[position] = verdict
            self._start = (position + 1) % self._capacity
        self._table[self._find_slot(key)] = position

    def _find_slot(self, key: int) -> int:
        """Return the table slot of a key, or the empty slot where it belongs."""
        slot = key & self._mask
        while (position := self._table[slot]) != _EMPTY and self._keys[position] != key:
            slot = (slot + 1) & self._mask
        return slot

    def _remove(self, key: int) -> None:
        """Empty a key's table slot and move later keys of its probe sequence up.

        A gap would end the search for a key further along, and a late copy of a stored
        record would be applied as new.
        """
        gap = self._find_slot(key)
        slot = gap
        while True:
            slot = (slot + 1) & self._mask
            position = self._table[slot]
            if position == _EMPTY:
                break
            preferred = self._keys[position] & self._mask
            if (slot - preferred) & self._mask >= (slot - gap) & self._mask:
                self._table[gap] = position
                gap = slot
        self._table[gap] = _EMPTY

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
