"""Test the profile of a pool's work."""

from __future__ import annotations

import pytest

from mustardward.components.pool_sizing.const import CELL_SECONDS, CELLS
from mustardward.components.pool_sizing.work_profile import WorkProfile
from mustardward.platform.models import Room

SIZE = Room(cpu=8000, mem_mb=8000)


def test_tasks_use_their_room_from_their_start_until_their_end() -> None:
    profile = WorkProfile()
    profile.add(Room(cpu=4000), 1.0, count=4, start=0.5)
    cells = profile.in_instances(SIZE)
    assert cells[:5] == pytest.approx([0.0] * 5)
    assert cells[5:15] == pytest.approx([2.0] * 10)
    assert cells[15:] == pytest.approx([0.0] * (CELLS - 15))


def test_the_scarcest_resource_counts() -> None:
    """Guard against a pool without memory for its work."""
    profile = WorkProfile()
    profile.add(Room(cpu=1000, mem_mb=4000), 1.0, count=4)
    assert profile.in_instances(SIZE)[0] == pytest.approx(2.0)


def test_work_beyond_the_projection_is_left_out() -> None:
    profile = WorkProfile()
    profile.add(Room(cpu=8000), 10.0)
    profile.add(Room(cpu=8000), 1.0, start=CELLS * CELL_SECONDS)
    assert profile.in_instances(SIZE) == pytest.approx([1.0] * CELLS)


def test_a_task_whose_end_is_due_still_uses_its_room() -> None:
    """Guard against counting the room of a running task as free."""
    profile = WorkProfile()
    profile.add(Room(cpu=8000), 0.0)
    assert profile.in_instances(SIZE)[0] == pytest.approx(1.0)


def test_huge_work_does_not_hide_that_of_others() -> None:
    """Guard against a projection that loses ordinary work by rounding."""
    profile = WorkProfile()
    profile.add(Room(cpu=2**53), seconds=1.0, count=100_000)
    profile.add(Room(cpu=8000), seconds=3.0, count=3)
    cells = profile.in_instances(Room(cpu=8000, mem_mb=1000))
    assert cells[round(2.0 / CELL_SECONDS)] == pytest.approx(3.0, abs=0.01)
