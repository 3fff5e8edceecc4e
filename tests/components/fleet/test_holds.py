"""Test that no instance is left out of use for longer than its reason lasts."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from types import SimpleNamespace

import pytest

from mustardward.components.fleet.const import LEAST_INSTANCES, MOVE_LOST_SECONDS
from mustardward.components.fleet.models import Maintain, Move
from mustardward.components.fleet.ordering import OrderOutcome
from mustardward.components.fleet.pools import PoolPlanner
from mustardward.components.fleet.services import Fleet
from mustardward.components.fleet.waves import WavePlanner
from mustardward.components.scheduling.losses import LossCause
from mustardward.components.scheduling.worker_state import WorkerState
from mustardward.platform.models import Instance

from ..scheduling.builders import SchedulerBench, a_job, a_step
from .builders import OTHER, POOL, STANDBY, a_view, a_wave, an_instance

MOVE_SECONDS = 1.5
MAINTENANCE_SECONDS = 2.0


@dataclass(slots=True)
class FleetBench:
    """Drive a fleet by lists; orders are noted, and the platform answers none.

    :param orders: what was to be ordered.
    :param lost: the workers that were taken for gone.
    """

    instances: list[Instance]
    bench: SchedulerBench = field(default_factory=SchedulerBench)
    orders: list[object] = field(default_factory=list)
    lost: list[str] = field(default_factory=list)
    outcome: OrderOutcome = OrderOutcome.BEGUN
    waves: WavePlanner = field(default_factory=lambda: WavePlanner(MAINTENANCE_SECONDS))
    fleet: Fleet = field(init=False)

    def __post_init__(self) -> None:
        """Make the fleet, and a worker for each instance that is on."""
        self.fleet = Fleet(
            listing=None,  # type: ignore[arg-type]
            ordering=SimpleNamespace(async_give=self._async_give),  # type: ignore[arg-type]
            barred={},
            timers=SimpleNamespace(monotonic=lambda: self.bench.now),  # type: ignore[arg-type]
            scheduler=self.bench.scheduler,
            dispatcher=SimpleNamespace(remove_worker=self._lose),  # type: ignore[arg-type]
            configuration=SimpleNamespace(  # type: ignore[arg-type]
                standby_pools=lambda: [STANDBY], config=None
            ),
            ledger=None,  # type: ignore[arg-type]
            ledger_appender=SimpleNamespace(post=lambda records: None),  # type: ignore[arg-type]
            planner=self.waves,
            telling=SimpleNamespace(tell=lambda view, now: []),  # type: ignore[arg-type]
            pools=PoolPlanner(MOVE_SECONDS),
            authorised=lambda: True,
            tasks=SimpleNamespace(start_soon=self._start),  # type: ignore[arg-type]
        )
        for instance in self.instances:
            if instance.id is not None:
                self.bench.worker(instance.id, service=instance.pool)

    def worker(self, name: str) -> WorkerState:
        """Return a worker."""
        return self.bench.scheduler.state.workers[name]

    def look(self, instances: list[Instance]) -> None:
        """Read a list, and decide."""
        self.bench.now += 0.5
        self.fleet._instances = {i.machine: i for i in instances}
        self.fleet._read_at = self.bench.now
        self.fleet._decide()

    def _start(self, call: Callable[[object], object], order: object) -> None:
        self.orders.append(order)

    def _lose(self, worker_id: str, cause: LossCause) -> None:
        self.lost.append(worker_id)

    async def _async_give(self, order: object) -> OrderOutcome:
        return self.outcome


def test_a_pool_whose_instance_is_maintained_gets_another() -> None:
    """Guards against a pool of the least size that a wave makes smaller."""
    planner = PoolPlanner(MOVE_SECONDS)
    pool = [an_instance(number) for number in range(LEAST_INSTANCES)]
    others = [an_instance(number, OTHER) for number in (4, 5)]
    view = a_view([*pool, *others, an_instance(8, STANDBY)])
    assert planner.decide(view, {}, {"m-00"}, 0.0) == [Move("m-08", POOL)]


@pytest.mark.anyio
async def test_a_refused_move_gives_its_worker_back() -> None:
    """Guards against a worker that stays left out for a move that never comes."""
    instances = [an_instance(number) for number in range(3)]
    fleet = FleetBench(instances, outcome=OrderOutcome.REFUSED)
    fleet.look(instances)
    fleet.bench.scheduler.set_leaving("i-00", True, fleet.bench.now)
    await fleet.fleet._async_move(Move("m-00", OTHER))
    assert not fleet.worker("i-00").leaving


def test_a_worker_that_was_emptied_is_used_again_if_its_wave_ends_without_it() -> None:
    """Guards against a worker that is left out since a list did not name it once."""
    instances = [an_instance(number) for number in range(8)]
    fleet = FleetBench(instances)
    fleet.bench.add(a_job(a_step(count=1, long_running=True)))
    (start,) = fleet.bench.plan_starts()
    fleet.waves.runs[1] = a_wave([start.worker.replace("i", "m")])
    fleet.look(instances)
    assert fleet.worker(start.worker).leaving
    fleet.look([i for i in instances if i.id != start.worker])
    fleet.look(instances)
    held = start.worker.replace("i", "m") in fleet.waves.taken()
    assert held or not fleet.worker(start.worker).leaving


def an_emptying_fleet() -> tuple[FleetBench, str, str]:
    """Return a fleet with a wave's instance whose worker is being emptied."""
    instances = [an_instance(number) for number in range(8)]
    fleet = FleetBench(instances)
    fleet.bench.add(a_job(a_step(count=1, long_running=True)))
    (start,) = fleet.bench.plan_starts()
    machine = start.worker.replace("i", "m")
    fleet.waves.runs[1] = a_wave([machine])
    fleet.look(instances)
    assert fleet.worker(start.worker).leaving
    return fleet, machine, start.worker


