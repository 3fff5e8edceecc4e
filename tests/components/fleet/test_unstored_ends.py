"""Test that a worker with ends that are not stored keeps its instance."""

from __future__ import annotations

import pytest

from mustardward.components.fleet.const import MIN_POOL_INSTANCES
from mustardward.components.fleet.models import Maintain, Move

from .builders import OTHER, a_wave, an_instance
from .test_cordons import FleetHarness

NUMBERS = range(MIN_POOL_INSTANCES + 1)


def a_fleet() -> FleetHarness:
    """Return a fleet whose workers all have ends that the log does not contain yet."""
    instances = [an_instance(number) for number in NUMBERS]
    instances.append(an_instance(len(NUMBERS), OTHER))
    fleet = FleetHarness(instances)
    for worker in fleet.bench.scheduler.state.workers.values():
        worker.unstored_ends = 1
    return fleet


def store_ends(fleet: FleetHarness) -> None:
    """Record that the log contains the ends of all workers."""
    for worker in fleet.bench.scheduler.state.workers.values():
        worker.unstored_ends = 0


@pytest.mark.parametrize("kind", [Move, Maintain])
def test_no_order_ends_a_worker_that_holds_unstored_ends(
    kind: type[Move | Maintain],
) -> None:
    """Guard against ends that are lost with the owner, as an order ended their worker.

    The announcement of the order may be stored before these ends are.
    """
    fleet = a_fleet()
    if kind is Maintain:
        fleet.wave_planner.runs[1] = a_wave(["m-00"])
    fleet.apply_list(fleet.instances)
    fleet.apply_list(fleet.instances)
    assert not any(isinstance(order, kind) for order in fleet.orders)
    store_ends(fleet)
    fleet.apply_list(fleet.instances)
    assert any(isinstance(order, kind) for order in fleet.orders)


def test_a_wave_drains_a_worker_that_holds_unstored_ends() -> None:
    """Guard against tasks that start while the ends before them are being stored."""
    fleet = a_fleet()
    fleet.wave_planner.runs[1] = a_wave(["m-00"])
    fleet.apply_list(fleet.instances)
    assert fleet.worker("i-00").cordoned
