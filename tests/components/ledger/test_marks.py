"""Test the packed form of a step's done tasks."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from mustardward.components.ledger.marks import pack_indices, unpack_indices


@given(st.sets(st.integers(0, 400)))
def test_what_is_packed_is_unpacked(indices: set[int]) -> None:
    assert list(unpack_indices(pack_indices(indices))) == sorted(indices)


def test_a_hundred_done_tasks_take_little() -> None:
    assert len(pack_indices(range(100))) == 13
