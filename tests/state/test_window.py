"""Compare the dedupe window with a plain ordered map."""

from __future__ import annotations

from collections import OrderedDict

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from mustardward.state import window
from mustardward.state.window import DedupeWindow, Verdict

verdicts = st.one_of(st.integers(0, 2**40), st.sampled_from(["stale", "unknown"]))


@settings(max_examples=200, deadline=None, derandomize=True)
@given(
    capacity=st.integers(1, 9),
    stride=st.sampled_from([1, 3, 16, 32]),
    steps=st.lists(st.tuples(st.integers(0, 30), verdicts), max_size=80),
    restore_at=st.integers(0, 80),
)
def test_it_remembers_the_latest_records_whatever_their_digests(
    capacity: int,
    stride: int,
    steps: list[tuple[int, Verdict]],
    restore_at: int,
) -> None:
    """Remember exactly the last records.

    Symptom: a late copy of a record is folded as new. Sequence: digests fall on the
    same slot, the first of them is forgotten. Cause: its slot stays as a gap that ends
    the search for the others.
    """
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(window, "_key", lambda name: int(name) * stride + 2)
        held = DedupeWindow(capacity)
        expected: OrderedDict[str, Verdict] = OrderedDict()
        for number, (name, verdict) in enumerate(steps):
            if number == restore_at:
                exported = held.export()
                held = DedupeWindow(capacity)
                held.restore(*exported)
            if str(name) in expected:
                continue
            held.add(str(name), verdict)
            expected[str(name)] = verdict
            if len(expected) > capacity:
                expected.popitem(last=False)
            assert len(held) == len(expected)
            for other in range(31):
                assert held.get(str(other)) == expected.get(str(other))
