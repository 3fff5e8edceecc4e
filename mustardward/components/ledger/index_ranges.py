"""Hold a set of indices as ranges, so that its size depends only on its gaps."""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Iterable
from dataclasses import dataclass, field


@dataclass(slots=True)
class IndexRanges:
    """Hold non-negative indices as sorted ranges that neither overlap nor touch.

    :param count: number of indices.
    """

    count: int = 0
    _starts: list[int] = field(default_factory=list)
    _ends: list[int] = field(default_factory=list)

    @property
    def end(self) -> int:
        """Return the index after the last one, or 0 without any."""
        return self._ends[-1] if self._ends else 0

    def __contains__(self, index: int) -> bool:
        """Return whether an index is in the set."""
        position = bisect_right(self._starts, index) - 1
        return position >= 0 and index < self._ends[position]

    def add(self, index: int) -> None:
        """Add an index."""
        self.add_range(index, index + 1)

    def add_range(self, start: int, end: int) -> None:
        """Add all indices from a start to before an end."""
        first = bisect_right(self._starts, start)
        if first and self._ends[first - 1] >= start:
            first -= 1
            start = self._starts[first]
        last = bisect_right(self._starts, end)
        if last > first:
            end = max(end, self._ends[last - 1])
        replaced = zip(self._starts[first:last], self._ends[first:last], strict=True)
        self.count += end - start - sum(stop - begin for begin, stop in replaced)
        self._starts[first:last] = [start]
        self._ends[first:last] = [end]

    def first_missing(self, index: int) -> int:
        """Return the first index from a given one on that is not in the set."""
        position = bisect_right(self._starts, index) - 1
        return max(index, self._ends[position]) if position >= 0 else index

    def count_below(self, limit: int) -> int:
        """Return how many indices are below a limit."""
        position = bisect_right(self._starts, limit)
        pairs = zip(self._starts[:position], self._ends[:position], strict=True)
        return sum(min(end, limit) - start for start, end in pairs)

    def pack(self) -> list[int]:
        """Return the ranges as a flat list of starts and ends."""
        pairs = zip(self._starts, self._ends, strict=True)
        return [bound for pair in pairs for bound in pair]

    @classmethod
    def unpack(cls, packed: Iterable[int], limit: int) -> IndexRanges:
        """Return the set of a packed list, without indices from a limit on.

        Bounds that are out of order are skipped, as a record may have another writer.
        """
        ranges = cls()
        bounds = iter(packed)
        for start, end in zip(bounds, bounds, strict=False):
            end = min(end, limit)
            if 0 <= start < end:
                ranges.add_range(start, end)
        return ranges
