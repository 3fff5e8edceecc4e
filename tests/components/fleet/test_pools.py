"""Test that instances go where work waits, and off when it does not."""

from __future__ import annotations

from dataclasses import replace

from mustardward.components.fleet.budget import OrderBudget
from mustardward.components.fleet.const import (
    IDLE_SECONDS,
    LEAST_INSTANCES,
    TARGET_SHARE,
)
from mustardward.components.fleet.models import Load, Move
from mustardward.components.fleet.pools import PoolPlanner
from mustardward.components.scheduling.demand import PoolLoad
from mustardward.components.scheduling.inflow import Amount
from mustardward.platform.models import Instance, Room

from .builders import CORES, OTHER, POOL, STANDBY, a_load, a_view, an_instance

MOVE_SECONDS = 1.5


def two_pools_of_four() -> list[Instance]:
    first = [an_instance(number, POOL) for number in range(4)]
    second = [an_instance(number, OTHER) for number in range(4, 8)]
    off = [an_instance(number, STANDBY) for number in range(8, 12)]
    return first + second + off


def test_a_full_pool_takes_idle_instances_of_others_before_those_that_are_off() -> None:
    planner = PoolPlanner(MOVE_SECONDS)
    view = a_view(two_pools_of_four(), {f"i-0{n}": Load(0, 5) for n in range(4)})
    moves = planner.decide(view, {POOL: a_load(cores=30.0)}, set(), 0.0)
    assert {move.pool for move in moves} == {POOL}
    assert {move.machine for move in moves} <= {"m-04", "m-05", "m-06", "m-07"}
    assert moves


def test_a_turn_of_demand_takes_all_that_can_be_spared() -> None:
    """A queue that asks for five times its pool gets what the others do not need.

    Load: one pool's work needs four times its instances, the other pool is idle.
    """
    planner = PoolPlanner(MOVE_SECONDS)
    view = a_view(two_pools_of_four(), {f"i-0{n}": Load(0, 5) for n in range(4)})
    load = a_load(cores=32.0, waiting=60.0, seconds=60.0)
    moves = planner.decide(view, {POOL: load}, set(), 0.0)
    taken = {move.machine for move in moves}
    assert len(taken & {"m-04", "m-05", "m-06", "m-07"}) == 4 - LEAST_INSTANCES
    assert {"m-08", "m-09", "m-10", "m-11"} <= taken


def test_an_instance_that_is_ordered_is_not_ordered_again() -> None:
    planner = PoolPlanner(MOVE_SECONDS)
    view = a_view(two_pools_of_four(), {f"i-0{n}": Load(0, 5) for n in range(4)})
    loads = {POOL: a_load(cores=30.0)}
    first = planner.decide(view, loads, set(), 0.0)
    for move in first:
        planner.accepted(move.machine, 0.0)
    assert planner.decide(view, loads, set(), 0.1) == []


def test_a_worker_that_was_not_heard_of_is_not_lent() -> None:
    planner = PoolPlanner(MOVE_SECONDS)
    fleet = two_pools_of_four()[:8]
    view = a_view(fleet, {f"i-0{n}": Load(0, 5) for n in range(4)})
    for number in range(4, 8):
        del view.loads[f"i-0{number}"]
    assert planner.decide(view, {POOL: a_load(cores=30.0)}, set(), 0.0) == []


def test_a_worker_with_a_lasting_task_is_not_lent() -> None:
    planner = PoolPlanner(MOVE_SECONDS)
    busy = {f"i-0{n}": Load(0, 5) for n in range(4)}
    lasting = {f"i-0{n}": Load(1, 0) for n in range(4, 8)}
    view = a_view(two_pools_of_four()[:8], {**busy, **lasting})
    assert planner.decide(view, {POOL: a_load(cores=30.0)}, set(), 0.0) == []


def test_what_idles_for_a_while_goes_off_but_for_the_least() -> None:
    planner = PoolPlanner(MOVE_SECONDS)
    view = a_view(two_pools_of_four())
    assert planner.decide(view, {}, set(), 0.0) == []
    moves = planner.decide(view, {}, set(), IDLE_SECONDS + 0.1)
    assert {move.pool for move in moves} == {STANDBY}
    assert len(moves) == 8 - 2 * LEAST_INSTANCES


