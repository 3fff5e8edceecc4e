"""Test that a step of the wall clock frees no instance that was just ordered."""

from __future__ import annotations

import pytest

from mustardward.components.ledger.appender import GroupAppender
from mustardward.components.ownership.renewals import Renewals
from mustardward.helpers.timer import DrivenTimerService

pytestmark = pytest.mark.anyio

LEASE_SECONDS = 3.0
MACHINE = "m-00"


class SteppedTimers(DrivenTimerService):
    """Provide a wall clock that can be stepped."""

    step_seconds = 0.0

    def wall(self) -> float:
        return super().wall() + self.step_seconds


@pytest.mark.parametrize("step_seconds", [0.0, 5.0])
@pytest.mark.parametrize("elapsed_seconds", [1.0, LEASE_SECONDS + 0.1])
def test_ordered_instance_is_named_for_one_lease(
    step_seconds: float, elapsed_seconds: float
) -> None:
    """Guard against two owners that order one instance within a lease."""
    timers = SteppedTimers()
    appender: GroupAppender = None  # type: ignore[assignment]
    renewals = Renewals(2, "c", "node-1", timers, appender, LEASE_SECONDS)
    renewals._ordered[MACHINE] = timers.wall()
    timers.step_seconds = step_seconds
    timers.pause(elapsed_seconds)
    (record,) = renewals.due_records(with_others=True)
    assert (MACHINE.encode() in record[1]) == (elapsed_seconds < LEASE_SECONDS)
