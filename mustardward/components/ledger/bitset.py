"""Encode the indices of a step's completed tasks as a bit set.

Every entry node reads the stored progress of every job, some over links of 10 Mbit/s,
and a job's progress is rewritten with each task that completes. With one record per
completed task, the total would grow with the square of the job's task count.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator


def pack_indices(indices: Iterable[int]) -> bytes:
    """Return indices as a little-endian bit set."""
    bits = 0
    for index in indices:
        bits |= 1 << index
    return bits.to_bytes((bits.bit_length() + 7) // 8, "little")


def unpack_indices(packed: bytes) -> Iterator[int]:
    """Yield the indices of a little-endian bit set in ascending order."""
    bits = int.from_bytes(packed, "little")
    index = 0
    while bits:
        if bits & 1:
            yield index
        bits >>= 1
        index += 1
