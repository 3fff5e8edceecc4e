"""Test sets of indices that are held as ranges."""

from __future__ import annotations

import random

import pytest

from mustardward.components.ledger.index_ranges import IndexRanges


@pytest.mark.parametrize("seed", range(20))
def test_ranges_are_equal_to_a_plain_set(seed: int) -> None:
    """Guards against an index that is lost or added where two ranges meet."""
    rng = random.Random(seed)
    ranges = IndexRanges()
    expected: set[int] = set()
    for _ in range(200):
        start = rng.randrange(120)
        end = start + rng.choice((1, 1, 1, rng.randrange(1, 12)))
        ranges.add_range(start, end)
        expected.update(range(start, end))
        limit = rng.randrange(140)
        assert ranges.count == len(expected)
        assert ranges.end == max(expected) + 1
        assert ranges.count_below(limit) == sum(n < limit for n in expected)
        assert ranges.first_missing(limit) == next(
            n for n in range(limit, 300) if n not in expected
        )
        assert (limit in ranges) == (limit in expected)
        assert IndexRanges.unpack(ranges.pack(), 300) == ranges


def test_indices_in_order_are_one_range() -> None:
    """Guards against a record that grows with the number of indices."""
    ranges = IndexRanges()
    for index in range(1000):
        ranges.add(index)
    assert ranges.pack() == [0, 1000]


@pytest.mark.parametrize(
    ("packed", "indices"),
    [
        ([], []),
        ([2], []),
        ([3, 1], []),
        ([-1, 2], []),
        ([0, 9], [0, 1, 2, 3]),
        ([5, 9], []),
        ([2, 3, 0, 1], [0, 2]),
    ],
)
def test_bounds_of_another_writer_are_read_as_far_as_they_are_valid(
    packed: list[int], indices: list[int]
) -> None:
    """Guards against an index beyond the limit, which no job has."""
    ranges = IndexRanges.unpack(packed, 4)
    assert [n for n in range(10) if n in ranges] == indices