def test_a_worker_whose_instance_is_not_up_for_a_moment_is_emptied_anew() -> None:
    """Guards against a worker that is left out though no wave holds it any more."""
    fleet, machine, worker_id = an_emptying_fleet()
    up = dict(fleet.fleet._instances)
    number = int(machine[2:])
    fleet.look([*up.values(), an_instance(number, state="down")])
    assert not fleet.worker(worker_id).leaving
    fleet.look(list(up.values()))
    assert fleet.worker(worker_id).leaving


def test_a_worker_that_came_where_one_was_emptied_is_emptied_too() -> None:
    """Guards against an instance that is never empty, and holds its wave's place."""
    fleet, machine, _ = an_emptying_fleet()
    fleet.bench.worker("i-90")
    new = an_instance(int(machine[2:]), id="i-90")
    fleet.look([*fleet.fleet._instances.values(), new])
    assert fleet.worker("i-90").leaving


def an_order_without_an_answer() -> tuple[FleetBench, str]:
    """Return a fleet whose pool gave an instance away, and its worker."""
    instances = [an_instance(number) for number in range(LEAST_INSTANCES + 1)]
    instances += [an_instance(number, OTHER) for number in range(4, 5)]
    fleet = FleetBench(instances, outcome=OrderOutcome.UNKNOWN)
    fleet.look(instances)
    (order,) = fleet.fleet.pools.orders.values()
    return fleet, order.machine.replace("m", "i")


def test_a_worker_is_left_out_until_its_move_is_seen() -> None:
    """Guards against tasks that a move under way would end."""
    fleet, worker_id = an_order_without_an_answer()
    instances = list(fleet.fleet._instances.values())
    assert fleet.worker(worker_id).leaving
    fleet.fleet.pools.accepted(worker_id.replace("i", "m"), fleet.bench.now)
    fleet.look(instances)
    assert fleet.worker(worker_id).leaving


def test_a_worker_whose_move_no_list_shows_is_used_again() -> None:
    """Guards against a worker that is left out for a move that is not carried out."""
    fleet, worker_id = an_order_without_an_answer()
    instances = list(fleet.fleet._instances.values())
    fleet.fleet.pools.accepted(worker_id.replace("i", "m"), fleet.bench.now)
    # With nothing to give away it is not ordered anew.
    fleet.bench.add(a_job(a_step(count=1, long_running=True, cpu=20_000)))
    until = fleet.bench.now + MOVE_LOST_SECONDS
    while fleet.bench.now <= until:
        fleet.look(instances)
    assert not fleet.worker(worker_id).leaving


