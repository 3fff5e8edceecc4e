"""Test that workers are cordoned exactly while an order or a wave requires it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from types import SimpleNamespace

import pytest

from mustardward.components.fleet.const import MIN_POOL_INSTANCES, MOVE_TIMEOUT_SECONDS
from mustardward.components.fleet.models import Maintain, Move
from mustardward.components.fleet.order_executor import OrderOutcome
from mustardward.components.fleet.pool_planner import PoolPlanner
from mustardward.components.fleet.services import Fleet
from mustardward.components.fleet.wave_planner import WavePlanner
from mustardward.components.scheduling.losses import LossCause
from mustardward.components.scheduling.worker_state import WorkerState
from mustardward.platform.models import Instance

from ..scheduling.builders import SchedulerBench, a_job, a_step
from .builders import OTHER, POOL, STANDBY, a_view, a_wave, an_instance

MOVE_SECONDS = 1.5
MAINTENANCE_SECONDS = 2.0


@dataclass(slots=True)
class FleetHarness:
    """Drive a fleet by instance lists; record its orders without a response.

    :param orders: the orders that were to be issued.
    :param removed: the workers that were removed.
    """

    instances: list[Instance]
    bench: SchedulerBench = field(default_factory=SchedulerBench)
    orders: list[object] = field(default_factory=list)
    removed: list[str] = field(default_factory=list)
    outcome: OrderOutcome = OrderOutcome.BEGUN
    wave_planner: WavePlanner = field(
        default_factory=lambda: WavePlanner(MAINTENANCE_SECONDS)
    )
    fleet: Fleet = field(init=False)

    def __post_init__(self) -> None:
        """Create the fleet, and a worker for each instance that is on."""
        self.fleet = Fleet(
            list_reader=None,  # type: ignore[arg-type]
            executor=SimpleNamespace(async_execute=self._async_execute),  # type: ignore[arg-type]
            blocked_until={},
            timers=SimpleNamespace(monotonic=lambda: self.bench.now),  # type: ignore[arg-type]
            scheduler=self.bench.scheduler,
            dispatcher=SimpleNamespace(remove_worker=self._remove_worker),  # type: ignore[arg-type]
            configuration=SimpleNamespace(  # type: ignore[arg-type]
                standby_pools=lambda: [STANDBY], config=None, is_loaded=True
            ),
            ledger=None,  # type: ignore[arg-type]
            ledger_appender=SimpleNamespace(post=lambda *_: None),  # type: ignore[arg-type]
            wave_planner=self.wave_planner,
            wave_reporter=SimpleNamespace(report=lambda view, now: []),  # type: ignore[arg-type]
            pool_planner=PoolPlanner(MOVE_SECONDS),
            authorised=lambda: True,
            tasks=SimpleNamespace(start_soon=self._start),  # type: ignore[arg-type]
        )
        for instance in self.instances:
            if instance.id is not None:
                self.bench.worker(instance.id, service=instance.pool)

    def worker(self, name: str) -> WorkerState:
        """Return the state of a worker."""
        return self.bench.scheduler.state.workers[name]

    def apply_list(self, instances: list[Instance]) -> None:
        """Apply an instance list and decide by it."""
        self.bench.now += 0.5
        self.fleet._instances = {i.machine: i for i in instances}
        self.fleet._read_at = self.bench.now
        self.fleet._decide()

    def _start(self, call: Callable[[object], object], order: object) -> None:
        self.orders.append(order)

    def _remove_worker(self, worker_id: str, cause: LossCause) -> None:
        self.removed.append(worker_id)

    async def _async_execute(self, order: object) -> OrderOutcome:
        return self.outcome


def test_a_pool_gets_a_replacement_for_an_instance_in_maintenance() -> None:
    """Guard against a wave that shrinks a pool below its minimum size."""
    planner = PoolPlanner(MOVE_SECONDS)
    pool = [an_instance(number) for number in range(MIN_POOL_INSTANCES)]
    others = [an_instance(number, OTHER) for number in (4, 5)]
    view = a_view([*pool, *others, an_instance(8, STANDBY)])
    assert planner.decide(view, {}, {"m-00"}, 0.0) == [Move("m-08", POOL)]


@pytest.mark.anyio
async def test_a_refused_move_uncordons_its_worker() -> None:
    """Guard against a worker that stays cordoned for a move that doesn't happen."""
    instances = [an_instance(number) for number in range(3)]
    fleet = FleetHarness(instances, outcome=OrderOutcome.REFUSED)
    fleet.apply_list(instances)
    fleet.bench.scheduler.set_cordoned("i-00", True, fleet.bench.now)
    await fleet.fleet._async_move(Move("m-00", OTHER))
    assert not fleet.worker("i-00").cordoned