def test_what_maintenance_holds_is_left_alone() -> None:
    planner = PoolPlanner(MOVE_SECONDS)
    view = a_view(two_pools_of_four())
    planner.decide(view, {}, {"m-00"}, 0.0)
    moves = planner.decide(view, {}, {"m-00"}, IDLE_SECONDS + 0.1)
    assert "m-00" not in {move.machine for move in moves}


def test_a_move_of_unknown_outcome_is_repeated() -> None:
    planner = PoolPlanner(MOVE_SECONDS)
    view = a_view(two_pools_of_four(), {f"i-0{n}": Load(0, 5) for n in range(4)})
    loads = {POOL: a_load(cores=30.0)}
    first = planner.decide(view, loads, set(), 0.0)
    assert planner.decide(view, loads, set(), 0.4) == [
        Move(move.machine, move.pool) for move in first
    ]


def test_an_instance_under_way_counts_though_its_row_can_not_be_read() -> None:
    """Guards against a second instance for the same need."""
    planner = PoolPlanner(MOVE_SECONDS)
    fleet = [an_instance(n, POOL if n < 2 else STANDBY) for n in range(8)]
    load = a_load(cores=1.0, spread=3)
    view = replace(a_view(fleet), pools=frozenset({POOL}))
    (move,) = planner.decide(view, {POOL: load}, set(), 0.0)
    planner.accepted(move.machine, 0.1)
    rest = {i.machine: i for i in fleet if i.machine != move.machine}
    view = replace(view, instances=rest, read_at=0.4, complete=False)
    assert planner.decide(view, {POOL: load}, set(), 0.4) == []


def test_a_step_that_spreads_gets_a_worker_for_each_of_its_tasks() -> None:
    """A limit of tasks for each worker asks for workers, however small the tasks.

    Symptom: tasks that last wait for ever while idle instances are off. Sequence: a
    step of four tasks allows one on a worker; its pool has two workers with room for
    all four. Cause: only room was counted.
    """
    planner = PoolPlanner(MOVE_SECONDS)
    fleet = [an_instance(n, POOL if n < 2 else STANDBY) for n in range(8)]
    load = a_load(cores=1.0, spread=4)
    moves = planner.decide(a_view(fleet), {POOL: load}, set(), 0.0)
    assert [move.pool for move in moves].count(POOL) == 2


def test_work_that_is_short_of_memory_gets_workers_by_its_memory() -> None:
    planner = PoolPlanner(MOVE_SECONDS)
    fleet = [an_instance(n, POOL if n < 2 else STANDBY) for n in range(8)]
    load = PoolLoad(long_running=Amount(cpu=1000, mem_mb=4 * 8000 * TARGET_SHARE))
    moves = planner.decide(a_view(fleet), {POOL: load}, set(), 0.0)
    assert [move.pool for move in moves].count(POOL) == 2


def test_what_was_maintained_is_lent_and_what_was_not_goes_off() -> None:
    """A wave finds most of what it has left where nothing runs."""
    planner = PoolPlanner(MOVE_SECONDS)
    off = [an_instance(n, STANDBY) for n in range(4)]
    on = [an_instance(n, POOL) for n in range(4, 8)]
    due = frozenset({"m-00", "m-01", "m-04", "m-06"})
    view = replace(a_view([*off, *on[:2]]), due=due)
    lent = planner.decide(view, {}, set(), 0.0)
    assert {move.machine for move in lent} == {"m-02", "m-03"}
    planner = PoolPlanner(MOVE_SECONDS)
    view = replace(a_view(on), pools=frozenset({POOL}), due=due)
    planner.decide(view, {}, set(), 0.0)
    sent = planner.decide(view, {}, set(), IDLE_SECONDS + 0.1)
    assert {move.machine for move in sent} == {"m-04", "m-06"}


def test_a_turn_that_begins_gets_its_instances_before_its_work_waits() -> None:
    """Load: nothing waits yet, and arrivals ask for four instances."""
    planner = PoolPlanner(MOVE_SECONDS)
    fleet = [an_instance(n, POOL if n < 2 else STANDBY) for n in range(8)]
    load = PoolLoad(inflow=Amount(cpu=4 * 8000 * TARGET_SHARE))
    moves = planner.decide(a_view(fleet), {POOL: load}, set(), 0.0)
    assert [move.pool for move in moves].count(POOL) == 2