@pytest.mark.anyio
async def test_an_order_that_is_skipped_is_given_again() -> None:
    """Guards against a worker that is left out for an order that nobody gives."""
    fleet, worker_id = an_order_without_an_answer()
    fleet.outcome = OrderOutcome.SKIPPED
    (order,) = fleet.orders
    assert isinstance(order, Move)
    await fleet.fleet._async_move(order)
    fleet.look(list(fleet.fleet._instances.values()))
    assert fleet.orders == [order, order]
    fleet.outcome = OrderOutcome.REFUSED
    await fleet.fleet._async_move(order)
    assert not fleet.worker(worker_id).leaving


def test_a_worker_that_came_before_its_instance_moved_is_left_out() -> None:
    """Guards against tasks that an order which is repeated would end."""
    fleet, worker_id = an_order_without_an_answer()
    fleet.bench.worker("i-90")
    new = an_instance(int(worker_id[2:]), id="i-90")
    fleet.look([*fleet.fleet._instances.values(), new])
    assert fleet.worker("i-90").leaving


def test_a_worker_that_came_after_its_instance_moved_is_used() -> None:
    """Guards against a new worker that is left out for an order to the one before."""
    fleet, worker_id = an_order_without_an_answer()
    fleet.bench.worker("i-90", service=OTHER)
    moved = an_instance(int(worker_id[2:]), OTHER, id="i-90")
    fleet.look([*fleet.fleet._instances.values(), moved])
    assert not fleet.worker("i-90").leaving


def test_an_instance_whose_worker_is_lost_does_not_count_for_its_pool() -> None:
    """Guards against a step that spreads and waits for a worker that is gone.

    The list shows an instance as up for as long as its data centre is cut off.
    """
    instances = [an_instance(number, POOL) for number in range(3)]
    instances += [an_instance(number, OTHER) for number in range(4, 8)]
    fleet = FleetBench(instances)
    fleet.bench.add(a_job(a_step(count=3, long_running=True, max_per_server=1)))
    assert len(fleet.bench.plan_starts()) == 3
    fleet.bench.scheduler.remove_worker(
        "i-00", LossCause.LEASES_EXPIRED, fleet.bench.now
    )
    fleet.look(instances)
    assert [order.pool for order in fleet.orders if isinstance(order, Move)] == [POOL]


@pytest.mark.anyio
async def test_an_answer_that_comes_late_loses_no_worker_that_came_since() -> None:
    """Guards against a new worker that is taken for the one before the move.

    The first orders had no answer, and the list shows the move before the next has one.
    """
    instances = [an_instance(number) for number in range(3)]
    fleet = FleetBench(instances)
    fleet.bench.worker("i-90", service=OTHER)
    fleet.look([an_instance(0, OTHER, id="i-90"), *instances[1:]])
    await fleet.fleet._async_move(Move("m-00", OTHER))
    assert "i-90" not in fleet.lost


@pytest.mark.anyio
@pytest.mark.parametrize("kind", ["move", "maintenance"])
async def test_an_answer_loses_the_worker_that_its_order_was_decided_for(
    kind: str,
) -> None:
    """Guards against a lookup after the call, and against none being lost at all.

    The second time a worker has started again under the same id meanwhile.
    """
    instances = [an_instance(number) for number in range(LEAST_INSTANCES + 1)]
    instances += [an_instance(4, OTHER)]
    for came_since in (False, True):
        fleet = FleetBench(instances)
        for worker in fleet.bench.scheduler.state.workers.values():
            worker.born = 1000
        if kind == "maintenance":
            fleet.waves.runs[1] = a_wave(["m-04"])
            fleet.look(instances)
        fleet.look(instances)
        wanted = Move if kind == "move" else Maintain
        order = next(order for order in fleet.orders if isinstance(order, wanted))
        worker_id = order.machine.replace("m", "i")
        fleet.worker(worker_id).born += came_since
        if isinstance(order, Move):
            await fleet.fleet._async_move(order)
        else:
            await fleet.fleet._async_maintain(order)
        assert fleet.lost == ([] if came_since else [worker_id])
