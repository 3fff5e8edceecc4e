"""Encode the indices of a step's completed tasks as a bit set.

Every entry node reads the stored progress of every job, some over links of 10 Mbit/s,
and a job's progress is rewritten with each task that completes. With one record per
completed task, the total would grow with the square of the job's task count.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator


def pack_indices(indices: Iterable[int]) -> bytes:
    """Return indices as a little-endian bit set."""
    packed = bytearray()
    for index in indices:
        add_index(packed, index)
    return bytes(packed)


def add_index(packed: bytearray, index: int) -> None:
    """Add an index to a little-endian bit set."""
    position = index >> 3
    if position >= len(packed):
        packed.extend(bytes(position + 1 - len(packed)))
    packed[position] |= 1 << (index & 7)


def has_index(packed: bytes | bytearray, index: int) -> bool:
    """Return whether a little-endian bit set contains an index."""
    position = index >> 3
    return position < len(packed) and bool(packed[position] >> (index & 7) & 1)


def missing_ranges(packed: bytes | bytearray, count: int) -> list[range]:
    """Return the ranges of indices below a count that a bit set does not contain."""
    ranges: list[range] = []
    start = 0
    for index in unpack_indices(bytes(packed)):
        if index >= count:
            break
        if index > start:
            ranges.append(range(start, index))
        start = index + 1
    if start < count:
        ranges.append(range(start, count))
    return ranges


def unpack_indices(packed: bytes) -> Iterator[int]:
    """Yield the indices of a little-endian bit set in ascending order."""
    for position, value in enumerate(packed):
        if value:
            for bit in range(8):
                if value >> bit & 1:
                    yield 8 * position + bit
