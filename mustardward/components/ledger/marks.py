"""Pack the numbers of a step's done tasks.

All entries read what is stored of every job, some over links of 10 Mbit/s, and a job's
progress is stored anew with each of its ends: a mark for each done task made it grow
with the square of the job's tasks.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator


def pack_indices(indices: Iterable[int]) -> bytes:
    """Return numbers as a set of bits, the lowest first."""
    bits = 0
    for index in indices:
        bits |= 1 << index
    return bits.to_bytes((bits.bit_length() + 7) // 8, "little")


def unpack_indices(packed: bytes) -> Iterator[int]:
    """Yield the numbers of a set of bits, the lowest first."""
    bits = int.from_bytes(packed, "little")
    index = 0
    while bits:
        if bits & 1:
            yield index
        bits >>= 1
        index += 1
