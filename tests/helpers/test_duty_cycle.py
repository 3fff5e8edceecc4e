"""Test that periodic work takes no more than its share of a process's time."""

from __future__ import annotations

import pytest

from mustardward.helpers.duty_cycle import DutyCycle


def test_short_runs_use_the_minimum_pause() -> None:
    assert DutyCycle(0.1, 0.2, 10.0).pause(0.0) == 0.1
    assert DutyCycle(0.1, 0.2, 10.0).pause(0.02) == 0.1


@pytest.mark.parametrize("spent", [0.03, 0.1, 2.0])
def test_long_runs_take_at_most_their_share(spent: float) -> None:
    """Guard against an owner of 3,000 instances that renews late and is replaced.

    Scanning the instances ten times a second takes a third of its time.
    """
    pause = DutyCycle(0.1, 0.2, 10.0).pause(spent)
    assert spent / (spent + pause) == pytest.approx(0.2)


def test_suspension_during_a_run_does_not_extend_the_pause() -> None:
    """Guard against an owner that is idle for 22 s after a suspension of 4 s.

    It is suspended during a scan, and the time of the suspension counts as work.
    """
    assert DutyCycle(0.1, 0.15, 2.0).pause(4.0) == 2.0
