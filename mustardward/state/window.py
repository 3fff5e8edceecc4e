"""Remember what became of the latest records, by record id."""

from __future__ import annotations

from array import array
from sys import intern
from typing import Final

import xxhash

DEDUPE_WINDOW: Final = 65_536

Verdict = int | str
"""Revision of an accepted record, or the code of its refusal."""


class DedupeWindow:
    """Hold the verdicts of the latest records within a fixed count.

    Ids are kept as 64-bit digests in a ring: the window of an entry then takes a few
    megabytes where the ids themselves took four times as much.

    :param capacity: number of records remembered.
    """

    def __init__(self, capacity: int = DEDUPE_WINDOW) -> None:
        self._capacity = capacity
        self._ring = array("Q")
        self._start = 0
        self._verdicts: dict[int, Verdict] = {}

    def __len__(self) -> int:
        """Return the number of records remembered."""
        return len(self._ring)

    def get(self, record_id: str) -> Verdict | None:
        """Return what became of a record, or nothing if it is not remembered."""
        return self._verdicts.get(_key(record_id))

    def add(self, record_id: str, verdict: Verdict) -> None:
        """Remember a record that is not in the window, and forget the oldest."""
        key = _key(record_id)
        self._verdicts[key] = intern(verdict) if isinstance(verdict, str) else verdict
        if len(self._ring) < self._capacity:
            self._ring.append(key)
            return
        self._verdicts.pop(self._ring[self._start], None)
        self._ring[self._start] = key
        self._start = (self._start + 1) % self._capacity

    def export(self) -> tuple[bytes, list[Verdict]]:
        """Return the ids' digests, oldest first, and their verdicts."""
        ordered = self._ring[self._start :] + self._ring[: self._start]
        return ordered.tobytes(), [self._verdicts[key] for key in ordered]

    def restore(self, keys: bytes, verdicts: list[Verdict]) -> None:
        """Hold what ``export`` returned in place of everything held now."""
        ring = array("Q")
        ring.frombytes(keys)
        self._ring = ring[-self._capacity :]
        self._start = 0
        self._verdicts = {
            key: intern(verdict) if isinstance(verdict, str) else verdict
            for key, verdict in zip(ring, verdicts, strict=True)
        }


def _key(record_id: str) -> int:
    return xxhash.xxh3_64_intdigest(record_id.encode())
