"""Test the bit set of a step's completed tasks."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from mustardward.components.ledger.bitset import pack_indices, unpack_indices


@given(st.sets(st.integers(0, 400)))
def test_unpack_reverses_pack(indices: set[int]) -> None:
    assert list(unpack_indices(pack_indices(indices))) == sorted(indices)


def test_a_hundred_indices_take_13_bytes() -> None:
    assert len(pack_indices(range(100))) == 13