def test_a_worker_that_can_run_nothing_does_not_count_for_its_pool() -> None:
    """Its tasks wait for another one, though the list shows as many as are needed."""
    planner = PoolPlanner(MOVE_SECONDS)
    fleet = [an_instance(n, POOL if n < 4 else STANDBY) for n in range(8)]
    load = a_load(cores=1.0, spread=4)
    view = replace(a_view(fleet), pools=frozenset({POOL}), unusable=frozenset({"i-00"}))
    moves = planner.decide(view, {POOL: load}, set(), 0.0)
    assert [move.pool for move in moves] == [POOL]


def test_a_large_fleet_goes_off_as_fast_as_the_platform_takes_orders() -> None:
    """Symptom: of 1,600 orders for instances at once 1,550 were refused.

    Load: a turn ends, and a whole pool is not needed any more.
    """
    planner = PoolPlanner(MOVE_SECONDS, OrderBudget(orders_per_second=50.0))
    fleet = [an_instance(number, POOL) for number in range(400)]
    view = a_view([*fleet, an_instance(400, STANDBY)])
    planner.decide(view, {}, set(), 0.0)
    ordered = []
    for tick in range(20):
        now = IDLE_SECONDS + 0.1 * (tick + 1)
        ordered.append(planner.decide(view, {}, set(), now))
    assert len(ordered[0]) <= 50
    assert max(len(moves) for moves in ordered[1:]) <= 5
    machines = [move.machine for moves in ordered for move in moves]
    assert len(machines) > 80
    for moves in ordered:
        for move in moves:
            planner.accepted(move.machine, IDLE_SECONDS)
    assert set(machines) == set(planner.orders)


def test_a_suspected_job_has_an_instance_more_to_itself() -> None:
    """Guards against a wait for an empty worker in a pool that is large enough."""
    first = [an_instance(number, POOL) for number in range(LEAST_INSTANCES)]
    second = [an_instance(number, OTHER) for number in range(4, 4 + LEAST_INSTANCES)]
    view = a_view([*first, *second, an_instance(8, STANDBY)])
    load = a_load(cores=2.0)
    assert PoolPlanner(MOVE_SECONDS).decide(view, {POOL: load}, set(), 0.0) == []
    load.isolation_workers = 1
    moves = PoolPlanner(MOVE_SECONDS).decide(view, {POOL: load}, set(), 0.0)
    assert moves == [Move("m-08", POOL)]


def test_a_pool_whose_workers_have_shrunk_asks_for_more_of_them() -> None:
    """Guards against a pool that is sized by rooms which its workers no longer have."""
    view = a_view(two_pools_of_four(), {f"i-0{n}": Load(0, 5) for n in range(4)})
    load = a_load(cores=16.0)
    full = PoolPlanner(MOVE_SECONDS).decide(view, {POOL: load}, set(), 0.0)
    halves = {f"i-0{n}": Room(cpu=CORES // 2, mem_mb=8000) for n in range(4)}
    shrunk = replace(view, rooms=halves)
    more = PoolPlanner(MOVE_SECONDS).decide(shrunk, {POOL: load}, set(), 0.0)
    assert len(more) > len(full)
    assert {move.pool for move in more} == {POOL}


def test_an_instance_is_taken_from_where_workers_are_heard_of() -> None:
    """Guards against instance after instance of a data centre that is cut off."""
    pool = [an_instance(n, POOL, zone="z1" if n < 2 else "z2") for n in range(4)]
    off = [an_instance(8 + n, STANDBY, zone=f"z{n % 2 + 1}") for n in range(4)]
    for order in (off, off[::-1]):
        view = replace(a_view([*pool, *order]), pools=frozenset({POOL}))
        for worker in ("i-02", "i-03"):
            del view.loads[worker]
        view = replace(view, unusable=frozenset({"i-02", "i-03"}))
        load = a_load(cores=1.0, spread=4)
        moves = PoolPlanner(MOVE_SECONDS).decide(view, {POOL: load}, set(), 0.0)
        assert {move.machine for move in moves} == {"m-08", "m-10"}
