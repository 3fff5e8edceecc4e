"""Compare the dedupe window with an ordered dict."""

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
def test_window_stores_the_latest_records_despite_collisions(
    capacity: int,
    stride: int,
    steps: list[tuple[int, Verdict]],
    restore_at: int,
) -> None:
    """Guard against applying a late copy of a record as new.

    Several digests map to the same table slot, and the first of them is removed. Its
    empty slot must not end the search for the others.
    """
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(window, "_key", lambda name: int(name) * stride + 2)
        dedupe_window = DedupeWindow(capacity)
        expected: OrderedDict[str, Verdict] = OrderedDict()
        for number, (name, verdict) in enumerate(steps):
            if number == restore_at:
                exported = dedupe_window.export()
                dedupe_window = DedupeWindow(capacity)
                dedupe_window.restore(*exported)
            if str(name) in expected:
                continue
            dedupe_window.add(str(name), verdict)
            expected[str(name)] = verdict
            if len(expected) > capacity:
                expected.popitem(last=False)
            assert len(dedupe_window) == len(expected)
            for other in range(31):
                assert dedupe_window.get(str(other)) == expected.get(str(other))