def test_a_drained_worker_is_uncordoned_if_its_wave_ends_without_it() -> None:
    """Guard against a worker that stays cordoned because one list lacked it."""
    instances = [an_instance(number) for number in range(8)]
    fleet = FleetHarness(instances)
    fleet.bench.add(a_job(a_step(count=1, long_running=True)))
    (start,) = fleet.bench.plan_starts()
    fleet.wave_planner.runs[1] = a_wave([start.worker.replace("i", "m")])
    fleet.apply_list(instances)
    assert fleet.worker(start.worker).cordoned
    fleet.apply_list([i for i in instances if i.id != start.worker])
    fleet.apply_list(instances)
    held = start.worker.replace("i", "m") in fleet.wave_planner.held_machines()
    assert held or not fleet.worker(start.worker).cordoned


def a_draining_fleet() -> tuple[FleetHarness, str, str]:
    """Return a fleet with an instance that a wave drains, and its worker."""
    instances = [an_instance(number) for number in range(8)]
    fleet = FleetHarness(instances)
    fleet.bench.add(a_job(a_step(count=1, long_running=True)))
    (start,) = fleet.bench.plan_starts()
    machine = start.worker.replace("i", "m")
    fleet.wave_planner.runs[1] = a_wave([machine])
    fleet.apply_list(instances)
    assert fleet.worker(start.worker).cordoned
    return fleet, machine, start.worker


def test_a_worker_is_drained_again_after_its_instance_was_down() -> None:
    """Guard against a worker that stays cordoned though no wave drains it."""
    fleet, machine, worker_id = a_draining_fleet()
    up = dict(fleet.fleet._instances)
    number = int(machine[2:])
    fleet.apply_list([*up.values(), an_instance(number, state="down")])
    assert not fleet.worker(worker_id).cordoned
    fleet.apply_list(list(up.values()))
    assert fleet.worker(worker_id).cordoned


def test_a_worker_that_replaces_a_drained_one_is_drained_too() -> None:
    """Guard against an instance that never becomes idle and blocks its wave."""
    fleet, machine, _ = a_draining_fleet()
    fleet.bench.worker("i-90")
    new = an_instance(int(machine[2:]), id="i-90")
    fleet.apply_list([*fleet.fleet._instances.values(), new])
    assert fleet.worker("i-90").cordoned


def an_unanswered_move() -> tuple[FleetHarness, str]:
    """Return a fleet with a move whose order got no response, and its worker."""
    instances = [an_instance(number) for number in range(MIN_POOL_INSTANCES + 1)]
    instances += [an_instance(number, OTHER) for number in range(4, 5)]
    fleet = FleetHarness(instances, outcome=OrderOutcome.UNKNOWN)
    fleet.apply_list(instances)
    (order,) = fleet.fleet.pool_planner.orders.values()
    return fleet, order.machine.replace("m", "i")


def test_a_worker_is_cordoned_until_its_move_is_listed() -> None:
    """Guard against tasks that a move in progress would interrupt."""
    fleet, worker_id = an_unanswered_move()
    instances = list(fleet.fleet._instances.values())
    assert fleet.worker(worker_id).cordoned
    fleet.fleet.pool_planner.record_accepted(
        worker_id.replace("i", "m"), fleet.bench.now
    )
    fleet.apply_list(instances)
    assert fleet.worker(worker_id).cordoned


def test_a_worker_is_uncordoned_if_its_move_is_never_listed() -> None:
    """Guard against a worker that stays cordoned for a move that doesn't happen."""
    fleet, worker_id = an_unanswered_move()
    instances = list(fleet.fleet._instances.values())
    fleet.fleet.pool_planner.record_accepted(
        worker_id.replace("i", "m"), fleet.bench.now
    )
    # The additional work leaves no surplus for another move.
    fleet.bench.add(a_job(a_step(count=1, long_running=True, cpu=20_000)))
    until = fleet.bench.now + MOVE_TIMEOUT_SECONDS
    while fleet.bench.now <= until:
        fleet.apply_list(instances)
    assert not fleet.worker(worker_id).cordoned


