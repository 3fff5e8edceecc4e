"""Test that repeated work takes no more than its share of a process's time."""

from __future__ import annotations

import pytest

from mustardward.helpers.duty import DutyCycle


def test_cheap_work_is_done_as_often_as_wanted() -> None:
    assert DutyCycle(0.1, 0.2, 10.0).pause(0.0) == 0.1
    assert DutyCycle(0.1, 0.2, 10.0).pause(0.02) == 0.1


@pytest.mark.parametrize("spent", [0.03, 0.1, 2.0])
def test_dear_work_takes_its_share_however_dear_it_is(spent: float) -> None:
    """Symptom: an owner of 3,000 instances is late with its renewals, and is replaced.

    Load: looking over the instances takes a third of its time, ten times a second.
    """
    pause = DutyCycle(0.1, 0.2, 10.0).pause(spent)
    assert spent / (spent + pause) == pytest.approx(0.2)


def test_a_process_that_was_frozen_does_not_rest_for_it() -> None:
    """Symptom: an owner that was frozen for four seconds orders nothing for 22 more.

    Sequence: it was stopped in the middle of a look, and went on. Cause: the time until
    then counted as work.
    """
    assert DutyCycle(0.1, 0.15, 2.0).pause(4.0) == 2.0