@pytest.mark.anyio
async def test_a_skipped_order_is_repeated() -> None:
    """Guard against a worker that stays cordoned for an order that isn't issued."""
    fleet, worker_id = an_unanswered_move()
    fleet.outcome = OrderOutcome.SKIPPED
    (order,) = fleet.orders
    assert isinstance(order, Move)
    await fleet.fleet._async_move(order)
    fleet.apply_list(list(fleet.fleet._instances.values()))
    assert fleet.orders == [order, order]
    fleet.outcome = OrderOutcome.REFUSED
    await fleet.fleet._async_move(order)
    assert not fleet.worker(worker_id).cordoned


def test_a_worker_that_starts_before_its_instance_moves_is_cordoned() -> None:
    """Guard against tasks that a repeated order would interrupt."""
    fleet, worker_id = an_unanswered_move()
    fleet.bench.worker("i-90")
    new = an_instance(int(worker_id[2:]), id="i-90")
    fleet.apply_list([*fleet.fleet._instances.values(), new])
    assert fleet.worker("i-90").cordoned


def test_a_worker_that_starts_after_its_instance_moved_is_not_cordoned() -> None:
    """Guard against cordoning a new worker for the order of its predecessor."""
    fleet, worker_id = an_unanswered_move()
    fleet.bench.worker("i-90", service=OTHER)
    moved = an_instance(int(worker_id[2:]), OTHER, id="i-90")
    fleet.apply_list([*fleet.fleet._instances.values(), moved])
    assert not fleet.worker("i-90").cordoned


def test_an_instance_without_its_worker_does_not_count_for_its_pool() -> None:
    """Guard against a step with a limit for each worker that waits for a lost worker.

    The list shows an instance as up for as long as its data centre is disconnected.
    """
    instances = [an_instance(number, POOL) for number in range(3)]
    instances += [an_instance(number, OTHER) for number in range(4, 8)]
    fleet = FleetHarness(instances)
    fleet.bench.add(a_job(a_step(count=3, long_running=True, max_per_server=1)))
    assert len(fleet.bench.plan_starts()) == 3
    fleet.bench.scheduler.remove_worker(
        "i-00", LossCause.LEASES_EXPIRED, fleet.bench.now
    )
    fleet.apply_list(instances)
    assert [order.pool for order in fleet.orders if isinstance(order, Move)] == [POOL]


@pytest.mark.anyio
async def test_a_late_response_does_not_remove_a_new_worker() -> None:
    """Guard against removing the new worker instead of the one before the move.

    The first orders got no response, and the list shows the move before the repeated
    order gets one.
    """
    instances = [an_instance(number) for number in range(3)]
    fleet = FleetHarness(instances)
    fleet.bench.worker("i-90", service=OTHER)
    fleet.apply_list([an_instance(0, OTHER, id="i-90"), *instances[1:]])
    await fleet.fleet._async_move(Move("m-00", OTHER))
    assert "i-90" not in fleet.removed


@pytest.mark.anyio
@pytest.mark.parametrize("kind", ["move", "maintenance"])
async def test_a_response_removes_the_worker_that_its_order_was_decided_for(
    kind: str,
) -> None:
    """Guard against looking the worker up after the call, and against removing none.

    In the second round, the worker has restarted under the same id meanwhile.
    """
    instances = [an_instance(number) for number in range(MIN_POOL_INSTANCES + 1)]
    instances += [an_instance(4, OTHER)]
    for restarted in (False, True):
        fleet = FleetHarness(instances)
        for worker in fleet.bench.scheduler.state.workers.values():
            worker.started_at_ms = 1000
        if kind == "maintenance":
            fleet.wave_planner.runs[1] = a_wave(["m-04"])
            fleet.apply_list(instances)
        fleet.apply_list(instances)
        wanted = Move if kind == "move" else Maintain
        order = next(order for order in fleet.orders if isinstance(order, wanted))
        worker_id = order.machine.replace("m", "i")
        fleet.worker(worker_id).started_at_ms += restarted
        if isinstance(order, Move):
            await fleet.fleet._async_move(order)
        else:
            await fleet.fleet._async_maintain(order)
        assert fleet.removed == ([] if restarted else [worker_id])
